package coralcove.platform;

import coralcove.platform.Callers.Caller;
import coralcove.platform.caller.CallerMessage;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/**
 * What callers are told of calls that stood. It goes on the connection of the set-up, or another,
 * or waits for one. Callers say that they heard it; if that connection closes before they do, it is
 * told again on another.
 */
final class News {
    /**
     * µs after which a release that was not heard is told elsewhere: two fit into the second that
     * is given.
     */
    private static final long UNHEARD = 300_000;

    /** Connections on which one release is told again at most. */
    private static final int MOST_TOLD = 3;

    /**
     * Releases on one connection that its caller has not said to have heard, at most; it may say
     * nothing.
     */
    private static final int MOST_UNHEARD = 100;

    /** Releases that wait for a caller's connection at most. */
    private static final int MOST_WAITING = 10_000;

    private final Callers callers;
    private final Actions actions;
    private final Timers timers;
    private final List<CallerMessage> waiting = new ArrayList<>();

    News(Callers callers, Actions actions, Timers timers) {
        this.callers = callers;
        this.actions = actions;
        this.timers = timers;
    }

    /** {@code caller} is the connection of the set-up, 0 where it is gone or not known. */
    void tell(long now, long caller, CallerMessage message) {
        tell(now, caller, message, new HashSet<>());
    }

    private void tell(long now, long caller, CallerMessage message, Set<Long> told) {
        Caller to = callers.forNews(caller, told);
        if (to != null) {
            to.unheard.put(message.call(), message);
            if (to.unheard.size() > MOST_UNHEARD) {
                to.unheard.remove(to.unheard.keySet().iterator().next());
            }
            actions.toCaller(to.id, message);
            told.add(to.id);
            if (told.size() <= MOST_TOLD) {
                timers.at(now + UNHEARD, moment -> again(moment, to, message, told));
            }
        } else if (told.isEmpty() && waiting.size() < MOST_WAITING) {
            waiting.add(message);
        }
    }

    /**
     * Not heard though its connection is open: a stranger's, or one that nobody reads. It is told
     * on another.
     */
    private void again(long now, Caller to, CallerMessage message, Set<Long> told) {
        if (callers.get(to.id) == to
                && to.unheard.containsKey(message.call())
                && callers.forNews(0, told) != null) {
            to.unheard.remove(message.call());
            tell(now, 0, message, told);
        }
    }

    /** This connection is gone: what was not heard on it is told elsewhere. */
    void lost(long now, Caller caller) {
        caller.unheard.values().forEach(each -> tell(now, 0, each));
    }

    /** There is a connection again for what waits. */
    void flush(long now) {
        if (!waiting.isEmpty()) {
            List<CallerMessage> all = List.copyOf(waiting);
            waiting.clear();
            all.forEach(each -> tell(now, 0, each));
        }
    }

    /**
     * Whether something was told that those who say what they heard have not heard yet, or nobody
     * could be told.
     */
    boolean owed() {
        return !waiting.isEmpty()
                || callers.all().stream().anyMatch(each -> each.hearing && !each.unheard.isEmpty());
    }
}
