package coralcove.planner;

import coralcove.GroupFacts;
import java.util.ArrayDeque;
import java.util.Arrays;
import java.util.HashMap;
import java.util.Iterator;
import java.util.Map;

/**
 * Decides what load a group is planned for, when loads move: facts count the last ten seconds, so
 * that they are five old, and their targets are gone by for five more. What all groups of the
 * router tell together shows a rise or a fall long before one group's few calls do. While nothing
 * sure is seen, facts stay as they are. No I/O, no clock of its own.
 */
public final class Outlook {
    /** µs that facts count over, and so the least distance of two that share no call. */
    static final long SPAN = 10_000_000;

    /** µs that is looked ahead: half the count's span, and half of a target's life. */
    static final long AHEAD = 7_500_000;

    /**
     * Standard deviations of a Poisson count past which a change is no chance: one false alarm in
     * some hundred.
     */
    private static final double SURE = 2.6;

    /**
     * Factors between which a load may be planned up or down: past them the facts themselves must
     * say it.
     */
    private static final double LEAST = 0.6;

    private static final double MOST = 1.6;

    /** µs: facts older than this are not compared. */
    private static final long FORGET = 25_000_000;

    /** Facts kept of one group: two spans of refreshes, five seconds each. */
    private static final int KEPT = 5;

    private static final class Past {
        final ArrayDeque<GroupFacts> facts = new ArrayDeque<>();

        /** Counts of calls, now and a span ago; null before there are two. */
        double[] now;

        double[] before;
    }

    private final long[] holds;
    private final int mostGroups;
    private final Map<Integer, Past> groups = new HashMap<>();
    private final double[] nowAll;
    private final double[] beforeAll;

    /**
     * {@code holds} are the classes' mean holds in µs; groups past {@code mostGroups} are planned
     * as they are.
     */
    public Outlook(long[] holds, int mostGroups) {
        this.holds = holds.clone();
        this.mostGroups = mostGroups;
        nowAll = new double[holds.length];
        beforeAll = new double[holds.length];
    }

    /** The load to plan for. */
    public GroupFacts ahead(GroupFacts facts) {
        Past past = groups.get(facts.number());
        if (past == null) {
            if (groups.size() >= mostGroups) {
                return facts;
            }
            past = new Past();
            groups.put(facts.number(), past);
        }
        note(past, facts);
        double[] calls = facts.calls().clone();
        for (int i = 0; i < calls.length; i++) {
            calls[i] *= factor(i);
        }
        return new GroupFacts(facts.at(), facts.number(), facts.size(), calls);
    }

    private void note(Past past, GroupFacts facts) {
        if (!past.facts.isEmpty() && past.facts.peekLast().at() >= facts.at()) {
            return;
        }
        take(past, -1);
        past.facts.add(facts);
        while (past.facts.size() > KEPT || facts.at() - past.facts.peek().at() > FORGET) {
            past.facts.poll();
        }
        past.now = null;
        past.before = null;
        for (Iterator<GroupFacts> from = past.facts.descendingIterator(); from.hasNext(); ) {
            GroupFacts each = from.next();
            if (facts.at() - each.at() >= SPAN) {
                past.now = counts(facts);
                past.before = counts(each);
                break;
            }
        }
        take(past, 1);
    }

    /** Adds a group's part to the sums over all groups, or takes it out again. */
    private void take(Past past, int sign) {
        for (int i = 0; past.now != null && i < holds.length; i++) {
            nowAll[i] += sign * past.now[i];
            beforeAll[i] += sign * past.before[i];
        }
    }

    private double[] counts(GroupFacts facts) {
        double[] counts = new double[holds.length];
        Arrays.setAll(counts, i -> facts.calls()[i] * SPAN / holds[i]);
        return counts;
    }

    /** By what all groups together have grown or shrunk, carried on over the time ahead. */
    double factor(int index) {
        double now = nowAll[index];
        double before = beforeAll[index];
        double change = now - before;
        if (before <= 0 || Math.abs(change) <= SURE * Math.sqrt(now + before)) {
            return 1;
        }
        // What could be chance is not carried on.
        double sure = change - Math.copySign(SURE * Math.sqrt(now + before), change);
        return Math.max(LEAST, Math.min(MOST, 1 + sure / now * AHEAD / SPAN));
    }
}
