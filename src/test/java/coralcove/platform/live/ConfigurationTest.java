package coralcove.platform.live;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import com.fasterxml.jackson.databind.ObjectMapper;
import coralcove.config.BadConfig;
import coralcove.settings.SettingsReader;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Tests of the configuration file and of the event queue. */
class ConfigurationTest {
    @TempDir private Path dir;

    @Test
    void readsNestedJsonLikeThePathsOfTheSimulator() throws Exception {
        String json =
                "{\"balancers\":4,\"classes\":[{\"name\":\"a\",\"aim\":1500000000,\"credit\":2.0,"
                    + "\"effect\":\"repeatable\"}],"
                    + "\"family_info\":{\"call_length\":[12600000001],\"class_width\":[1],"
                    + "\"this_node\":0,\"release_guard\":300000001,\"allowed_pools\":[]},"
                    + "\"limits\":{\"try_limit\":4,\"peers\":true},"
                    + "\"contract\":{\"fall_multiple\":3.0,"
                    + "\"overload_for\":1500000000,\"cold_from\":0.32,\"warm_up\":15000000000}}";
        Map<String, String> properties = new HashMap<>();
        Configuration.flatten("", new ObjectMapper().readTree(json), properties);
        String lines =
                "balancers=4\n"
                        + "classes.count=1\n"
                        + "classes.0.name=a\n"
                        + "classes.0.aim=1500000000\n"
                        + "classes.0.credit=2.0\n"
                        + "classes.0.effect=repeatable\n"
                        + "family_info.call_length=12600000001\n"
                        + "family_info.class_width=1\n"
                        + "family_info.this_node=0\n"
                        + "family_info.release_guard=300000001\n"
                        + "family_info.allowed_pools=\n"
                        + "limits.try_limit=4\n"
                        + "limits.peers=true\n"
                        + "contract.fall_multiple=3.0\n"
                        + "contract.overload_for=1500000000\n"
                        + "contract.cold_from=0.32\n"
                        + "contract.warm_up=15000000000\n";
        assertThat(SettingsReader.of(properties).settings())
                .isEqualTo(SettingsReader.parse(lines).settings());
        assertThat(SettingsReader.of(properties).settings().releaseWait()).isEqualTo(300_001);
    }

    @Test
    void namesFileAndKeyOfAnInvalidConfiguration() throws Exception {
        Path file = dir.resolve("config.json");
        assertThatThrownBy(() -> Configuration.read(file))
                .isInstanceOf(BadConfig.class)
                .hasMessageContaining("config.json");
        Files.writeString(file, "{\"listen\":\"10.0.0.4\",\"settings\":{}}");
        assertThatThrownBy(() -> Configuration.read(file))
                .isInstanceOf(BadConfig.class)
                .hasMessage(file + ": listen: not an address: 10.0.0.4");
        // A missing or invalid value is reported, never silently replaced by a default.
        String settings =
                "'balancers':2,'classes':[{'name':'a','aim':1,'credit':1}],"
                        + "'contract':{'fall_multiple':3,"
                        + "'overload_for':1,'cold_from':0.3,'warm_up':1},"
                        + "'family_info':{'call_length':[1],'class_width':[1],"
                        + "'release_guard':1,'this_node':0},"
                        + "'limits':{'try_limit':4},'report':{'columns':['a','b']}";
        Map<String, String> messagesBySettings =
                Map.of(
                        settings.replace("'try_limit':4", "'try_limit':0"),
                        "settings: limits.try_limit cannot be 0",
                        settings.replace("'try_limit':4", "'try_limit':4,'peers':'yes'"),
                        "settings: limits.peers is neither true nor false: yes",
                        settings.replace("'fall_multiple':3", "'fall_multiple':'NaN'"),
                        "settings: contract.fall_multiple cannot be NaN",
                        settings.replace("'release_guard':1,", ""),
                        "settings: family_info.release_guard is missing");
        for (Map.Entry<String, String> expected : messagesBySettings.entrySet()) {
            Files.writeString(file, configuration("'limits':{'sockets':256}", expected.getKey()));
            assertThatThrownBy(() -> Configuration.read(file))
                    .isInstanceOf(BadConfig.class)
                    .hasMessage(expected.getValue());
        }
        Map<String, String> messagesByLimits =
                Map.of(
                        "'limits':{}",
                        "is missing",
                        "'limits':{'sockets':'many'}",
                        "not a number of at least 64: \"many\"",
                        "'limits':{'sockets':0}",
                        "not a number of at least 64: 0");
        for (Map.Entry<String, String> expected : messagesByLimits.entrySet()) {
            Files.writeString(file, configuration(expected.getKey(), settings));
            assertThatThrownBy(() -> Configuration.read(file))
                    .isInstanceOf(BadConfig.class)
                    .hasMessage(file + ": limits.sockets: " + expected.getValue());
        }
        Files.writeString(file, configuration("'limits':{'sockets':256}", settings));
        assertThat(Configuration.read(file).settings().mayProbe()).isFalse();
    }

    private static String configuration(String limits, String settings) {
        return ("{'listen':'127.0.0.1:5080','seed':'1',"
                        + "'bulletin':'127.0.0.1:9092','known':{'no':1,'items':[]},"
                        + limits
                        + ",'settings':{"
                        + settings
                        + "}}")
                .replace('\'', '"');
    }
}
