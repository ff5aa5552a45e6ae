package coralcove.rehearsal;

import java.util.List;

/**
 * One trouble of a day: from {@code at} for {@code length} µs, at the exchanges {@code on} (empty:
 * all, or the whole traffic). What size and extra mean is told in docs/operating.md for each kind.
 */
public record Trouble(
        String kind, long at, long length, List<Integer> on, double size, double extra) {
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

    boolean strikes(int exchange) {
        return on.isEmpty() || on.contains(exchange);
    }

    long end() {
        return at + length;
    }
}
