package coralcove.platform;

import coralcove.Ending;
import coralcove.platform.Exchanges.Far;
import coralcove.platform.Exchanges.Leg;
import coralcove.platform.caller.CallerMessage;
import coralcove.platform.leg.LegEndings;
import coralcove.platform.leg.LegMessages;
import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * The calls that stand, at which exchange and whose, and what both ends are told when one is over.
 */
final class StandingCalls {
    /** Calls at most: past it a set-up is turned away. */
    private static final int MOST = 50_000;

    /** Releases and ends that are remembered, and for how long: a message's way. */
    private static final int MOST_REMEMBERED = 4_000;

    private static final long REMEMBERED = 12_000_000;

    /** Releases that wait for a leg to one exchange at most. */
    private static final int MOST_OWED = 1_000;

    private record Call(Far far, long caller, long since) {}

    /** Hears that a call is over. */
    interface Listener {
        void over(long now, long id, Far far, Ending ending);
    }

    private final Exchanges exchanges;
    private final News news;
    private final Actions actions;
    private final Tally tally;
    private final Listener listener;
    private final Map<Long, Call> calls = new LinkedHashMap<>();

    /** When a release came of a call that is not known yet. */
    private final Map<Long, Long> unknown = remembered();

    /**
     * Sessions and calls that this router has ended itself: a release that comes again for one is
     * no news.
     */
    private final Map<Long, Long> finished = remembered();

    /** Calls whose exchange has not heard of their end yet, as no leg was up. */
    private final Map<Far, ArrayDeque<Long>> owed = new HashMap<>();

    StandingCalls(Exchanges exchanges, News news, Actions actions, Tally tally, Listener listener) {
        this.exchanges = exchanges;
        this.news = news;
        this.actions = actions;
        this.tally = tally;
        this.listener = listener;
    }

    static <T> Map<Long, T> remembered() {
        return new LinkedHashMap<>() {
            private static final long serialVersionUID = 1;

            @Override
            protected boolean removeEldestEntry(Map.Entry<Long, T> eldest) {
                return size() > MOST_REMEMBERED;
            }
        };
    }

    int size() {
        return calls.size();
    }

    boolean full() {
        return calls.size() >= MOST;
    }

    boolean has(long id) {
        return calls.containsKey(id);
    }

    void stands(long now, long id, Far far, long caller) {
        calls.put(id, new Call(far, caller, now));
        far.standing++;
    }

    /**
     * A call that stands already, told after a start; it may have ended while nobody could be told.
     */
    void told(long now, long id, String exchange, long caller, boolean listKnown) {
        Long before = unknown.remove(id);
        if (calls.containsKey(id) || before != null && now - before < REMEMBERED) {
            // Held already, or its release came first and was passed on.
            return;
        }
        Far far = exchanges.byName(exchange);
        if (far == null && !listKnown) {
            // The configuration's list is as old as the start: the call may stand at one that is
            // newer.
            far = exchanges.expected(now, exchange);
        }
        if (far == null) {
            tally.over++;
            news.tell(
                    now,
                    caller,
                    CallerMessage.withCause(CallerMessage.RELEASE, id, LegEndings.CUT));
            return;
        }
        tally.toldStanding++;
        exchanges.awaited(now, far);
        stands(now, id, far, caller);
    }

    /**
     * Its caller ends it: the exchange hears so, at once or on the next leg. False where it does
     * not stand.
     */
    boolean callerReleases(long now, long id, int cause) {
        Call call = calls.get(id);
        if (call == null) {
            return false;
        }
        Leg leg = exchanges.any(call.far);
        if (leg != null) {
            actions.toLeg(leg.id, LegMessages.bye(id, cause));
        } else {
            ArrayDeque<Long> waiting = owed.computeIfAbsent(call.far, each -> new ArrayDeque<>());
            waiting.add(id);
            if (waiting.size() > MOST_OWED) {
                waiting.poll();
            }
        }
        ended(now, id, call, Ending.OVER);
        return true;
    }

    /** A leg is up: what its exchange was not told goes out on it. */
    void legUp(Leg leg) {
        ArrayDeque<Long> waiting = owed.remove(leg.far);
        if (waiting != null) {
            waiting.forEach(id -> actions.toLeg(leg.id, LegMessages.bye(id, LegEndings.NORMAL)));
        }
    }

    /** An exchange releases a call; cause 0 where it named none. */
    void released(long now, long id, Far far, int cause) {
        int why = cause == 0 ? LegEndings.CUT : cause;
        Call call = calls.get(id);
        if (call != null && call.far == far) {
            over(now, id, call, why);
        } else if (call == null && !unknown.containsKey(id) && !finished.containsKey(id)) {
            // It stood before this start: its caller is told, also if its set-up comes again behind
            // this.
            unknown.put(id, now);
            tally.passedOn++;
            news.tell(now, 0, CallerMessage.withCause(CallerMessage.RELEASE, id, why));
        }
    }

    /** Calls at this exchange are over: those that began before {@code before}. */
    void cut(long now, Far far, long before) {
        owed.remove(far);
        if (far.standing == 0) {
            return;
        }
        Leg leg = before == Long.MAX_VALUE ? exchanges.any(far) : null;
        for (Map.Entry<Long, Call> each : List.copyOf(calls.entrySet())) {
            if (each.getValue().far == far && each.getValue().since < before) {
                if (leg != null) {
                    // It may only hang: what its callers were told is over must not stand on there.
                    actions.toLeg(leg.id, LegMessages.bye(each.getKey(), LegEndings.CUT));
                }
                over(now, each.getKey(), each.getValue(), LegEndings.CUT);
            }
        }
    }

    private void over(long now, long id, Call call, int cause) {
        tally.cut += cause == LegEndings.NORMAL ? 0 : 1;
        news.tell(now, call.caller, CallerMessage.withCause(CallerMessage.RELEASE, id, cause));
        ended(now, id, call, LegEndings.released(cause));
    }

    private void ended(long now, long id, Call call, Ending ending) {
        calls.remove(id);
        finish(now, id);
        call.far.standing--;
        tally.over++;
        listener.over(now, id, call.far, ending);
    }

    /** This router has ended a session or call. */
    void finish(long now, long id) {
        finished.put(id, now);
    }
}
