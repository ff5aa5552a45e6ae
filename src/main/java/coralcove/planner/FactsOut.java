package coralcove.planner;

import coralcove.GroupFacts;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Facts on their way to the planner: one a group, the newest wins, so that a planner that does not
 * read costs no memory and reads the newest first thing when it is back. Bounded by groups; past it
 * the one told longest ago goes.
 */
public final class FactsOut {
    private final int most;
    private final Map<Integer, GroupFacts> waiting = new LinkedHashMap<>();

    /**
     * Sent, and no plan that rests on them has come: a planner that starts anew gets them again.
     */
    private final Map<Integer, GroupFacts> unplanned = new LinkedHashMap<>();

    private long dropped;
    private long replaced;

    public FactsOut(int most) {
        this.most = most;
    }

    public void add(GroupFacts facts) {
        if (waiting.remove(facts.number()) != null) {
            replaced++;
        }
        unplanned.remove(facts.number());
        waiting.put(facts.number(), facts);
        if (waiting.size() > most) {
            Iterator<Integer> oldest = waiting.keySet().iterator();
            oldest.next();
            oldest.remove();
            dropped++;
        }
    }

    /** The ones told longest ago first, {@code count} at most. */
    public List<GroupFacts> take(int count) {
        List<GroupFacts> out = new ArrayList<>();
        Iterator<GroupFacts> oldest = waiting.values().iterator();
        while (out.size() < count && oldest.hasNext()) {
            GroupFacts next = oldest.next();
            out.add(next);
            unplanned.put(next.number(), next);
            oldest.remove();
        }
        while (unplanned.size() > most) {
            unplanned.remove(unplanned.keySet().iterator().next());
        }
        return out;
    }

    /** A plan rests on this group's facts of that moment. */
    public void planned(int number, long at) {
        GroupFacts sent = unplanned.get(number);
        if (sent != null && sent.at() <= at) {
            unplanned.remove(number);
        }
    }

    /**
     * Another planner: what the last one was told and did not plan waits again, before what is
     * newer.
     */
    public void again() {
        Map<Integer, GroupFacts> later = new LinkedHashMap<>(waiting);
        waiting.clear();
        waiting.putAll(unplanned);
        unplanned.clear();
        later.values().forEach(this::add);
    }

    public int waiting() {
        return waiting.size();
    }

    /**
     * Dropped for room, and thinned out because a newer one of the same group came before they were
     * sent.
     */
    public long[] counts() {
        return new long[] {dropped, replaced};
    }
}
