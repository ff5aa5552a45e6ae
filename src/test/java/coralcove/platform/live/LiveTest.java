package coralcove.platform.live;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import com.fasterxml.jackson.databind.ObjectMapper;
import coralcove.boot.Boot;
import coralcove.config.BadConfig;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** The configuration, and what is read and not yet looked at. */
class LiveTest {
    @TempDir private Path dir;

    @Test
    void nestedJsonIsReadAsThePathsOfTheSimulator() throws Exception {
        String json =
                "{\"balancers\":4,\"classes\":[{\"name\":\"a\",\"aim\":1500000000,\"credit\":2.0,\"effect\":\"repeatable\"}],"
                    + "\"family_info\":{\"call_length\":[12600000001],\"class_width\":[1],\"this_node\":0,\"release_guard\":300000001,"
                    + "\"allowed_pools\":[]},\"limits\":{\"try_limit\":4,\"peers\":true},\"contract\":{\"fall_multiple\":3.0,"
                    + "\"overload_for\":1500000000,\"cold_from\":0.32,\"warm_up\":15000000000}}";
        Map<String, String> pairs = new HashMap<>();
        Configuration.flatten("", new ObjectMapper().readTree(json), pairs);
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
        assertThat(Boot.of(pairs).settings()).isEqualTo(Boot.read(lines).settings());
        assertThat(Boot.of(pairs).settings().releaseWait()).isEqualTo(300_001);
    }

    @Test
    void aConfigurationThatCannotBeUsedIsToldWithFileAndKey() throws Exception {
        Path file = dir.resolve("config.json");
        assertThatThrownBy(() -> Configuration.read(file))
                .isInstanceOf(BadConfig.class)
                .hasMessageContaining("config.json");
        Files.writeString(file, "{\"listen\":\"10.0.0.4\",\"settings\":{}}");
        assertThatThrownBy(() -> Configuration.read(file))
                .isInstanceOf(BadConfig.class)
                .hasMessage(file + ": listen: no address: 10.0.0.4");
        // What is missing or strange is told, not replaced in silence.
        String settings =
                "'balancers':2,'classes':[{'name':'a','aim':1,'credit':1}],'contract':{'fall_multiple':3,"
                    + "'overload_for':1,'cold_from':0.3,'warm_up':1},'family_info':{'call_length':[1],'class_width':[1],"
                    + "'release_guard':1,'this_node':0},'limits':{'try_limit':4},'report':{'columns':['a','b']}";
        Map<String, String> wrong =
                Map.of(
                        settings.replace("'try_limit':4", "'try_limit':0"),
                        "settings: limits.try_limit cannot be 0",
                        settings.replace("'try_limit':4", "'try_limit':4,'peers':'yes'"),
                        "settings: limits.peers is neither true nor false: yes",
                        settings.replace("'fall_multiple':3", "'fall_multiple':'NaN'"),
                        "settings: contract.fall_multiple cannot be NaN",
                        settings.replace("'release_guard':1,", ""),
                        "settings: family_info.release_guard is missing");
        for (Map.Entry<String, String> each : wrong.entrySet()) {
            Files.writeString(file, configuration("'limits':{'sockets':256}", each.getKey()));
            assertThatThrownBy(() -> Configuration.read(file))
                    .isInstanceOf(BadConfig.class)
                    .hasMessage(each.getValue());
        }
        Map<String, String> sockets =
                Map.of(
                        "'limits':{}",
                        "is missing",
                        "'limits':{'sockets':'many'}",
                        "no number from 64 up: \"many\"",
                        "'limits':{'sockets':0}",
                        "no number from 64 up: 0");
        for (Map.Entry<String, String> each : sockets.entrySet()) {
            Files.writeString(file, configuration(each.getKey(), settings));
            assertThatThrownBy(() -> Configuration.read(file))
                    .isInstanceOf(BadConfig.class)
                    .hasMessage(file + ": limits.sockets: " + each.getValue());
        }
        Files.writeString(file, configuration("'limits':{'sockets':256}", settings));
        assertThat(Configuration.read(file).settings().mayTest()).isFalse();
    }

    private static String configuration(String limits, String settings) {
        return ("{'listen':'127.0.0.1:5080','seed':'1','bulletin':'127.0.0.1:9092','known':{'no':1,'items':[]},"
                        + limits
                        + ",'settings':{"
                        + settings
                        + "}}")
                .replace('\'', '"');
    }

    @Test
    void exchangesComeBeforeCallersAndAFullQueueHoldsItsReaderBack() throws Exception {
        Inputs inputs = new Inputs();
        StringBuilder order = new StringBuilder();
        inputs.caller(1, () -> order.append('c'));
        inputs.first(1, () -> order.append('e'));
        inputs.next(0).act().run();
        inputs.next(0).act().run();
        assertThat(order.toString()).isEqualTo("ec");
        assertThat(inputs.next(0)).isNull();
        AtomicInteger put = new AtomicInteger();
        CountDownLatch done = new CountDownLatch(1);
        Thread flood =
                new Thread(
                        () -> {
                            for (int i = 0; i < 30_000; i++) {
                                inputs.caller(0, () -> {});
                                put.incrementAndGet();
                            }
                            done.countDown();
                        });
        flood.start();
        while (put.get() < 20_000) {
            Thread.onSpinWait();
        }
        assertThat(done.await(100, TimeUnit.MILLISECONDS)).isFalse();
        assertThat(put.get()).isEqualTo(20_000);
        // An answer of an exchange passes all that waits.
        inputs.first(1, () -> order.append('!'));
        inputs.next(0).act().run();
        assertThat(order.toString()).isEqualTo("ec!");
        while (!done.await(0, TimeUnit.MILLISECONDS)) {
            inputs.next(1000);
        }
        flood.join();
    }
}
