package coralcove.config;

import static org.assertj.core.api.Assertions.assertThat;

import coralcove.Kept;
import coralcove.edge.EdgeFile;
import coralcove.exchange.ExchangeFile;
import coralcove.rehearsal.DayFile;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;

/** Each bad setting is told with file, line, key and reason. */
class TomlTest {
    private final StringBuilder told = new StringBuilder();

    private interface Reading {
        Object of(Toml toml) throws BadConfig;
    }

    private void bad(String name, String text, Reading reading) {
        try {
            Object found = reading.of(Toml.of(name, text));
            told.append("taken: ").append(found).append('\n');
        } catch (BadConfig e) {
            told.append(e.getMessage()).append('\n');
        }
    }

    @Test
    void namesFileLineKeyAndReason() throws IOException {
        String day = Files.readString(Path.of("days/bad-day.toml"));
        String[][] changes = {
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
        for (String[] change : changes) {
            assertThat(day).contains(change[0]);
            int at = day.indexOf(change[0]);
            bad(
                    "day.toml",
                    day.substring(0, at) + change[1] + day.substring(at + change[0].length()),
                    toml -> DayFile.of(toml, 1).name());
        }
        String edge = Files.readString(Path.of("deploy/examples/edge-0.toml"));
        String[][] more = {
            {"udp:127.0.0.1:15060", "127.0.0.1:15060"},
            {"udp:127.0.0.1:15060", "udp:127.0.0.1:0"},
            {"release_ms = 300", "release_ms = 9000"},
            {"answer_margin_ms = 20", "answer_margin_ms = 5000"},
            {"exchange = \"udp:127.0.0.1:15061\"", "exchange = \"udp:127.0.0.1:15060\""},
            {"routers = 2\n", ""}
        };
        for (String[] change : more) {
            assertThat(edge).contains(change[0]);
            bad(
                    "edge.toml",
                    edge.replace(change[0], change[1])
                            .replace("limit_ms = 9000", "limit_ms = 5000"),
                    toml -> EdgeFile.of(toml).policy());
        }
        String exchange = Files.readString(Path.of("deploy/examples/exchange-0.toml"));
        bad(
                "exchange.toml",
                exchange.replace("limit_ms = 9000", "limit_ms = 900"),
                toml -> ExchangeFile.of(toml).cold());
        assertThat(told.toString()).isEqualTo(Kept.trace("bad-settings"));
    }

    /** A planner's store was read through a second table, and its key refused as not known. */
    @Test
    void takesAPlannerAndNumbersWithAllTheirKeys() throws Exception {
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
        EdgeFile file = EdgeFile.of(Toml.of("edge.toml", edge));
        assertThat(file.store()).hasToString("planner-0.store");
        assertThat(file.planner().port()).isEqualTo(15970);
        assertThat(file.numbers().resolver().servers()).hasSize(2);
        assertThat(file.numbers().porting().budget()).isEqualTo(200_000);
    }
}
