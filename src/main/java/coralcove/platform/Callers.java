package coralcove.platform;

import coralcove.platform.caller.CallerFramer;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** The callers' connections: what is open on each, which may carry news of a call, and which are closed and why. */
final class Callers {
    /** µs that a connection may be open without a message that can be used: callers' first comes at once. */
    private static final long SILENT = 1_800_000;
    /** µs that a message may take to come whole. */
    private static final long STALLED = 1_500_000;
    /** µs without input after which a connection has nothing on its way, also where the router ran late. */
    private static final long SETTLED = 500_000;
    /** µs from the mark to the close: what was read until then is looked at first. */
    private static final long MARKED = 50_000;
    /** Share of the descriptors for callers' connections: a third is theirs, as much again may be strangers. */
    private static final double SHARE = 0.6;

    static final class Caller {
        final long id;
        final long openedAt;
        final CallerFramer framer = new CallerFramer();
        final Set<Long> open = new LinkedHashSet<>();
        /** Has sent something that can be used; only such a connection is given news of calls. */
        boolean known;
        long partialSince;
        /** When it last sent something, or was opened. */
        long readAt;

        Caller(long id, long openedAt) {
            this.id = id;
            this.openedAt = openedAt;
            readAt = openedAt;
        }
    }

    private final int most;
    private final Map<Long, Caller> callers = new LinkedHashMap<>();
    private final LinkedHashSet<Long> known = new LinkedHashSet<>();
    /** Connections marked for closing, and when. */
    private final Map<Long, Long> doomed = new LinkedHashMap<>();

    Callers(int descriptors) {
        most = (int) (SHARE * descriptors);
    }

    Caller get(long id) {
        return callers.get(id);
    }

    int size() {
        return callers.size();
    }

    void opened(long now, long id) {
        callers.put(id, new Caller(id, now));
    }

    Caller closed(long id) {
        known.remove(id);
        return callers.remove(id);
    }

    void useful(Caller caller) {
        caller.known = true;
        known.remove(caller.id);
        known.add(caller.id);
    }

    /** The connection of a call's set-up if it is still open, else the one that sent something last; null for none. */
    Caller forNews(long first) {
        Caller own = callers.get(first);
        if (own != null) {
            return own;
        }
        Long last = null;
        for (Long id : known) {
            last = id;
        }
        return last == null ? null : callers.get(last);
    }

    /**
     * Those to close while too many are open: the oldest that never said anything of use, then those with nothing open that
     * were silent longest. One that is young, or has just sent something, may have a set-up on its way: closing it would
     * lose a session that was taken.
     */
    private List<Caller> tooMany(long now) {
        int over = callers.size() - most;
        if (over <= 0) {
            return List.of();
        }
        return callers.values().stream().filter(each -> each.open.isEmpty() && now - each.readAt > SETTLED)
                .sorted(Comparator.<Caller, Boolean>comparing(each -> each.known).thenComparing(each -> each.readAt))
                .limit(over).toList();
    }

    /** Those whose message does not end. */
    List<Caller> stalled(long now) {
        List<Caller> found = new ArrayList<>();
        for (Caller caller : callers.values()) {
            boolean partial = caller.framer.partial();
            caller.partialSince = partial ? caller.partialSince == 0 ? now : caller.partialSince : 0;
            if (partial && now - caller.partialSince > STALLED) {
                found.add(caller);
            }
        }
        return found;
    }

    /** Marks those to close: that never said anything of use, and while there are too many, the idlest. */
    void mark(long now) {
        for (Caller caller : callers.values()) {
            if (!caller.known && now - caller.openedAt > SILENT) {
                doomed.putIfAbsent(caller.id, now);
            }
        }
        tooMany(now).forEach(caller -> doomed.putIfAbsent(caller.id, now));
    }

    /** Those marked a little ago that have sent nothing since and have nothing open. */
    List<Caller> closable(long now) {
        List<Caller> found = new ArrayList<>();
        doomed.entrySet().removeIf(each -> {
            Caller caller = callers.get(each.getKey());
            boolean silent = caller != null && caller.open.isEmpty() && (caller.readAt < each.getValue()
                    || !caller.known && now - caller.openedAt > SILENT + SETTLED);
            if (silent && now - each.getValue() >= MARKED) {
                found.add(caller);
                return true;
            }
            return !silent;
        });
        return found;
    }

    List<Caller> all() {
        return List.copyOf(callers.values());
    }
}
