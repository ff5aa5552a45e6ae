package coralcove.rehearsal;

import static org.assertj.core.api.Assertions.assertThat;

import coralcove.config.BadConfig;
import coralcove.config.TomlSettings;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Runs complete scenarios in virtual time; the judge sees only the traffic. */
class ScenarioRunTest {
    private static Scenario badDayScenario(long seed, String... changes)
            throws IOException, BadConfig {
        String text = Files.readString(Path.of("days/bad-day.toml"));
        for (int i = 0; i < changes.length; i += 2) {
            assertThat(text).contains(changes[i]);
            text = text.replace(changes[i], changes[i + 1]);
        }
        return ScenarioFile.parse(TomlSettings.from("bad-day.toml", text), seed);
    }

    private static void assertRulesKept(ScenarioResult result) {
        assertThat(
                        result.ruleResults().values().stream()
                                .flatMap(v -> v.breaches().stream())
                                .toList())
                .isEmpty();
        assertThat(result.stats().finalAnswers).isGreaterThan(result.stats().sessions * 9 / 10);
    }

    @Test
    void badDayKeepsAllRulesAndBeatsBaselines() throws Exception {
        double[] shares = new double[3];
        for (long seed = 1; seed <= 3; seed++) {
            for (int i = 0; i < 3; i++) {
                ScenarioResult result =
                        ScenarioRunner.runVirtual(
                                badDayScenario(seed),
                                seed,
                                coralcove.baseline.RoutingPolicies.NAMES.get(i),
                                null,
                                null);
                shares[i] += result.servedShare();
                if (i == 0) {
                    assertRulesKept(result);
                    assertThat(result.ruleResults().get("cold").checked()).isPositive();
                    assertThat(result.ruleResults().get("drain").checked()).isPositive();
                }
            }
        }
        assertThat(shares[0]).isGreaterThan(shares[1]).isGreaterThan(shares[2]);
    }

    @Test
    void lossyNetworkBreaksNoRule() throws Exception {
        assertRulesKept(
                ScenarioRunner.runVirtual(
                        badDayScenario(
                                4,
                                "loss = 0.002",
                                "loss = 0.03",
                                "doubled = 0.001",
                                "doubled = 0.02",
                                "reordered = 0.001",
                                "reordered = 0.02\nreset = 0.001"),
                        4,
                        "choice",
                        null,
                        null));
    }

    @Test
    void playsEveryFaultKind() throws Exception {
        StringBuilder faults = new StringBuilder();
        int at = 2;
        for (String kind : InjectedFault.KINDS) {
            faults.append("\n[[trouble]]\nkind = \"")
                    .append(kind)
                    .append("\"\nat_s = ")
                    .append(at++)
                    .append("\nlen_s = 3\non = [")
                    .append(at % 7)
                    .append("]\nsize = ")
                    .append(List.of("lost-answers", "other-work").contains(kind) ? "0.4" : "2")
                    .append("\nextra = 1\n");
        }
        String text = Files.readString(Path.of("days/bad-day.toml"));
        String toml =
                text.substring(0, text.indexOf("[[trouble]]"))
                        + "\n"
                        + "[planner]\n"
                        + "apart = true\n\n"
                        + "[numbers]\n"
                        + "ported = 0.3\n"
                        + "replace_s = 0.7\n"
                        + "life_s = 2\n"
                        + faults;
        toml = toml.replace("[directory]", "[directory]\ndns_life_s = 3\ncount = 2");
        ScenarioResult result =
                ScenarioRunner.runVirtual(
                        ScenarioFile.parse(TomlSettings.from("all.toml", toml), 5),
                        5,
                        "choice",
                        null,
                        null);
        assertRulesKept(result);
        assertThat(result.stats().cutOff).isPositive();
        assertThat(result.ruleResults().get("one_table").checked()).isGreaterThan(1000);
        // Each kind occurs: answered from memory, queried, answered past the time to live, and sent
        // to the donor exchange.
        assertThat(result.portabilityCounts()).hasSize(4).doesNotContain(0L);
    }

    @Test
    void equalSeedsGiveIdenticalCaptures(@TempDir Path folder) throws Exception {
        Path first = folder.resolve("1");
        Path second = folder.resolve("2");
        ScenarioRunner.runVirtual(
                badDayScenario(6, "length_s = 30", "length_s = 20"), 6, "choice", first, null);
        ScenarioRunner.runVirtual(
                badDayScenario(6, "length_s = 30", "length_s = 20"), 6, "choice", second, null);
        assertThat(Files.mismatch(first, second)).isEqualTo(-1);
        // Replaying the capture gives the same verdict on the rules that do not depend on
        // starts and kills.
        Scenario scenario = badDayScenario(6);
        coralcove.judge.RuleChecker judge = new coralcove.judge.RuleChecker(scenario.rules());
        judge.finish(CaptureFormat.replay(first, judge));
        assertThat(judge.malformedMessages()).isZero();
        assertThat(judge.verdicts().get("one_invite").checked()).isGreaterThan(1000);
        assertThat(judge.verdicts().values().stream().mapToLong(v -> v.broken()).sum()).isZero();
    }

    @Test
    void mapsBenchDayAndListsUnmappedSettings() throws Exception {
        String json =
                """
                {"family":"trunks","site":"s","kind":"k","length":8000000,
                 "net":{"same":4000,"cross":9000,"jitter":0.1},
                 "traffic":{"load":0.9,"shape":[[0,1]],"burst_cv":0.2},
                 "clients":{"retries":1,"try_share":0.4,"backoff_us":500000,"honour":0.5,
                  "max_retry_after":2000000,"marks_retry":true},
                 "discovery":{"notice":500000,"silent_notice":6000000,"add":300000},
                 "allow":{"peers":true,"retry_after":true,"max_attempts":4,"max_open":20000},
                 "drain_grace":1000000,"fall_multiple":3,"fall_for":1500000,
                 "classes":[{"name":"a","share":1,"work":2000,"aim":1500000,"deadline":9000000,
                  "worth":1,"late_worth":0.1}],
                 "tiers":[{"probe_work":300,"stated_cold_from":0.3,"stated_cold":10000000}],
                 "servers":[{"zone":0,"speed":0.2},{"zone":0,"speed":0.2},{"zone":1,"speed":0.2}],
                 "balancers":[{"weight":1},{"weight":1},{"weight":1}],"tenants":[{}],
                 "troubles":[{"kind":"origin_slow","at":2000000,"len":3000000,"size":4,"which":1,
                   "on":[]},
                  {"kind":"deploy","extra":1.5,"steps":[{"at":3000000,"stop":[1],"start":[3]}]},
                  {"kind":"report_late","at":1,"len":1},
                  {"kind":"crash","at":1000000,"len":2000000,"on":[0,9]}],
                 "fam":{"n":3,"capacity":12,"advice":1,"drift":0,"hold":[3000000],"width":[1],
                  "hot_lines":5,"look":0.2,"follow":0.3,"reject":0.2,"repeat":0.4,"queue":2000000,
                  "tells_wait":true,"resend":500000,"release":300000,
                  "pull":[[0,1,1],[1,0,1],[1,1,0]],"size":[0,9,8,0,0,7,0,0,0]}}\
                """;
        Scenario scenario =
                BenchScenario.parse(
                        "day.json",
                        new com.fasterxml.jackson.databind.ObjectMapper().readTree(json),
                        1);
        assertThat(scenario.groups()).isEqualTo(new int[][] {{0, 9, 8}, {9, 0, 7}, {8, 7, 0}});
        assertThat(scenario.faults().toString())
                .isEqualTo(
                        "[InjectedFault[kind=lost-circuits, at=2000000, length=3000000, on=[2],"
                            + " size=4.0, extra=0.0], InjectedFault[kind=drain, at=3000000,"
                            + " length=0, on=[1], size=0.0, extra=1.5], InjectedFault[kind=death,"
                            + " at=1000000, length=2000000, on=[0], size=0.0, extra=0.0]]");
        assertThat(scenario.unmappedSettings())
                .anyMatch(l -> l.startsWith("trouble report_late"))
                .anyMatch(l -> l.startsWith("tenants"))
                .anyMatch(l -> l.startsWith("fam.advice"))
                .anyMatch(l -> l.startsWith("trouble of machine 9"))
                .anyMatch(l -> l.startsWith("traffic.shape"));
        assertRulesKept(ScenarioRunner.runVirtual(scenario, 1, "choice", null, null));
    }
}
