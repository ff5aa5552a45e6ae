package coralcove.platform;

import coralcove.Exchange;
import coralcove.Exchange.Phase;
import coralcove.platform.bulletin.Bulletin;
import coralcove.platform.leg.LegMessages;
import coralcove.sip.StreamFramer;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * The exchanges as listed, the legs to each, and whether its calls still stand. It chooses no
 * exchange: that is the module's; it keeps legs open, picks one for a message, and tells which
 * exchange has died.
 */
final class Exchanges {
    /** µs between two tries of an exchange that is not reached, doubling up to the longest. */
    private static final long AGAIN_FIRST = 100_000;

    private static final long AGAIN_LONGEST = 800_000;

    /**
     * µs without a message after which one whose calls stand is asked for a sign of life: by a
     * further leg, as a new one brings a report first, and by a test where that is refused. Each is
     * work for the exchange; two must fit before it counts as mute.
     */
    private static final long QUIET = 3_000_000;

    /** µs between two further legs that are tried for that, and between two tests. */
    private static final long ASK_AGAIN = 1_000_000;

    /**
     * µs without a message after which the calls of an exchange are over, whatever its connections
     * do: it hangs, is cut off, or its process drained and is gone. A call's end has to be told
     * within 8 s of it and may be as old as the last message; the rest is for the news to be heard.
     * Not sooner: what is cut off for some seconds has its calls when it comes back.
     */
    private static final long MUTE = 6_500_000;

    /**
     * The same where it has said nothing since this router started: calls that it is told to stand
     * there may have ended while nobody could be told, and an exchange that lives reports as soon
     * as a leg is up.
     */
    private static final long FIRST_WORD = 3_000_000;

    /** µs after an exchange is told gone in which its legs still may say something. */
    private static final long GONE_SAYS = 3_000_000;

    /**
     * Refused tries in a row, with no leg up, from which an exchange is dead: one can be a process
     * that starts.
     */
    private static final int REFUSALS = 2;

    /**
     * µs that a message may take to come whole, and that a leg which is of no use any more waits
     * for its INVITEs.
     */
    private static final long STALLED = 400_000;

    /** Bytes of one message, as the protocol has it. */
    private static final int MOST_BYTES = 16 << 10;

    /** Exchanges remembered at most: the list's own, and those that are gone but have calls. */
    private static final int MOST_EXCHANGES = 5_000;

    static final class Leg {
        final long id;
        final Far far;
        final long openedAt;
        final StreamFramer framer = new StreamFramer(MOST_BYTES);
        boolean up;
        long upAt;

        /**
         * Of no use for new INVITEs: one on it was not answered, or a message on it does not end.
         */
        boolean spent;

        long heardAt;
        long partialSince;
        int invites;

        Leg(long id, Far far, long openedAt) {
            this.id = id;
            this.far = far;
            this.openedAt = openedAt;
        }
    }

    static final class Far {
        final long id;
        final String name;
        String address;
        int number;
        Phase phase = Phase.READY;
        long since;
        final List<Leg> legs = new ArrayList<>();
        long heardAt;
        boolean spoke;
        long triedAt;
        long testedAt;
        int tests;
        long againAt;
        long wait = AGAIN_FIRST;
        int refusals;
        long goneAt;
        int standing;
        boolean reached;

        Far(long id, String name) {
            this.id = id;
            this.name = name;
        }

        boolean anyUp() {
            return legs.stream().anyMatch(leg -> leg.up);
        }
    }

    /** What the core is told of. */
    interface Listener {
        /** All calls that stand there are over. */
        void died(long now, Far far, String reason);

        /** Those that began before {@code since} are. */
        void restarted(long now, Far far);

        /** This leg is of no use and closed: what was out on it is reset. */
        void spent(long now, Leg leg, String reason);
    }

    private final Actions actions;
    private final Listener listener;
    private final int ownNumber;
    private final boolean mayTest;
    private final int descriptors;
    private final Map<String, Far> byName = new LinkedHashMap<>();
    private final Map<Long, Far> byId = new LinkedHashMap<>();
    private final Map<Long, Leg> legs = new LinkedHashMap<>();
    private long lastId;
    private long lastLeg;
    private long lastTest;
    private boolean ended;

    Exchanges(int ownNumber, boolean mayTest, int descriptors, Actions actions, Listener listener) {
        this.ownNumber = ownNumber;
        this.mayTest = mayTest;
        this.descriptors = descriptors;
        this.actions = actions;
        this.listener = listener;
    }

    int size() {
        return byName.size();
    }

    private int legsEach() {
        return new Descriptors(descriptors, byName.size()).legs();
    }

    Far byId(long id) {
        return byId.get(id);
    }

    Far byName(String name) {
        return byName.get(name);
    }

    Leg leg(long id) {
        return legs.get(id);
    }

    /**
     * One that is not listed yet, but that a call is said to stand at; null where there are too
     * many.
     */
    Far expected(long now, String name) {
        if (byName.size() >= MOST_EXCHANGES) {
            return null;
        }
        Far far = new Far(++lastId, name);
        far.heardAt = now;
        byName.put(name, far);
        byId.put(far.id, far);
        return far;
    }

    /** The first call that is told to stand there: only from now on it is listened for. */
    void awaited(long now, Far far) {
        far.heardAt = far.spoke || far.standing > 0 ? far.heardAt : now;
    }

    /** Takes one event of the bulletin; the lines that the module is told. */
    List<Exchange> roster(long now, Bulletin.Event event) {
        List<Exchange> told = new ArrayList<>();
        if (event.whole()) {
            for (Far far : byName.values()) {
                if (event.entries().stream().noneMatch(each -> each.id().equals(far.name))) {
                    gone(now, far);
                }
            }
        }
        for (Bulletin.Entry entry : event.entries()) {
            Far far = byName.get(entry.id());
            if (far == null && byName.size() >= MOST_EXCHANGES) {
                actions.log("exchange-not-taken", "", entry.id() + ": more than " + MOST_EXCHANGES);
                continue;
            }
            if (far == null) {
                far = expected(now, entry.id());
            }
            told.add(take(now, far, entry, told));
        }
        return told;
    }

    private Exchange take(long now, Far far, Bulletin.Entry entry, List<Exchange> told) {
        far.number = entry.number() < 0 ? far.number : entry.number();
        boolean moved =
                far.address != null
                        && !entry.address().isEmpty()
                        && !far.address.equals(entry.address());
        far.address = entry.address().isEmpty() ? far.address : entry.address();
        long since = entry.startedMs() * 1000;
        if (since > far.since) {
            far.since = since;
            listener.restarted(now, far);
            // Those of the process before say nothing more, and a set-up on one would be lost. One
            // that came up since is the new one's.
            List.copyOf(far.legs).stream()
                    .filter(leg -> leg.up && leg.upAt < since)
                    .forEach(leg -> close(now, leg, "restarted"));
        }
        if (moved) {
            closeAll(now, far, "moved");
        }
        switch (entry.state()) {
            case IN_SERVICE -> {
                far.phase = Phase.READY;
                far.againAt = Math.min(far.againAt, now);
                displace(now, far, told);
            }
            case TERMINATING -> far.phase = Phase.DRAINING;
            case TERMINATED -> gone(now, far);
        }
        return new Exchange(far.id, far.number, far.phase, far.since);
    }

    /**
     * A new exchange may have the address of one that has gone: what is still said there is not for
     * the old one.
     */
    private void displace(long now, Far fresh, List<Exchange> told) {
        for (Far far : byName.values()) {
            if (far != fresh
                    && fresh.address.equals(far.address)
                    && far.since < fresh.since
                    && far.phase != Phase.GONE) {
                gone(now, far);
                told.add(new Exchange(far.id, far.number, far.phase, far.since));
            }
        }
    }

    private void gone(long now, Far far) {
        far.goneAt = far.phase == Phase.GONE ? far.goneAt : now;
        far.phase = Phase.GONE;
        if (!far.anyUp()) {
            listener.died(now, far, "gone");
            closeAll(now, far, "gone");
        }
    }

    private void closeAll(long now, Far far, String reason) {
        for (Leg leg : List.copyOf(far.legs)) {
            close(now, leg, reason);
        }
    }

    /** Closes every leg: nothing more is heard, and who sends something finds it undelivered. */
    void closeAll(long now) {
        ended = true;
        for (Leg leg : List.copyOf(legs.values())) {
            close(now, leg, "ends");
        }
    }

    private void close(long now, Leg leg, String reason) {
        if (legs.remove(leg.id) != null) {
            leg.far.legs.remove(leg);
            actions.closeLeg(leg.id);
            listener.spent(now, leg, reason);
        }
    }

    /**
     * The leg for an INVITE: up, of use, and with the fewest INVITEs out; null where there is none.
     */
    Leg pick(Far far) {
        Leg best = null;
        for (Leg leg : far.legs) {
            if (leg.up && !leg.spent && (best == null || leg.invites < best.invites)) {
                best = leg;
            }
        }
        return best;
    }

    /** Any leg for what concerns a standing call, or null. */
    Leg any(Far far) {
        Leg best = pick(far);
        for (Leg leg : far.legs) {
            best = best == null && leg.up ? leg : best;
        }
        return best;
    }

    /** An INVITE waits for a leg: one is opened now, if none is on its way. */
    void want(long now, Far far) {
        if (far.legs.stream().allMatch(leg -> leg.up)) {
            connect(now, far);
        }
    }

    private void connect(long now, Far far) {
        if (far.address == null || ended) {
            return;
        }
        Leg leg = new Leg(++lastLeg, far, now);
        far.legs.add(leg);
        far.triedAt = now;
        legs.put(leg.id, leg);
        actions.connect(leg.id, far.address);
    }

    void up(long now, Leg leg) {
        leg.up = true;
        leg.upAt = now;
        leg.heardAt = now;
        Far far = leg.far;
        far.reached = true;
        far.refusals = 0;
        // A further leg was tried as the others said nothing: it takes the place of the oldest of
        // them.
        if (far.legs.stream().filter(each -> each.up).count() > legsEach()) {
            for (Leg old : List.copyOf(far.legs)) {
                if (old != leg && old.up && old.invites == 0) {
                    close(now, old, "replaced");
                    break;
                }
            }
        }
    }

    void heard(long now, Leg leg) {
        leg.heardAt = now;
        leg.partialSince = 0;
        leg.far.heardAt = now;
        leg.far.spoke = true;
        leg.far.wait = AGAIN_FIRST;
    }

    /** A leg is down; what was out on it is the core's to end. */
    void down(long now, Leg leg, Down how) {
        legs.remove(leg.id);
        Far far = leg.far;
        far.legs.remove(leg);
        far.refusals += how == Down.REFUSED ? 1 : 0;
        boolean lived = how == Down.BROKEN && now - leg.openedAt > AGAIN_LONGEST;
        far.againAt = lived ? now : now + far.wait;
        far.wait = lived ? AGAIN_FIRST : Math.min(AGAIN_LONGEST, 2 * far.wait);
        if (!far.anyUp()
                && (how == Down.REFUSED && far.refusals >= REFUSALS || far.phase == Phase.GONE)) {
            listener.died(now, far, how == Down.REFUSED ? "refused" : "gone");
        }
    }

    /** Closes a leg that can be of no further use. */
    void discard(long now, Leg leg, String reason) {
        close(now, leg, reason);
        leg.far.againAt = Math.min(leg.far.againAt, now);
    }

    /** Whether each exchange in service was reached, or was tried and did not answer. */
    boolean allTried() {
        return byName.values().stream()
                .noneMatch(
                        far ->
                                wanted(far)
                                        && far.address != null
                                        && !far.reached
                                        && (far.triedAt == 0
                                                || far.legs.stream().anyMatch(leg -> !leg.up)
                                                        && far.refusals == 0));
    }

    private boolean wanted(Far far) {
        return far.number != ownNumber
                && (far.phase != Phase.GONE && (far.phase == Phase.READY || far.standing > 0));
    }

    /** Opens the legs that are missing, closes what is of no use, and finds who has died. */
    void tick(long now) {
        int legsEach = legsEach();
        for (Far far : List.copyOf(byName.values())) {
            for (Leg leg : List.copyOf(far.legs)) {
                look(now, leg);
            }
            if (wanted(far)) {
                boolean trying = far.legs.stream().anyMatch(leg -> !leg.up);
                long usable = far.legs.stream().filter(leg -> !leg.spent).count();
                // Only for its calls: each connection is work for an exchange that hears from every
                // router.
                boolean quiet =
                        far.standing > 0
                                && now - far.heardAt > QUIET
                                && now - far.triedAt > ASK_AGAIN;
                if (now >= far.againAt && usable < legsEach
                        || !trying && quiet && usable <= legsEach) {
                    connect(now, far);
                }
            }
            if (far.standing > 0) {
                test(now, far);
            }
            if (far.standing > 0 && now - far.heardAt > (far.spoke ? MUTE : FIRST_WORD)) {
                listener.died(now, far, "mute");
            }
            if (far.standing > 0
                    && far.phase == Phase.GONE
                    && now - Math.max(far.goneAt, far.heardAt) > GONE_SAYS) {
                listener.died(now, far, "gone");
            }
            boolean unlisted = far.phase == Phase.GONE || far.address == null;
            if (unlisted
                    && far.standing == 0
                    && far.legs.stream().allMatch(leg -> leg.invites == 0)) {
                closeAll(now, far, "gone");
                byName.remove(far.name);
                byId.remove(far.id);
            }
        }
    }

    /**
     * One that drains takes no further leg: it is tested on those it has, in turn, as one of them
     * alone may be cut.
     */
    private void test(long now, Far far) {
        if (mayTest
                && far.refusals > 0
                && now - far.heardAt > QUIET
                && now - far.testedAt > ASK_AGAIN) {
            List<Leg> up = far.legs.stream().filter(leg -> leg.up).toList();
            if (!up.isEmpty()) {
                far.testedAt = now;
                actions.toLeg(up.get(far.tests++ % up.size()).id, LegMessages.test(++lastTest));
            }
        }
    }

    private void look(long now, Leg leg) {
        boolean partial = leg.framer.partial();
        leg.partialSince = partial ? leg.partialSince == 0 ? now : leg.partialSince : 0;
        if (partial && now - leg.partialSince > STALLED) {
            discard(now, leg, "a message that does not end");
        } else if (leg.spent && leg.invites == 0) {
            discard(now, leg, "unanswered");
        }
    }
}
