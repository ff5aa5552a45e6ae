package coralcove.rehearsal;

import static org.assertj.core.api.Assertions.assertThat;

import coralcove.config.Toml;
import java.util.Locale;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.DoubleRange;
import net.jqwik.api.constraints.IntRange;

/**
 * A small net under any mix of loss, doubling, reordering and resets breaks no rule. CI plays some
 * hundred; 10,000 are played by -Dcoralcove.small.tries=10000 (docs/measurements). What jqwik
 * shrinks a find to stays as a trace test.
 */
class SmallNetTest {
    private static final String DAY =
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

    /** Kinds that need neither dialled numbers nor planners. */
    static final java.util.List<String> PLAYED =
            Trouble.KINDS.stream()
                    .filter(
                            kind ->
                                    !kind.startsWith("portability")
                                            && !kind.startsWith("planner")
                                            && !kind.equals("mass-call"))
                    .toList();

    static Result play(
            long seed,
            double loss,
            double doubled,
            double late,
            double reset,
            int transport,
            int trouble)
            throws Exception {
        String day =
                String.format(
                        Locale.ROOT,
                        DAY,
                        loss,
                        doubled,
                        late,
                        reset,
                        new String[] {"udp", "tcp", "mixed"}[transport],
                        1 + seed % 2,
                        PLAYED.get(trouble),
                        seed % 3);
        return Rehearse.virtual(
                DayFile.of(Toml.of("small.toml", day), seed), seed, "choice", null, null);
    }

    @Property(tries = 150, seed = "7")
    void breaksNoRule(
            @ForAll @IntRange(min = 1, max = 1_000_000) int seed,
            @ForAll @DoubleRange(max = 0.1) double loss,
            @ForAll @DoubleRange(max = 0.1) double doubled,
            @ForAll @DoubleRange(max = 0.1) double late,
            @ForAll @DoubleRange(max = 0.01) double reset,
            @ForAll @IntRange(max = 2) int transport,
            @ForAll @IntRange(max = 18) int trouble)
            throws Exception {
        Result result = play(seed, loss, doubled, late, reset, transport, trouble);
        assertThat(result.rules().values().stream().flatMap(v -> v.breaches().stream()).toList())
                .isEmpty();
        assertThat(result.stats().sessions).isPositive();
    }
}
