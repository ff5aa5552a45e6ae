package coralcove.rehearsal;

import static org.assertj.core.api.Assertions.assertThat;

import coralcove.config.TomlSettings;
import java.util.Locale;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.DoubleRange;
import net.jqwik.api.constraints.IntRange;

/**
 * A small network breaks no rule under any mix of loss, duplication, reordering and resets. CI runs
 * 150 tries; {@link SmallNetworkRuns} runs more (docs/measurements). A failure that jqwik has
 * shrunk is retained as a trace test.
 */
class SmallNetworkTest {
    private static final String SCENARIO =
            """
            [day]
            name = "small"
            length_s = 3
            [size]
            exchanges = 3
            [net]
            loss = %f
            doubled = %f
            reordered = %f
            reset = %f
            transport = "%s"
            [traffic]
            sessions_per_s = 12
            spare = 0
            [[service]]
            name = "a"
            share = 1
            hold_s = 1
            target_ms = 500
            limit_ms = 3000
            value = 1
            [processor]
            use = 0.5
            queue_ms = 300
            [callers]
            redials = 1
            try_share = 0.5
            [directory]
            notice_ms = 200
            silence_ms = 2000
            add_ms = 200
            dns_life_s = 1
            count = %d
            [rules]
            drain_grace_ms = 500
            release_ms = 200
            fall_ms = 500
            warm_s = 2
            [router]
            [[trouble]]
            kind = "%s"
            at_s = 1
            len_s = 1
            on = [%d]
            size = 0.5
            extra = 0.4
            """;

    /** Kinds of faults that need neither dialled numbers nor planners. */
    static final java.util.List<String> FAULT_KINDS =
            InjectedFault.KINDS.stream()
                    .filter(
                            kind ->
                                    !kind.startsWith("portability")
                                            && !kind.startsWith("planner")
                                            && !kind.equals("mass-call"))
                    .toList();

    static ScenarioResult play(
            long seed,
            double loss,
            double doubled,
            double reordered,
            double reset,
            int transport,
            int faultKind)
            throws Exception {
        String toml =
                String.format(
                        Locale.ROOT,
                        SCENARIO,
                        loss,
                        doubled,
                        reordered,
                        reset,
                        new String[] {"udp", "tcp", "mixed"}[transport],
                        1 + seed % 2,
                        FAULT_KINDS.get(faultKind),
                        seed % 3);
        return ScenarioRunner.runVirtual(
                ScenarioFile.parse(TomlSettings.from("small.toml", toml), seed),
                seed,
                "choice",
                null,
                null);
    }

    @Property(tries = 150, seed = "7")
    void breaksNoRule(
            @ForAll @IntRange(min = 1, max = 1_000_000) int seed,
            @ForAll @DoubleRange(max = 0.1) double loss,
            @ForAll @DoubleRange(max = 0.1) double doubled,
            @ForAll @DoubleRange(max = 0.1) double reordered,
            @ForAll @DoubleRange(max = 0.01) double reset,
            @ForAll @IntRange(max = 2) int transport,
            @ForAll @IntRange(max = 18) int faultKind)
            throws Exception {
        ScenarioResult result = play(seed, loss, doubled, reordered, reset, transport, faultKind);
        assertThat(
                        result.ruleResults().values().stream()
                                .flatMap(v -> v.breaches().stream())
                                .toList())
                .isEmpty();
        assertThat(result.stats().sessions).isPositive();
    }
}
