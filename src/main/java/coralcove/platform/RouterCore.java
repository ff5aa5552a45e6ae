package coralcove.platform;

import coralcove.CallRouter;
import coralcove.Cause;
import coralcove.Ending;
import coralcove.Exchange;
import coralcove.Session;
import coralcove.inhand.InHand;
import coralcove.inhand.Wire;
import coralcove.platform.Callers.Caller;
import coralcove.platform.Exchanges.Far;
import coralcove.platform.Exchanges.Leg;
import coralcove.platform.bulletin.Bulletin;
import coralcove.platform.caller.BadCallerMessage;
import coralcove.platform.caller.CallerMessage;
import coralcove.platform.caller.SetUp;
import coralcove.platform.leg.Description;
import coralcove.platform.leg.LegEndings;
import coralcove.platform.leg.LegMessages;
import coralcove.platform.leg.Report;
import coralcove.protocol.Outcomes;
import coralcove.sip.BadMessage;
import coralcove.sip.SipMessage;
import coralcove.sip.SipParser;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.LongConsumer;

/**
 * The session router of the platform without its sockets and clock: time and input in, actions out.
 * Owns the sessions in hand, the one INVITE that each has out, the timers, the standing calls and
 * whom to release. It asks the module and carries out; it decides nothing. One thread owns it;
 * times are µs since the epoch and never go back.
 */
public final class RouterCore implements Wire {
    /**
     * Q.850: refused so that trying again is harmless; failed; cannot be used; an id in use
     * already.
     */
    private static final int REFUSED = 42;

    private static final int FAILED = 38;
    private static final int UNUSABLE = 100;
    private static final int IN_USE = 81;

    /** µs between two looks at connections that say nothing and at exchanges. */
    private static final long LOOK = 50_000;

    /** µs after the start from which the router serves, though an exchange was not reached yet. */
    private static final long READY_AFTER = 1_500_000;

    /**
     * µs after the start from which it serves by the list of its configuration, though nothing came
     * of asking for a newer.
     */
    private static final long READY_UNLISTED = 4_000_000;

    /** Set-ups that cannot be used, of which each is logged; from then on they are only counted. */
    private static final int MOST_TOLD = 20;

    private static final class Invite {
        final Far far;
        final long sentAt;
        final long limit;

        /** The CSeq number: each INVITE of a session has its own. */
        final int sequence;

        Leg leg;

        Invite(Far far, long sentAt, long limit, int sequence) {
            this.far = far;
            this.sentAt = sentAt;
            this.limit = limit;
            this.sequence = sequence;
        }
    }

    private static final class Held {
        final SetUp setUp;
        final Caller caller;
        Invite out;
        int invites;

        Held(SetUp setUp, Caller caller) {
            this.setUp = setUp;
            this.caller = caller;
        }
    }

    private record Arrival(Held held, Session session) {}

    private final ServiceSettings settings;
    private final Actions actions;
    private final CallRouter router;
    private final InHand inHand;
    private final Exchanges exchanges;
    private final Callers callers;
    private final Map<Long, Held> held = new HashMap<>();
    private final StandingCalls standing;
    private final Timers timers = new Timers();
    private final News news;
    private final Drain drain = new Drain();

    /** Set-ups that were read and not decided yet, in the order in which they came. */
    private final ArrayDeque<Arrival> arrivals = new ArrayDeque<>();

    /** INVITEs that the module decided on and that are not written yet. */
    private final ArrayDeque<Held> unsent = new ArrayDeque<>();

    /** INVITEs given up, and where: an answer may be on its way. */
    private final Map<Long, Far> calledOff = StandingCalls.remembered();

    private final List<byte[]> peers = new ArrayList<>();
    private final Map<Long, Far> probes = new HashMap<>();
    private final long started;
    private long now;
    private long lastEvent;
    private boolean listAnswered;
    private boolean listFailed;
    private long lookAt;
    private long callerAt;
    private long lastProbe;
    private final Tally tally = new Tally();

    public RouterCore(long now, ServiceSettings settings, CallRouter router, Actions actions) {
        this.now = now;
        started = now;
        this.settings = settings;
        this.router = router;
        this.actions = actions;
        inHand = new InHand(router, this);
        exchanges =
                new Exchanges(
                        settings.module().ownNumber(),
                        settings.mayTest(),
                        settings.descriptors(),
                        actions,
                        new Ends());
        callers = new Callers(new Descriptors(settings.descriptors(), 0));
        news = new News(callers, actions, timers);
        standing =
                new StandingCalls(
                        exchanges,
                        news,
                        actions,
                        tally,
                        (at, id, far, ending) ->
                                inHand.ended(at, id, ending, Cause.NONE, far.id, 0, 0, true));
    }

    /** The moment of an input: by its arrival, but never before what was looked at already. */
    private long at(long stamp) {
        now = Math.max(now, stamp);
        return now;
    }

    // ---- callers

    public void callerOpened(long stamp, long id) {
        callers.opened(at(stamp), id);
    }

    public void callerRead(long stamp, long id, byte[] bytes) {
        at(stamp);
        Caller caller = callers.get(id);
        if (caller == null) {
            return;
        }
        callerAt = now;
        caller.readAt = now;
        caller.partialSince = 0;
        List<CallerMessage> messages = new ArrayList<>();
        boolean good = true;
        try {
            caller.framer.take(bytes, messages::add);
        } catch (BadCallerMessage e) {
            good = false;
        }
        for (CallerMessage message : messages) {
            if (callers.get(id) == caller) {
                message(stamp, caller, message);
            }
        }
        if (!good && callers.get(id) == caller) {
            tally.unreadable++;
            closeCaller(caller);
        }
    }

    /**
     * One more has come near the bound of connections: two of no use go for it, so that callers are
     * not kept waiting.
     */
    public void crowded(long stamp) {
        at(stamp);
        for (Caller caller : callers.idlest(now)) {
            tally.crowded++;
            closeCaller(caller);
        }
    }

    public void callerClosed(long stamp, long id) {
        at(stamp);
        Caller caller = callers.closed(id);
        if (caller != null) {
            leave(caller);
        }
    }

    private void closeCaller(Caller caller) {
        callers.closed(caller.id);
        actions.closeCaller(caller.id);
        leave(caller);
    }

    /**
     * Its connection is gone: what was open on it is given up, what was told on it and not heard is
     * told elsewhere.
     */
    private void leave(Caller caller) {
        List.copyOf(caller.open).forEach(this::giveUp);
        news.lost(now, caller);
    }

    private void message(long stamp, Caller caller, CallerMessage message) {
        switch (message.type()) {
            case CallerMessage.SET_UP -> setUp(stamp, caller, message);
            case CallerMessage.RELEASE -> callerReleases(caller, message);
            case CallerMessage.TEST -> {
                callers.useful(caller);
                boolean good = ready() && !drain.begun();
                actions.toCaller(
                        caller.id,
                        CallerMessage.withCause(
                                CallerMessage.TEST_ANSWER, message.call(), good ? 1 : 0));
            }
            case CallerMessage.RELEASE_HEARD -> {
                tally.heard++;
                callers.heard(caller);
                caller.unheard.remove(message.call());
            }
            case CallerMessage.PROGRESS -> {}
            default -> {
                tally.unreadable++;
                closeCaller(caller);
            }
        }
        if (caller.known) {
            news.flush(now);
        }
    }

    private void setUp(long stamp, Caller caller, CallerMessage message) {
        SetUp setUp;
        try {
            setUp = SetUp.of(message, settings.services(), settings.widths());
        } catch (BadCallerMessage e) {
            if (++tally.unusable <= MOST_TOLD) {
                actions.log("unusable", LegMessages.callId(message.call()), e.getMessage());
            }
            release(caller, message.call(), UNUSABLE);
            return;
        }
        long id = setUp.call();
        if (setUp.standsAt() != null) {
            callers.useful(caller);
            callers.calling(caller);
            if (!held.containsKey(id)) {
                standing.told(now, id, setUp.standsAt(), caller.id, listAnswered);
            }
            return;
        }
        Held before = held.get(id);
        if (before != null || standing.has(id)) {
            // Two set-ups under one id: the answer of one would be taken for the other's.
            tally.unusable++;
            release(caller, id, IN_USE);
            if (before != null && before.caller == caller) {
                giveUp(id);
            }
            return;
        }
        callers.useful(caller);
        callers.calling(caller);
        tally.taken++;
        long limit = stamp + setUp.waitMs() * 1000;
        if (held.size() >= settings.mostOpen() || standing.full() || !drain.takes(now)) {
            tally.refused++;
            release(caller, id, REFUSED);
            return;
        }
        Held it = new Held(setUp, caller);
        held.put(id, it);
        caller.open.add(id);
        Session session =
                new Session(
                        id,
                        setUp.serviceIndex(),
                        0,
                        setUp.farEnd(),
                        setUp.width(),
                        setUp.via(),
                        setUp.transit(),
                        Long.parseUnsignedLong(setUp.number(), 16),
                        setUp.redialled(),
                        setUp.cut(),
                        stamp,
                        limit);
        timer(limit, moment -> limit(id));
        arrivals.add(new Arrival(it, session));
    }

    /**
     * Has the module look at the set-up that waits longest, and writes the INVITEs that were
     * decided on. Called when all that was read has been looked at: who left, by a release or by
     * closing, has left before anything is begun for it.
     */
    public void decide(long moment) {
        at(moment);
        boolean decided = false;
        while (!decided && !arrivals.isEmpty()) {
            Arrival next = arrivals.poll();
            decided = held.get(next.session.id()) == next.held;
            if (decided) {
                inHand.take(now, next.session);
            }
        }
        for (Held it = unsent.poll(); it != null; it = unsent.poll()) {
            if (held.get(it.setUp.call()) == it && it.out != null && it.out.leg == null) {
                write(it);
            }
        }
    }

    /** Whether a set-up waits to be decided or an INVITE to be written. */
    public boolean undecided() {
        return !arrivals.isEmpty() || !unsent.isEmpty();
    }

    private void write(Held it) {
        Leg leg = exchanges.pick(it.out.far);
        if (leg != null) {
            invite(it, leg);
        } else {
            exchanges.want(now, it.out.far);
        }
    }

    /** No caller waits longer: whatever the session waits for, it has its answer now. */
    private void limit(long id) {
        Held it = held.get(id);
        if (it != null && it.out != null) {
            timedOut(it, it.out);
        }
        if (held.get(id) == it && it != null) {
            tally.failed++;
            inHand.left(now, id);
            answered(id, CallerMessage.withCause(CallerMessage.RELEASE, id, FAILED));
        }
    }

    private void callerReleases(Caller caller, CallerMessage message) {
        long id = message.call();
        Held it = held.get(id);
        if (it != null && it.caller == caller) {
            callers.useful(caller);
            giveUp(id);
            return;
        }
        if (standing.callerReleases(now, id, message.cause(LegEndings.NORMAL))) {
            callers.useful(caller);
        }
    }

    /**
     * Its caller left or takes it back: nothing is owed, and an INVITE that is out is called off.
     */
    private void giveUp(long id) {
        Held it = held.remove(id);
        if (it == null) {
            return;
        }
        tally.givenUp++;
        standing.finish(now, id);
        it.caller.open.remove(id);
        inHand.left(now, id);
        Invite out = it.out;
        if (out != null) {
            it.out = null;
            if (out.leg != null) {
                out.leg.invites--;
                cancel(it, out);
            }
            inHand.ended(
                    now, id, Ending.CANCELLED, Cause.NONE, out.far.id, now - out.sentAt, 0, true);
        }
    }

    /** An answer to it may be on its way. */
    private void cancel(Held it, Invite out) {
        calledOff.put(it.setUp.call(), out.far);
        actions.toLeg(
                out.leg.id, LegMessages.cancel(it.setUp.call(), out.sequence, it.setUp.number()));
    }

    private void release(Caller caller, long id, int cause) {
        actions.toCaller(caller.id, CallerMessage.withCause(CallerMessage.RELEASE, id, cause));
    }

    // ---- exchanges

    public void legUp(long stamp, long id) {
        at(stamp);
        Leg leg = exchanges.leg(id);
        if (leg == null) {
            // It came up as it was being closed.
            actions.closeLeg(id);
            return;
        }
        exchanges.up(now, leg);
        standing.legUp(leg);
        for (Held it : List.copyOf(held.values())) {
            if (it.out != null && it.out.leg == null && it.out.far == leg.far) {
                invite(it, leg);
            }
        }
    }

    public void legDown(long stamp, long id, Down how) {
        at(stamp);
        Leg leg = exchanges.leg(id);
        if (leg == null) {
            return;
        }
        exchanges.down(now, leg, how);
        reset(leg);
        if (how != Down.BROKEN && !leg.far.anyUp()) {
            unreachable(leg.far);
        }
    }

    public void legRead(long stamp, long id, byte[] bytes) {
        at(stamp);
        Leg leg = exchanges.leg(id);
        if (leg == null) {
            return;
        }
        try {
            leg.framer.take(
                    bytes,
                    0,
                    bytes.length,
                    whole -> {
                        if (exchanges.leg(id) == leg) {
                            read(stamp, leg, whole);
                        }
                    });
        } catch (BadMessage e) {
            spoilt(leg, e.getMessage());
        }
    }

    private void read(long stamp, Leg leg, byte[] bytes) {
        SipMessage message;
        try {
            message = SipParser.parseBare(bytes);
        } catch (BadMessage e) {
            spoilt(leg, e.getMessage());
            return;
        }
        exchanges.heard(now, leg);
        String text = message.header("Link-State");
        if (text != null) {
            report(leg.far, text);
        }
        if (message.isRequest()) {
            request(leg, message);
        } else if (message.status() >= 200) {
            answer(stamp, leg, message);
        }
    }

    /**
     * What cannot be read makes the rest of the stream of no use: whose answer it was is not known.
     */
    private void spoilt(Leg leg, String reason) {
        tally.spoilt++;
        exchanges.discard(now, leg, reason);
    }

    private void report(Far far, String text) {
        float[] columns = Report.read(text, settings.columns());
        if (columns != null && columns[0] >= 0 && columns[1] >= 0) {
            router.circuits(now, far.id, (int) columns[0], (int) columns[1]);
        }
    }

    private void request(Leg leg, SipMessage message) {
        Long id = LegMessages.call(message);
        switch (message.method()) {
            case "NOTIFY", "ACK" -> {}
            case "BYE" -> {
                actions.toLeg(leg.id, LegMessages.reply(message, 200, "OK"));
                if (id != null) {
                    released(leg, id, Outcomes.cause(message));
                }
            }
            case "OPTIONS" -> actions.toLeg(leg.id, LegMessages.reply(message, 200, "OK"));
            default -> actions.toLeg(leg.id, LegMessages.reply(message, 501, "Not Implemented"));
        }
    }

    private void released(Leg leg, long id, int cause) {
        Held it = held.get(id);
        if (it != null && it.out != null && it.out.leg == leg) {
            end(it, Ending.RESET, Cause.NONE, 0);
            return;
        }
        if (it == null) {
            standing.released(now, id, leg.far, cause);
        }
    }

    private void answer(long stamp, Leg leg, SipMessage message) {
        Long id = LegMessages.call(message);
        if (id == null) {
            return;
        }
        if (message.cseqMethod().equals("OPTIONS")) {
            probed(id, leg, message);
            return;
        }
        if (!message.cseqMethod().equals("INVITE")) {
            return;
        }
        Held it = held.get(id);
        boolean awaited = it != null && it.out != null && it.out.leg == leg;
        if (!awaited) {
            late(leg, id, message, it);
            return;
        }
        if (message.status() < 300 && !Description.readable(message.body())) {
            // Cut short, it ends in the message behind it: all that follows on the leg is out of
            // step.
            spoilt(leg, "a description that cannot be read");
            return;
        }
        actions.toLeg(leg.id, LegMessages.ack(id, it.out.sequence, it.setUp.number()));
        if (message.status() >= 300) {
            Outcomes.Outcome outcome = LegEndings.of(message);
            end(it, outcome.ending(), outcome.cause(), outcome.namedWait());
            return;
        }
        held.remove(id);
        it.caller.open.remove(id);
        leg.invites--;
        standing.stands(now, id, leg.far, it.caller.id);
        tally.stood(stamp - it.out.sentAt);
        actions.toCaller(
                it.caller.id,
                CallerMessage.of(CallerMessage.ANSWER, id)
                        .add(CallerMessage.DESCRIPTION, message.body()));
        inHand.stands(now, id, leg.far.id, Math.max(0, stamp - it.out.sentAt));
    }

    /**
     * An answer that nobody waits for: a second copy, one under an unknown id, or one after its
     * INVITE was given up.
     */
    private void late(Leg leg, long id, SipMessage message, Held it) {
        tally.late++;
        if (message.status() < 300 && it == null && !standing.has(id)) {
            if (calledOff.get(id) == leg.far) {
                actions.toLeg(
                        leg.id,
                        LegMessages.ack(
                                id, (int) Math.max(1, message.sequence()), LegMessages.callId(id)));
                actions.toLeg(leg.id, LegMessages.bye(id, LegEndings.NORMAL));
            }
        }
    }

    private void invite(Held it, Leg leg) {
        Invite out = it.out;
        long within = Math.floorDiv(out.limit - now, 1000L);
        if (within < 1) {
            return;
        }
        out.leg = leg;
        leg.invites++;
        tally.invites++;
        actions.toLeg(
                leg.id,
                LegMessages.invite(
                        it.setUp.call(),
                        out.sequence,
                        it.setUp.number(),
                        it.setUp.service(),
                        within,
                        it.setUp.description()));
    }

    /** An INVITE is over and did not stand: the module says what next. */
    private void end(Held it, Ending ending, Cause cause, long namedWait) {
        Invite out = it.out;
        it.out = null;
        if (out.leg != null) {
            out.leg.invites--;
        }
        tally.ended(ending);
        inHand.ended(
                now,
                it.setUp.call(),
                ending,
                cause,
                out.far.id,
                now - out.sentAt,
                namedWait,
                false);
    }

    private void reset(Leg leg) {
        for (Held it : List.copyOf(held.values())) {
            if (it.out != null && it.out.leg == leg) {
                end(it, Ending.RESET, Cause.NONE, 0);
            }
        }
    }

    /** INVITEs that waited for a leg were never written: none of them ran. */
    private void unreachable(Far far) {
        for (Held it : List.copyOf(held.values())) {
            if (it.out != null && it.out.leg == null && it.out.far == far) {
                end(it, Ending.UNREACHABLE, Cause.NONE, 0);
            }
        }
    }

    private void timedOut(Held it, Invite out) {
        if (held.get(it.setUp.call()) != it || it.out != out) {
            return;
        }
        if (out.leg == null) {
            end(it, Ending.UNREACHABLE, Cause.NONE, 0);
            return;
        }
        Leg leg = out.leg;
        // Nothing came on it since: what it is waiting for may be a message that was cut short.
        leg.spent |= leg.heardAt <= out.sentAt;
        cancel(it, out);
        end(it, Ending.TIMED_OUT, Cause.NONE, 0);
    }

    private final class Ends implements Exchanges.Listener {
        @Override
        public void died(long at, Far far, String reason) {
            if (far.standing > 0) {
                actions.log("died", "", far.name + ": " + reason + ", " + far.standing + " calls");
            }
            standing.cut(at, far, Long.MAX_VALUE);
            unreachable(far);
        }

        @Override
        public void restarted(long at, Far far) {
            standing.cut(at, far, far.since);
        }

        @Override
        public void spent(long at, Leg leg, String reason) {
            reset(leg);
        }
    }

    // ---- the list, peers, probes

    /** Events with a number at or under the last one seen are passed over. */
    public void bulletin(long stamp, Bulletin bulletin) {
        at(stamp);
        for (Bulletin.Event event : bulletin.events()) {
            if (event.no() > lastEvent) {
                lastEvent = event.no();
                List<Exchange> told = exchanges.roster(now, event);
                router.roster(now, event.whole(), told);
                // What waits for a leg to one that drains must not be sent when the leg comes up.
                told.stream()
                        .filter(each -> each.phase() != Exchange.Phase.READY)
                        .map(each -> exchanges.byId(each.id()))
                        .forEach(this::unreachable);
            }
        }
        callers.room(new Descriptors(settings.descriptors(), exchanges.size()));
        exchanges.tick(now);
    }

    /** The bulletin answered: the list is as new as it gets. */
    public void bulletinAnswered(long stamp, Bulletin bulletin) {
        listAnswered = true;
        bulletin(stamp, bulletin);
    }

    public void bulletinLost(long stamp) {
        listFailed = true;
        router.rosterLost(at(stamp));
    }

    public void peer(long stamp, int rank, byte[] body) {
        router.peer(at(stamp), rank, body);
    }

    private void probed(long id, Leg leg, SipMessage message) {
        Far far = probes.remove(id);
        if (far != null && far == leg.far) {
            String text = message.header("Link-State");
            float[] columns = text == null ? null : Report.read(text, settings.columns());
            router.report(
                    now,
                    far.id,
                    message.status() == 200,
                    1,
                    columns == null ? new float[0] : columns);
        }
    }

    // ---- what the module decided

    @Override
    public void send(Session session, long exchange, long allowance) {
        Held it = held.get(session.id());
        Far far = exchanges.byId(exchange);
        Invite out = new Invite(far, now, now + allowance, ++it.invites);
        it.out = out;
        unsent.add(it);
        timer(out.limit, moment -> timedOut(it, out));
    }

    @Override
    public void later(Session session, long at) {
        timer(at, moment -> inHand.due(moment, session.id()));
    }

    @Override
    public void refuse(Session session, long comeBack) {
        tally.refused++;
        CallerMessage message =
                CallerMessage.withCause(CallerMessage.RELEASE, session.id(), REFUSED);
        if (comeBack > 0) {
            message.add(CallerMessage.STAY_AWAY, Long.toString((comeBack + 999) / 1000));
        }
        answered(session.id(), message);
    }

    @Override
    public void fail(Session session) {
        tally.failed++;
        answered(
                session.id(), CallerMessage.withCause(CallerMessage.RELEASE, session.id(), FAILED));
    }

    private void answered(long id, CallerMessage message) {
        Held it = held.remove(id);
        standing.finish(now, id);
        it.caller.open.remove(id);
        actions.toCaller(it.caller.id, message);
    }

    @Override
    public void subscribe() {
        // The list's poll runs all the time; there is nothing to start.
    }

    @Override
    public void probe(long exchange) {
        Far far = exchanges.byId(exchange);
        Leg leg = far == null ? null : exchanges.pick(far);
        if (leg != null) {
            long id = --lastProbe;
            probes.put(id, far);
            actions.toLeg(leg.id, LegMessages.probe(id));
            timer(
                    now + settings.connectTimeout(),
                    moment -> {
                        if (probes.remove(id) != null) {
                            router.report(
                                    moment,
                                    exchange,
                                    false,
                                    settings.connectTimeout(),
                                    new float[0]);
                        }
                    });
        }
    }

    @Override
    public void broadcast(byte[] body) {
        peers.add(body);
    }

    @Override
    public void wake(long at) {
        timer(at, moment -> {});
    }

    private void timer(long at, LongConsumer act) {
        timers.at(at, act);
    }

    // ---- time

    /** When {@link #tick} is wanted next. */
    public long due() {
        return Math.min(lookAt, timers.next());
    }

    public void tick(long moment) {
        at(moment);
        timers.run(now);
        if (now >= lookAt) {
            lookAt = now + LOOK;
            exchanges.tick(now);
            for (Caller caller : callers.stalled(now)) {
                tally.callersClosed++;
                closeCaller(caller);
            }
            callers.mark(now);
        }
    }

    /**
     * All that was read has been looked at. Only now may a connection close without a set-up being
     * lost that was read and waited its turn; one that crosses the close is sent again by its
     * caller.
     */
    public void caughtUp(long moment) {
        at(moment);
        for (Caller caller : callers.closable(now)) {
            tally.callersClosed += caller.known ? 0 : 1;
            tally.crowded += caller.known ? 1 : 0;
            closeCaller(caller);
        }
        switch (drain.step(now, held.isEmpty(), callerAt, drain.begun() && news.owed())) {
            case DEAF -> actions.deaf();
            case END -> {
                exchanges.closeAll(now);
                callers.all().forEach(caller -> actions.closeCaller(caller.id));
                actions.end();
            }
            case NOTHING -> {}
        }
    }

    /** At the end of a round of inputs: what the module wants sent besides. */
    public void rest() {
        inHand.rest(now);
        peers.forEach(actions::toPeers);
        peers.clear();
    }

    /** SIGTERM: what is owed is answered, then the program ends; the calls stand on without it. */
    public void drain(long stamp) {
        at(stamp);
        if (drain.begin(now)) {
            actions.log(
                    "drain",
                    "",
                    held.size() + " sessions in hand, " + standing.size() + " calls stand");
        }
    }

    /**
     * Whether the list is known to be new, and each exchange was reached or tried. The list in the
     * configuration is as old as the start: what the bulletin told since counts as told, so it is
     * asked before the first INVITE, unless it fails.
     */
    public boolean ready() {
        long up = now - started;
        boolean listed = listAnswered || listFailed && up > READY_AFTER || up > READY_UNLISTED;
        return lastEvent > 0 && listed && (exchanges.allTried() || up > READY_AFTER);
    }

    /** What was counted so far, in one line. */
    public String counts() {
        return tally
                + " in-hand "
                + held.size()
                + " standing "
                + standing.size()
                + " callers "
                + callers.size()
                + " timers "
                + timers.size();
    }
}
