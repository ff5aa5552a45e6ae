package coralcove.rehearsal;

import java.util.List;

/**
 * A fault of a scenario: from {@code at} for {@code length} µs, at the exchanges {@code on}; if
 * that is empty, at all of them or on all traffic. The meaning of {@code size} and {@code extra}
 * depends on the kind and is described in docs/operating.md.
 */
public record InjectedFault(
        String kind, long at, long length, List<Integer> on, double size, double extra) {
    /** Kinds of faults, as written in scenario files. */
    public static final List<String> KINDS =
            List.of(
                    "surge",
                    "swamped",
                    "death",
                    "drain",
                    "slow",
                    "other-work",
                    "stall",
                    "silence",
                    "lost-answers",
                    "lost-circuits",
                    "ageing",
                    "router-death",
                    "portability-dead",
                    "portability-slow",
                    "planner-halt",
                    "planner-slow",
                    "mass-call",
                    "directory-death",
                    "directory-restart",
                    "directory-cut",
                    "directory-forged",
                    "dns-dead",
                    "dns-truncated",
                    "dns-stale");

    /** Whether the fault concerns the given exchange. */
    boolean affects(int exchange) {
        return on.isEmpty() || on.contains(exchange);
    }

    /** End of the fault, µs from the start of the scenario. */
    long end() {
        return at + length;
    }
}
