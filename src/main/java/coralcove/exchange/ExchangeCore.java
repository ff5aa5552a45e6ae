package coralcove.exchange;

import coralcove.protocol.CallHeaders;
import coralcove.protocol.Outcomes;
import coralcove.protocol.Refusal;
import coralcove.sip.Hop;
import coralcove.sip.Out;
import coralcove.sip.SipMessage;
import coralcove.sip.SipUri;
import coralcove.sip.Timers;
import coralcove.sip.dialog.Agent;
import coralcove.sip.dialog.AgentCore;
import coralcove.sip.dialog.Call;
import coralcove.sip.event.Notifier;
import coralcove.sip.transaction.ClientTx;
import coralcove.sip.transaction.ServerTx;
import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.random.RandomGenerator;

/**
 * A stand-in exchange: a processor that all its signalling passes, its lines, its callers. It
 * carries its call router's INVITEs on to the next router, answers for its own lines, and has the
 * faults a day asks for.
 */
public final class ExchangeCore extends AgentCore {
    /** µs between two REGISTERs to the directory. */
    private static final long REGISTER_EVERY = 1_000_000;

    private static final Object REGISTERED = "registered";

    /** Load columns are smoothed over this many µs. */
    private static final double UTIL_SPAN = 1_000_000;

    /** A call carried on: the leg from the own router and the leg to the next one. */
    private static final class Relay {
        final Call in;
        final int to;
        Call out;

        Relay(Call in, int to) {
            this.in = in;
            this.to = to;
        }
    }

    /** A call at the own lines. */
    private record Line(Call call, long number, boolean hot) {}

    /** One caller, from its first try to its last. */
    private static final class Caller {
        final Arrival arrival;
        final ExchangeSettings.Service service;
        Call call;
        int tries;
        long tryAt;
        double earned;
        Timers.Timer patience;
        boolean up;

        Caller(Arrival arrival, ExchangeSettings.Service service) {
            this.arrival = arrival;
            this.service = service;
        }
    }

    private final ExchangeSettings settings;
    private final Processor processor;
    private final RandomGenerator chance;
    private final ArrayDeque<Arrival> arrivals;
    private final Stats stats;
    private final TreeMap<Integer, Integer> groups;
    private final Map<Long, Integer> busyLines = new HashMap<>();
    private final Set<Relay> relays = new LinkedHashSet<>();
    private final Set<Line> lines = new LinkedHashSet<>();
    private final Set<Caller> up = new LinkedHashSet<>();
    private final ArrayDeque<Long> coldSetUps = new ArrayDeque<>();
    private final Notifier groupNews;
    private long groupVersion;

    /** Directories that have not answered a REGISTER of this start yet. */
    private final Set<Hop> unknown = new LinkedHashSet<>();

    private Timers.Timer nextRegister;

    /** What it says of itself, its number of this start, and the signs of life in it. */
    private String phase = "ready";

    private long start;
    private long beat;
    private double loseAnswers;
    private boolean fallen;
    private long sessionIds;
    private long lastWorked;
    private long lastLooked;
    private double util;

    /** {@code arrivals} in order of time; those before the start are passed over. */
    public ExchangeCore(ExchangeSettings settings, List<Arrival> arrivals, Stats stats) {
        super(settings.self(), settings.start());
        this.settings = settings;
        this.arrivals = new ArrayDeque<>(arrivals);
        this.stats = stats;
        chance = new SplittableRandom(settings.seed());
        groups = new TreeMap<>(settings.groups());
        groupNews = new Notifier(agent, timers, "trunk-groups", settings.start(), this::groups);
        unknown.addAll(settings.directories());
        ExchangeSettings.Rules rules = settings.rules();
        processor = new Processor(timers, settings.since(), rules.coldFrom(), rules.warmUp());
    }

    public boolean fallen() {
        return fallen;
    }

    // ---- driven from outside

    @Override
    public void start(long now, Out out) {
        while (!arrivals.isEmpty() && arrivals.peek().at() < now) {
            arrivals.poll();
        }
        start = settings.since() > 0 ? settings.since() : now;
        register(now, out);
        nextArrival();
    }

    @Override
    public void receive(long now, Hop from, SipMessage message, Out out) {
        if (!fallen) {
            agent.receive(now, from, message, out);
        }
    }

    private void register(long now, Out out) {
        if (fallen) {
            return;
        }
        beat++;
        for (Hop directory : settings.directories()) {
            String age =
                    settings.since() == 0
                            ? "-"
                            : Long.toString(Math.max(0, now - settings.since()));
            SipMessage register = agent.request("REGISTER", SipUri.text("", directory));
            register.add(
                    "X-Exchange",
                    settings.id()
                            + " "
                            + settings.number()
                            + " "
                            + phase
                            + " "
                            + start
                            + " "
                            + beat
                            + " "
                            + age
                            + " "
                            + settings.edge());
            if (unknown.remove(directory)) {
                agent.send(now, register, directory, REGISTERED, out);
            } else {
                agent.sendOnce(register, directory, out);
            }
        }
        if (!phase.equals("left")) {
            timers.cancel(nextRegister);
            nextRegister = timers.set(now + REGISTER_EVERY, this::register);
        }
    }

    /**
     * A directory knows a later number of a start: this one's clock went back, and it takes a
     * number past that.
     */
    private void registered(ClientTx tx, SipMessage response) {
        if (response == null) {
            unknown.add(tx.to());
        } else if (response.number("X-Start", -1) >= start) {
            start = response.number("X-Start", -1) + 1;
            beat = 0;
            unknown.addAll(settings.directories());
        }
    }

    // ---- faults

    public void slow(double factor) {
        processor.slow(factor);
    }

    public void stall(long now, long until) {
        processor.stall(now, until);
    }

    public void hang(boolean on) {
        processor.hang(on);
    }

    /** The share of answers that get lost from now on. */
    public void loseAnswers(double share) {
        loseAnswers = share;
    }

    public void drain(long now, Out out) {
        phase = "draining";
        register(now, out);
    }

    /** Tells the directories that it ends. */
    public void leave(long now, Out out) {
        phase = "left";
        register(now, out);
    }

    /** Cuts every call that touches this exchange, as its processor stops. */
    public void cutAll(long now, Out out) {
        for (Relay relay : List.copyOf(relays)) {
            cut(now, relay, out);
        }
        String reason = Outcomes.reason(Outcomes.CUT, "cut");
        lines.forEach(line -> agent.bye(now, line.call, reason, out));
        lines.clear();
        for (Caller caller : up) {
            cutOff(caller);
            agent.bye(now, caller.call, reason, out);
        }
        up.clear();
    }

    /**
     * Sets a group's circuits; calls that it carries out of here are cut with {@code share} when it
     * shrinks.
     */
    public void group(long now, int number, int circuits, double share, Out out) {
        groups.put(number, circuits);
        for (Relay relay : List.copyOf(relays)) {
            if (relay.to == number && relay.in.stands() && chance.nextDouble() < share) {
                cut(now, relay, out);
            }
        }
        groupVersion++;
        groupNews.changed(now, groups(now).tag(), number + " " + circuits + "\n", out);
    }

    private void cut(long now, Relay relay, Out out) {
        if (relay.in.stands()) {
            relays.remove(relay);
            String reason = Outcomes.reason(Outcomes.CUT, "cut");
            agent.bye(now, relay.in, reason, out);
            agent.bye(now, relay.out, reason, out);
        }
    }

    private Notifier.State groups(long now) {
        StringBuilder body = new StringBuilder();
        groups.forEach((number, size) -> body.append(number).append(' ').append(size).append('\n'));
        return new Notifier.State(settings.start() + "." + groupVersion, body.toString());
    }

    // ---- calls from the own router

    @Override
    public void invited(long now, Call call, Hop from, Out out) {
        CallHeaders headers;
        try {
            headers = CallHeaders.of(call.invite(), settings.services().size());
        } catch (IllegalArgumentException e) {
            agent.reject(now, call, 400, "Bad Request", out);
            return;
        }
        boolean own = call.invite().header("Route") == null;
        if (own && headers.origin() >= 0) {
            countCold(now, out);
        }
        ExchangeSettings.Work work = settings.work();
        long wait = processor.queued(now);
        if (wait > work.queueLimit()) {
            long named = work.tellsWait() ? wait - work.queueLimit() / 2 : 0;
            processor.work(
                    now,
                    work.refuse(),
                    (at, o) -> {
                        int cause = own ? Outcomes.PROCESSOR_FULL : Outcomes.OWN_EXCHANGE;
                        agent.reject(
                                at,
                                call,
                                503,
                                "Processor Full",
                                o,
                                "Reason",
                                Outcomes.reason(cause, "processor full"),
                                "Retry-After",
                                Outcomes.retryAfter(named));
                    });
            return;
        }
        long repeats = 0;
        for (long gap = work.resend(); gap > 0 && gap < wait; gap *= 2) {
            repeats++;
        }
        processor.work(
                now,
                work.setUp() + repeats * work.repeat(),
                (at, o) -> {
                    // A set-up that was given up while it waited is dropped.
                    if (call.trying()) {
                        if (own) {
                            ring(at, call, headers, o);
                        } else {
                            carryOn(at, call, headers, at - now, o);
                        }
                    }
                });
    }

    /** Rule 4: set-ups from all routers within a window, against what a cold processor can do. */
    private void countCold(long now, Out out) {
        if (!processor.cold(now)) {
            return;
        }
        ExchangeSettings.Rules rules = settings.rules();
        coldSetUps.add(now);
        while (coldSetUps.peek() <= now - rules.fallWindow()) {
            coldSetUps.poll();
        }
        double can = processor.capacity(now) * rules.fallWindow() / settings.work().setUp();
        if (coldSetUps.size() > rules.fallMultiple() * can) {
            fallen = true;
            out.log("fell-over", "", coldSetUps.size() + " set-ups");
        }
    }

    private void ring(long now, Call call, CallHeaders headers, Out out) {
        long number = Long.parseLong(headers.number().isEmpty() ? "0" : headers.number());
        boolean hot = number > 0 && number < 100;
        if (hot && busyLines.getOrDefault(number, 0) >= settings.hotLines()) {
            agent.reject(
                    now,
                    call,
                    486,
                    "Busy Here",
                    out,
                    "Reason",
                    Outcomes.reason(Outcomes.LINES_BUSY, "lines busy"));
            return;
        }
        if (hot) {
            busyLines.merge(number, 1, Integer::sum);
        }
        Line line = new Line(call, number, hot);
        call.owner(line);
        lines.add(line);
        if (chance.nextDouble() < loseAnswers) {
            out.log("answer-lost", call.sessionId(), "");
            return;
        }
        processor.work(
                now, settings.work().answer(), (at, o) -> agent.answer(at, call, call.invite(), o));
    }

    private void freeLine(Line line) {
        lines.remove(line);
        if (line.hot) {
            busyLines.merge(line.number, -1, Integer::sum);
        }
    }

    private void carryOn(long now, Call call, CallHeaders headers, long waited, Out out) {
        SipUri route = SipUri.of(call.invite().header("Route"));
        if (route == null) {
            agent.reject(now, call, 400, "Route", out);
            return;
        }
        SipMessage invite = agent.request("INVITE", SipUri.text(headers.number(), route.hop()));
        invite.set("Max-Forwards", Long.toString(call.invite().number("Max-Forwards", 70) - 1));
        CallHeaders.pass(call.invite(), invite);
        CallHeaders.write(
                invite,
                headers,
                settings.number(),
                Math.max(0, headers.left() - waited),
                call.sessionId());
        Relay relay =
                new Relay(
                        call,
                        route.user().matches("\\d{1,5}") ? Integer.parseInt(route.user()) : -1);
        call.owner(relay);
        relays.add(relay);
        relay.out = agent.invite(now, invite, route.hop(), relay, out);
    }

    @Override
    public void progressed(long now, Call call, SipMessage response, Out out) {
        // A ringing tells the router nothing that it needs.
    }

    @Override
    public void answered(long now, Call call, SipMessage response, Out out) {
        if (call.owner() instanceof Caller caller) {
            processor.work(now, settings.work().answer(), (at, o) -> stands(at, caller, call, o));
            return;
        }
        Relay relay = (Relay) call.owner();
        processor.work(
                now,
                settings.work().answer(),
                (at, o) -> {
                    if (relay.in.trying()) {
                        agent.answer(at, relay.in, response, o);
                    } else if (!relay.in.stands()) {
                        agent.bye(at, relay.out, null, o);
                    }
                });
    }

    @Override
    public void rejected(long now, Call call, SipMessage response, Agent.Lost lost, Out out) {
        if (call.owner() instanceof Caller caller) {
            refused(now, caller, call, response, out);
            return;
        }
        Relay relay = (Relay) call.owner();
        relays.remove(relay);
        Refusal refusal = Refusal.of(response, lost, "Reason", "Retry-After", "X-Circuits");
        agent.reject(now, relay.in, refusal.status(), refusal.reason(), out, refusal.fields());
    }

    @Override
    public void cancelled(long now, Call call, Out out) {
        if (call.owner() instanceof Relay relay) {
            relays.remove(relay);
            if (relay.out.trying()) {
                agent.cancel(now, relay.out, out);
            }
        } else if (call.owner() instanceof Line line) {
            freeLine(line);
        }
    }

    @Override
    public void hungUp(long now, Call call, SipMessage bye, Out out) {
        processor.work(now, settings.work().release(), Processor::nothing);
        if (call.owner() instanceof Caller caller) {
            if (up.remove(caller)) {
                cutOff(caller);
            }
        } else if (call.owner() instanceof Line line) {
            freeLine(line);
        } else if (call.owner() instanceof Relay relay) {
            relays.remove(relay);
            String reason = bye == null ? null : bye.header("Reason");
            Call other = call == relay.in ? relay.out : relay.in;
            if (other.trying() && other == relay.out) {
                agent.cancel(now, other, out);
            }
            agent.bye(now, other, reason, out);
        }
    }

    @Override
    public void changing(long now, Call call, SipMessage invite, Out out) {
        if (!(call.owner() instanceof Relay relay)) {
            agent.answerChange(
                    now,
                    call,
                    200,
                    "OK",
                    invite.header("Content-Type", "application/sdp"),
                    invite.body(),
                    out);
            return;
        }
        Call other = call == relay.in ? relay.out : relay.in;
        if (!agent.change(
                now, other, invite.header("Content-Type", "application/sdp"), invite.body(), out)) {
            agent.answerChange(now, call, 491, "Request Pending", "", new byte[0], out);
        }
    }

    @Override
    public void changed(long now, Call call, SipMessage response, Out out) {
        if (call.owner() instanceof Relay relay) {
            agent.answerChange(
                    now,
                    call == relay.in ? relay.out : relay.in,
                    response.status(),
                    response.reason(),
                    response.header("Content-Type", "application/sdp"),
                    response.body(),
                    out);
        }
    }

    // ---- the own callers

    private void nextArrival() {
        Arrival next = arrivals.poll();
        if (next != null) {
            timers.set(
                    next.at(),
                    (at, out) -> {
                        nextArrival();
                        if (!fallen) {
                            dial(
                                    at,
                                    new Caller(next, settings.services().get(next.service())),
                                    out);
                        }
                    });
        }
    }

    private void dial(long now, Caller caller, Out out) {
        caller.tries++;
        caller.tryAt = now;
        long limit = limit(caller, now);
        if (processor.queued(now) > settings.work().queueLimit()) {
            stats.turnedAway++;
            processor.work(now, settings.work().refuse(), Processor::nothing);
            redial(now, caller, 0, "own processor full");
            return;
        }
        caller.patience = timers.set(now + limit, (at, o) -> giveUp(at, caller, o));
        processor.work(
                now,
                settings.work().look(),
                (at, o) -> {
                    if (at < caller.tryAt + limit) {
                        ask(at, caller, limit - (at - caller.tryAt), o);
                    }
                });
    }

    /**
     * How long this try may take: a share of the service's limit, and what is left since the first
     * try.
     */
    private long limit(Caller caller, long now) {
        long share = (long) (settings.callers().tryShare() * caller.service.limit());
        return Math.min(share, caller.arrival.at() + caller.service.limit() - now);
    }

    private void ask(long now, Caller caller, long left, Out out) {
        Arrival arrival = caller.arrival;
        stats.sessions++;
        boolean dials = !arrival.dialled().isEmpty();
        String number = dials ? arrival.dialled() : Long.toString(arrival.number());
        SipMessage invite = agent.request("INVITE", SipUri.text(number, settings.edge()));
        boolean redial = settings.callers().marksRedials() && caller.tries > 1;
        CallHeaders headers =
                new CallHeaders(
                        arrival.service(),
                        caller.service.value(),
                        caller.service.width(),
                        redial,
                        false,
                        dials ? -1 : arrival.farEnd(),
                        -1,
                        left,
                        number);
        CallHeaders.write(invite, headers, -1, left, sessionId());
        caller.call = agent.invite(now, invite, settings.edge(), caller, out);
    }

    /** RFC 7989: 32 hexadecimal digits, from the seed. */
    private String sessionId() {
        sessionIds++;
        return String.format("%08x%08x%016x", settings.number(), sessionIds, chance.nextLong());
    }

    private void giveUp(long now, Caller caller, Out out) {
        if (caller.up) {
            return;
        }
        stats.gaveUp++;
        if (caller.call != null && caller.call.trying()) {
            agent.cancel(now, caller.call, out);
        } else if (caller.call != null) {
            agent.bye(now, caller.call, null, out);
        }
        caller.call = null;
        redial(now, caller, 0, "gave up");
    }

    private void stands(long now, Caller caller, Call call, Out out) {
        if (caller.call != call || !call.stands()) {
            return;
        }
        timers.cancel(caller.patience);
        caller.up = true;
        up.add(caller);
        stats.stands(caller.arrival);
        stats.finalAnswers++;
        long took = now - caller.arrival.at();
        stats.setUp.recordValue(
                Math.min(now - caller.tryAt, stats.setUp.getHighestTrackableValue()));
        caller.earned =
                caller.service.value()
                        * (took <= caller.service.target() ? 1 : caller.service.lateValue());
        stats.served(caller.arrival, caller.earned);
        if (caller.earned < caller.service.value()) {
            stats.lost(Stats.LATE, caller.service.value() - caller.earned);
        }
        timers.set(
                now + caller.arrival.hold(),
                (at, o) -> {
                    if (call.stands()) {
                        up.remove(caller);
                        processor.work(
                                at,
                                settings.work().release(),
                                (then, p) -> agent.bye(then, call, null, p));
                    }
                });
    }

    private void cutOff(Caller caller) {
        if (!caller.up) {
            return;
        }
        stats.cut++;
        stats.served(caller.arrival, -caller.earned);
        stats.lost(Stats.CUT, caller.earned);
        caller.earned = 0;
    }

    private void refused(long now, Caller caller, Call call, SipMessage response, Out out) {
        if (caller.call != call) {
            return;
        }
        timers.cancel(caller.patience);
        caller.call = null;
        if (response == null) {
            stats.gaveUp++;
            redial(now, caller, 0, "gave up");
            return;
        }
        stats.finalAnswers++;
        boolean busy =
                response.status() == 480 || response.status() == 486 || response.status() == 503;
        if (busy) {
            stats.busyReplied++;
        } else {
            stats.terminated++;
        }
        redial(now, caller, Outcomes.retryAfter(response), busy ? "busy-replied" : "terminated");
    }

    /**
     * Calls again if the caller's habits and time allow; {@code why} is what became of this try.
     */
    private void redial(long now, Caller caller, long named, String why) {
        ExchangeSettings.Callers habits = settings.callers();
        if (caller.tries > habits.redials()) {
            stats.lost(why, caller.service.value());
            return;
        }
        long backoff = (habits.backoff() << (caller.tries - 1)) * (50 + chance.nextInt(101)) / 100;
        long wait = named > 0 && chance.nextDouble() < habits.honour() ? named : backoff;
        if (now + wait < caller.arrival.at() + caller.service.limit()) {
            timers.set(now + wait, (at, o) -> dial(at, caller, o));
        } else {
            stats.lost(why, caller.service.value());
        }
    }

    // ---- other requests

    @Override
    public void request(long now, ServerTx tx, Hop from, Out out) {
        SipMessage request = tx.request();
        switch (request.method()) {
            case "OPTIONS" ->
                    processor.work(
                            now,
                            settings.work().probe(),
                            (at, o) ->
                                    agent.respond(
                                            at,
                                            tx,
                                            agent.reply(tx, 200, "OK").add("X-Load", load(at)),
                                            o));
            case "SUBSCRIBE" -> groupNews.subscribe(now, tx, out);
            default -> agent.respond(now, tx, agent.reply(tx, 405, "Method Not Allowed"), out);
        }
    }

    /** "-1,-1,util,queue": free circuits and size are the asker's to know. */
    private String load(long now) {
        double span = Math.max(1, now - lastLooked);
        double busy = Math.min(1, (processor.worked() - lastWorked) / span);
        util += Math.min(1, span / UTIL_SPAN) * (busy - util);
        lastLooked = now;
        lastWorked = processor.worked();
        return String.format(
                java.util.Locale.ROOT,
                "-1,-1,%.3f,%d",
                util,
                processor.queued(now) / settings.work().setUp());
    }

    @Override
    public void replied(long now, ClientTx tx, SipMessage response, Out out) {
        if (tx.owner() == REGISTERED) {
            registered(tx, response);
        } else {
            groupNews.replied(tx, response);
        }
    }
}
