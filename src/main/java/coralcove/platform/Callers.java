package coralcove.platform;

import coralcove.platform.caller.CallerFramer;
import coralcove.platform.caller.CallerMessage;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * The callers' connections: what is open on each, which may carry news of a call, and which are
 * closed and why.
 */
final class Callers {
    /**
     * µs that a connection may be open without a message that can be used: callers' first comes at
     * once.
     */
    private static final long SILENT = 1_800_000;

    /** µs that a message may take to come whole. */
    private static final long STALLED = 1_500_000;

    /**
     * µs without input after which a connection has nothing on its way, also where the router ran
     * late.
     */
    private static final long SETTLED = 500_000;

    /** µs from the mark to the close: what was read until then is looked at first. */
    private static final long MARKED = 50_000;

    /** µs in which a first message comes even so. */
    private static final long JUST_CAME = 60_000;

    /** µs after which one that has sent nothing is a stranger: callers send as they connect. */
    private static final long YOUNG = 150_000;

    static final class Caller {
        final long id;
        final long openedAt;
        final CallerFramer framer = new CallerFramer();
        final Set<Long> open = new LinkedHashSet<>();

        /** Releases of calls that stood, told on this connection and not yet said to be heard. */
        final Map<Long, CallerMessage> unheard = new LinkedHashMap<>();

        /** Has sent something that can be used; only such a connection is given news of calls. */
        boolean known;

        /** Has said to have heard a release: news told on it is heard again. */
        boolean hearing;

        /** Has had a call: its release is looked for on this connection. */
        boolean called;

        long partialSince;

        /** When it last sent something, or was opened. */
        long readAt;

        Caller(long id, long openedAt) {
            this.id = id;
            this.openedAt = openedAt;
            readAt = openedAt;
        }
    }

    private Descriptors room;
    private final Map<Long, Caller> callers = new LinkedHashMap<>();
    private final LinkedHashSet<Long> known = new LinkedHashSet<>();
    private final LinkedHashSet<Long> hearing = new LinkedHashSet<>();
    private final LinkedHashSet<Long> calling = new LinkedHashSet<>();

    /** Connections marked for closing, and when. */
    private final Map<Long, Long> doomed = new LinkedHashMap<>();

    Callers(Descriptors room) {
        this.room = room;
    }

    /** There are more exchanges, or fewer: their legs need descriptors too. */
    void room(Descriptors now) {
        room = now;
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
        hearing.remove(id);
        calling.remove(id);
        return callers.remove(id);
    }

    void useful(Caller caller) {
        caller.known = true;
        known.remove(caller.id);
        known.add(caller.id);
    }

    /** It said to have heard a release. */
    void heard(Caller caller) {
        caller.hearing = true;
        hearing.remove(caller.id);
        hearing.add(caller.id);
    }

    /** It has a call: set one up, or told of one that stands. */
    void calling(Caller caller) {
        caller.called = true;
        calling.remove(caller.id);
        calling.add(caller.id);
    }

    /**
     * The connection of a call's set-up if it is still open, else the last that said to have heard
     * a release, else the last that has had a call, else the last that sent something; null for
     * none, and none that was told before. Strangers that test by hundreds and stay hear nothing.
     */
    Caller forNews(long first, Set<Long> told) {
        Caller own = told.contains(first) ? null : callers.get(first);
        for (LinkedHashSet<Long> ids : List.of(hearing, calling, known)) {
            own = own == null ? last(ids, told) : own;
        }
        return own;
    }

    private Caller last(LinkedHashSet<Long> ids, Set<Long> told) {
        Long last = null;
        for (Long id : ids) {
            last = told.contains(id) ? last : id;
        }
        return last == null ? null : callers.get(last);
    }

    /**
     * Those to close while too many are open: the oldest that never said anything of use, and of
     * those that did no more than are over their own share, longest silent first. Strangers that
     * connect by hundreds must not push callers out: what ends a call needs one of their
     * connections.
     */
    private List<Caller> tooMany(long now) {
        int over = callers.size() - room.callersInAll();
        if (over <= 0) {
            return List.of();
        }
        List<Caller> found = new ArrayList<>();
        for (Caller caller : callers.values()) {
            if (found.size() < over
                    && !caller.known
                    && caller.open.isEmpty()
                    && now - caller.openedAt > YOUNG) {
                found.add(caller);
            }
        }
        callers.values().stream()
                .filter(each -> each.known && each.open.isEmpty() && now - each.readAt > SETTLED)
                .sorted(
                        Comparator.<Caller, Boolean>comparing(each -> each.hearing)
                                .thenComparing(each -> each.readAt))
                .limit(
                        Math.max(
                                0,
                                Math.min(over - found.size(), known.size() - room.callersOfUse())))
                .forEach(found::add);
        return found;
    }

    /**
     * The oldest that never had or heard of a call, or, past their share, what was silent longest;
     * two at most.
     */
    List<Caller> idlest(long now) {
        List<Caller> found = new ArrayList<>();
        for (Caller caller : callers.values()) {
            if (found.size() < 2
                    && !caller.hearing
                    && !caller.called
                    && caller.open.isEmpty()
                    && now - caller.readAt > JUST_CAME) {
                found.add(caller);
            }
        }
        // In the order of the last that was of use: the first is idle longest. A third of the
        // descriptors are callers' own.
        for (Long id : known.size() > room.callersOfUse() ? known : Set.<Long>of()) {
            Caller caller = callers.get(id);
            if (found.size() < 2 && caller.open.isEmpty() && now - caller.readAt > YOUNG) {
                found.add(caller);
            }
        }
        return found;
    }

    /** Those whose message does not end. */
    List<Caller> stalled(long now) {
        List<Caller> found = new ArrayList<>();
        for (Caller caller : callers.values()) {
            boolean partial = caller.framer.partial();
            caller.partialSince =
                    partial ? caller.partialSince == 0 ? now : caller.partialSince : 0;
            if (partial && now - caller.partialSince > STALLED) {
                found.add(caller);
            }
        }
        return found;
    }

    /**
     * Marks those to close: that never said anything of use, and while there are too many, the
     * idlest.
     */
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
        doomed.entrySet()
                .removeIf(
                        each -> {
                            Caller caller = callers.get(each.getKey());
                            boolean silent =
                                    caller != null
                                            && caller.open.isEmpty()
                                            && (caller.readAt < each.getValue()
                                                    || !caller.known
                                                            && now - caller.openedAt
                                                                    > SILENT + SETTLED);
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
