package coralcove.config;

import static org.assertj.core.api.Assertions.assertThat;

import coralcove.TraceFiles;
import coralcove.edge.EdgeSettingsFile;
import coralcove.exchange.ExchangeSettingsFile;
import coralcove.rehearsal.ScenarioFile;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;

/** Tests that each invalid setting is reported with file, line, key and reason. */
class TomlTest {
    private final StringBuilder results = new StringBuilder();

    private interface SettingsReader {
        Object read(TomlSettings toml) throws BadConfig;
    }

    private void recordResult(String name, String text, SettingsReader reader) {
        try {
            Object settings = reader.read(TomlSettings.from(name, text));
            results.append("taken: ").append(settings).append('\n');
        } catch (BadConfig e) {
            results.append(e.getMessage()).append('\n');
        }
    }

    @Test
    void namesFileLineKeyAndReason() throws IOException {
        String day = Files.readString(Path.of("days/bad-day.toml"));
        String[][] dayChanges = {
            {"length_s = 30", "length_s = 0"},
            {"length_s = 30", "length_s = \"x\""},
            {"exchanges = 7", "exchanges = 7.5"},
            {"exchanges = 7\n", ""},
            {"seed = 1", "seed = 1\nsead = 2"},
            {"limit_ms = 9000", "limit_ms = 900"},
            {"on = [5]", "on = [7]"},
            {"on = [5]", "on = 5"},
            {"on = [5]\n", ""},
            {"kind = \"drain\"", "kind = \"drian\""},
            {"at_s = 19", "at_s = 30"},
            {"[callers]", "[caller]"},
            {"transport = \"mixed\"", "transport = mixed"},
            {"[[service]]", "[service]"},
            {"redials = 2", "redials = true"}
        };
        for (String[] change : dayChanges) {
            assertThat(day).contains(change[0]);
            int start = day.indexOf(change[0]);
            recordResult(
                    "day.toml",
                    day.substring(0, start) + change[1] + day.substring(start + change[0].length()),
                    toml -> ScenarioFile.parse(toml, 1).name());
        }
        String edge = Files.readString(Path.of("deploy/examples/edge-0.toml"));
        String[][] edgeChanges = {
            {"udp:127.0.0.1:15060", "127.0.0.1:15060"},
            {"udp:127.0.0.1:15060", "udp:127.0.0.1:0"},
            {"release_ms = 300", "release_ms = 9000"},
            {"answer_margin_ms = 20", "answer_margin_ms = 5000"},
            {"exchange = \"udp:127.0.0.1:15061\"", "exchange = \"udp:127.0.0.1:15060\""},
            {"routers = 2\n", ""}
        };
        for (String[] change : edgeChanges) {
            assertThat(edge).contains(change[0]);
            recordResult(
                    "edge.toml",
                    edge.replace(change[0], change[1])
                            .replace("limit_ms = 9000", "limit_ms = 5000"),
                    toml -> EdgeSettingsFile.of(toml).policy());
        }
        String exchange = Files.readString(Path.of("deploy/examples/exchange-0.toml"));
        recordResult(
                "exchange.toml",
                exchange.replace("limit_ms = 9000", "limit_ms = 900"),
                toml -> ExchangeSettingsFile.read(toml).startsCold());
        assertThat(results.toString()).isEqualTo(TraceFiles.read("bad-settings"));
    }

    /**
     * Guards against rejecting a planner's store key as unknown: it was requested through another
     * instance of the same table.
     */
    @Test
    void acceptsAllKeysOfPlannerAndNumbers() throws Exception {
        String edge =
                Files.readString(Path.of("deploy/examples/edge-0.toml"))
                        + """

                        [planner]
                        listen = "tcp:127.0.0.1:15970"
                        store = "planner-0.store"

                        [numbers]
                        table = "numbers.table"
                        servers = "127.0.0.1:53, ns.example:5353"
                        budget_ms = 200
                        """;
        EdgeSettingsFile file = EdgeSettingsFile.of(TomlSettings.from("edge.toml", edge));
        assertThat(file.plannerStore()).hasToString("planner-0.store");
        assertThat(file.planner().port()).isEqualTo(15970);
        assertThat(file.numbers().resolver().servers()).hasSize(2);
        assertThat(file.numbers().porting().waitBudget()).isEqualTo(200_000);
    }
}
