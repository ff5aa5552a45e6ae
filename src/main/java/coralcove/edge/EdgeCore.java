package coralcove.edge;

import coralcove.Answer;
import coralcove.CallRouter;
import coralcove.Cause;
import coralcove.Ending;
import coralcove.Exchange;
import coralcove.Exchange.Phase;
import coralcove.Session;
import coralcove.Waiting;
import coralcove.dns.Questions;
import coralcove.numbers.NumberTable;
import coralcove.numbers.Porting;
import coralcove.numbers.Search;
import coralcove.planner.EdgeLink;
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
import coralcove.sip.transaction.ClientTx;
import coralcove.sip.transaction.ServerTx;
import coralcove.sources.Belief;
import coralcove.sources.Roster;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.function.Consumer;

/**
 * One call router: it tells the module what happens and does what the module decides. Back to back
 * user agent: a session is a leg in and, one after another, legs out, all through the own exchange.
 * It decides nothing.
 */
public final class EdgeCore extends AgentCore implements RosterDesk.User, Locating {
    private static final String BUSY = "Temporarily Unavailable";

    /**
     * Bytes: a peer message longer than this is dropped and counted (the module's own bound is
     * 256).
     */
    private static final int LONGEST_NEWS = 512;

    /** µs between two looks for what is remembered of moved numbers and of no use any more. */
    private static final long SWEEP = 60_000_000;

    /**
     * A session or a call for the own lines, from its INVITE until nothing more can come for it.
     */
    private static final class Held {
        final long id;
        final Call in;
        final long arrived;
        final long limit;
        CallHeaders headers;

        /** Null for a call to the own lines, and while the far end is not known yet. */
        Session session;

        /**
         * The way from the dialled number to the far end; null where the caller names the far end.
         */
        Search search;

        boolean holdsTable;
        Leg leg;
        Timers.Timer later;
        Cause last = Cause.NONE;
        boolean answered;
        boolean circuitsIn;

        Held(long id, Call in, CallHeaders headers, long arrived, long limit) {
            this.id = id;
            this.in = in;
            this.headers = headers;
            this.arrived = arrived;
            this.limit = limit;
        }
    }

    /**
     * One INVITE out; it keeps its circuits until it is over, also when its session no longer waits
     * for it.
     */
    private static final class Leg {
        final Held held;
        final int number;
        final long exchange;
        final long sentAt;
        Call call;
        Timers.Timer limit;
        boolean seized;

        Leg(Held held, int number, long exchange, long sentAt) {
            this.held = held;
            this.number = number;
            this.exchange = exchange;
            this.sentAt = sentAt;
        }
    }

    private final EdgeSettings settings;
    private final CallRouter router;
    private final Trunks trunks = new Trunks();
    private final RosterDesk roster;
    private final Map<Long, Held> open = new LinkedHashMap<>();
    private final Map<String, Held> bySession = new HashMap<>();
    private final TreeMap<Integer, int[]> toldCircuits = new TreeMap<>();
    private long nextId = 1;
    private int unanswered;
    private Timers.Timer wake;
    private long wakeAt;
    private boolean stopping;
    private NumberDesk numbers;
    private EdgeLink link;
    private EdgeLink.Out linkOut;

    public EdgeCore(EdgeSettings settings, CallRouter router) {
        super(settings.self(), settings.start());
        this.settings = settings;
        this.router = router;
        roster =
                new RosterDesk(
                        settings,
                        agent,
                        timers,
                        this,
                        new SplittableRandom(settings.seed() ^ settings.start().hashCode()));
    }

    /**
     * What was kept before this start, and who keeps what is said from now on; told before the
     * start.
     */
    public int resume(long now, List<Roster.Said> kept, Consumer<List<Roster.Said>> keep) {
        return roster.resume(now, kept, keep);
    }

    @Override
    public void locate(
            long now, LocatorSettings of, Questions questions, Consumer<LocatorResult> results) {
        roster.locate(now, of, questions, results);
    }

    @Override
    public void found(long now, LocatorResult it, Out out) {
        roster.found(now, it, out);
        rest(now, out);
    }

    /** What sources say and what is believed. */
    public Roster roster() {
        return roster.roster();
    }

    /** Takes nothing new from now on; {@link #idle} tells when all that is held has its answer. */
    public void stop() {
        stopping = true;
    }

    public boolean idle() {
        return unanswered == 0;
    }

    public int sessions() {
        return open.size();
    }

    // ---- driven from outside

    @Override
    public void start(long now, Out out) {
        roster.start(now, out);
        if (numbers != null) {
            timers.set(now + SWEEP, this::sweep);
        }
        rest(now, out);
    }

    @Override
    public void receive(long now, Hop from, SipMessage message, Out out) {
        super.receive(now, from, message, out);
        rest(now, out);
    }

    @Override
    public void turnAway(long now, Hop from, SipMessage message, long comeBack, Out out) {
        agent.turnAway(now, from, message, Outcomes.retryAfter(comeBack), out);
        rest(now, out);
    }

    @Override
    public boolean repeat(SipMessage message) {
        return agent.repeat(message);
    }

    @Override
    public void broken(long now, Hop peer, boolean refused, Out out) {
        super.broken(now, peer, refused, out);
        rest(now, out);
    }

    @Override
    public void tick(long now, Out out) {
        super.tick(now, out);
        rest(now, out);
    }

    private void rest(long now, Out out) {
        Waiting waiting = router.waiting(now);
        if (waiting.subscribe()) {
            roster.ask(now, out);
        }
        waiting.probes().forEach(id -> probe(now, id, out));
        for (byte[] body : waiting.broadcasts()) {
            tell(body, out);
        }
        if (waiting.until() > 0 && waiting.until() != wakeAt) {
            timers.cancel(wake);
            wakeAt = waiting.until();
            wake = timers.set(wakeAt, (at, o) -> {});
        }
    }

    // ---- sessions

    @Override
    public void invited(long now, Call call, Hop from, Out out) {
        CallHeaders headers;
        try {
            headers = CallHeaders.of(call.invite(), settings.module().services().size());
        } catch (IllegalArgumentException e) {
            agent.count("bad-invite");
            agent.reject(
                    now,
                    call,
                    400,
                    "Bad Request",
                    out,
                    "Warning",
                    "399 coralcove \"" + quoted(e) + "\"");
            return;
        }
        boolean dialled = headers.farEnd() < 0;
        if (dialled && numbers == null) {
            agent.count("bad-invite");
            agent.reject(
                    now,
                    call,
                    400,
                    "Bad Request",
                    out,
                    "Warning",
                    "399 coralcove \"X-Far-End is missing\"");
            return;
        }
        if (!dialled && !reachable(headers.farEnd())) {
            agent.count("404");
            agent.reject(now, call, 404, "Not Found", out);
            return;
        }
        if (bySession.containsKey(call.sessionId())) {
            // The same session again while it is in hand: it went round in a circle (RFC 3261
            // 16.3).
            agent.count("482");
            agent.reject(now, call, 482, "Loop Detected", out);
            return;
        }
        if (stopping || unanswered >= settings.mostOpen()) {
            agent.count(stopping ? "stopping" : "too-many-open");
            agent.reject(
                    now,
                    call,
                    503,
                    "Service Unavailable",
                    out,
                    "Retry-After",
                    Outcomes.retryAfter(settings.module().longestComeBack()));
            return;
        }
        boolean trunk = headers.origin() >= 0;
        if (trunk && trunks.free(now, headers.origin()) < headers.width()) {
            noCircuit(now, call, headers, out);
            return;
        }
        long limit = now + Math.max(0, headers.left() - settings.answerMargin());
        Held held = new Held(nextId++, call, headers, now, limit);
        call.owner(held);
        open.put(held.id, held);
        if (!call.sessionId().isEmpty()) {
            bySession.put(call.sessionId(), held);
        }
        unanswered++;
        if (trunk) {
            trunks.seizeIn(headers.origin(), headers.width());
            held.circuitsIn = true;
            circuits(now, headers.origin());
        }
        if (dialled) {
            held.search =
                    new Search(
                            numbers.tables.enter(),
                            held.id,
                            headers.number(),
                            headers.service(),
                            limit);
            held.holdsTable = true;
            follow(now, held, held.search.next(now, numbers.porting), out);
        } else {
            begin(now, held, out);
        }
    }

    private boolean reachable(int farEnd) {
        return farEnd == settings.number() || roster.farEnds().contains(farEnd);
    }

    /** Whether the directory lists this far end, or has not told yet; asked from any thread. */
    public boolean mayReach(int farEnd) {
        return roster.farEnds().isEmpty() || reachable(farEnd);
    }

    /** The far end is known: the module is asked, but for a call to the own lines. */
    private void begin(long now, Held held, Out out) {
        CallHeaders headers = held.headers;
        boolean mine = headers.farEnd() == settings.number();
        boolean trunk = headers.origin() >= 0;
        out.log(
                mine ? "arrived" : trunk ? "transit" : "session",
                held.in.sessionId(),
                "far end " + headers.farEnd());
        if (mine) {
            deliver(now, held, held.limit, out);
            return;
        }
        held.session =
                new Session(
                        held.id,
                        headers.service(),
                        0,
                        headers.farEnd(),
                        headers.width(),
                        -1,
                        trunk,
                        digits(headers.number()),
                        headers.redial(),
                        headers.cut(),
                        held.arrived,
                        held.limit);
        carryOut(now, held, router.route(now, held.session), out);
    }

    // ---- the planner

    /** Ticks the link to a planner from now on; told once, on the router's own thread. */
    public void planner(long now, EdgeLink to, EdgeLink.Out over) {
        link = to;
        linkOut = over;
        timers.set(now, this::tickLink);
    }

    private void tickLink(long now, Out out) {
        link.tick(now, linkOut);
        timers.set(now + EdgeLink.every(), this::tickLink);
    }

    // ---- dialled numbers

    /** Makes far ends of dialled numbers from now on; told before the start. */
    public void numbers(NumberDesk desk) {
        numbers = desk;
    }

    private void sweep(long now, Out out) {
        numbers.porting.sweep(now);
        timers.set(now + SWEEP, this::sweep);
    }

    private void follow(long now, Held held, Search.Step step, Out out) {
        String id = held.in.sessionId();
        String table = "table " + held.search.version();
        if (step instanceof Search.Route route) {
            out.log(
                    "far-end",
                    id,
                    table + " number " + route.number() + " far end " + route.farEnd());
            held.headers = held.headers.to(route.farEnd());
            if (reachable(route.farEnd())) {
                begin(now, held, out);
            } else {
                agent.count("404");
                answer(now, held, 404, "Not Found", out);
            }
        } else if (step instanceof Search.Refused no) {
            out.log("no-far-end", id, table + " " + no.status());
            agent.count(Integer.toString(no.status()));
            if (no.number().isEmpty()) {
                answer(now, held, no.status(), no.reason(), out);
            } else {
                answer(
                        now,
                        held,
                        no.status(),
                        no.reason(),
                        out,
                        "Contact",
                        "<tel:" + no.number() + ">");
            }
        } else if (step instanceof Search.Wait wait) {
            out.log("portability", id, table + (wait.ask() ? " asks" : " waits"));
            held.later = timers.set(wait.until(), (at, o) -> resume(at, held, o));
            if (wait.ask()) {
                numbers.asker.ask(now, wait.number());
            }
        }
    }

    private void resume(long now, Held held, Out out) {
        if (!held.answered && !held.search.over()) {
            timers.cancel(held.later);
            follow(now, held, held.search.resume(now, numbers.porting), out);
        }
    }

    /** The portability server's answer, or that there is none; {@code life} in µs. */
    public void ported(
            long now, long number, Porting.Outcome outcome, long routing, long life, Out out) {
        for (long id : numbers.porting.ended(now, number, outcome, routing, life)) {
            Held held = open.get(id);
            if (held != null) {
                resume(now, held, out);
            }
        }
        rest(now, out);
    }

    /** Puts a table in service; one that is not newer is logged and left. */
    public void replace(long now, NumberTable table, Out out) {
        List<Long> gone;
        try {
            gone = numbers.tables.replace(table);
        } catch (IllegalArgumentException e) {
            out.log("table-refused", "", e.getMessage());
            return;
        }
        out.log(
                "table",
                "",
                "version " + table.version() + ", " + numbers.tables.count() + " kept");
        if (!gone.isEmpty()) {
            for (Held held : List.copyOf(open.values())) {
                if (held.holdsTable
                        && !held.search.over()
                        && gone.contains(held.search.version())) {
                    timers.cancel(held.later);
                    held.search.gone(numbers.porting);
                    held.search.restart(numbers.tables.enter());
                    follow(now, held, held.search.next(now, numbers.porting), out);
                }
            }
        }
        rest(now, out);
    }

    /** A session with its final answer tries nothing more: it needs its table no longer. */
    private void leaveTable(Held held) {
        if (held.holdsTable) {
            held.holdsTable = false;
            held.search.gone(numbers.porting);
            numbers.tables.leave(held.search.version());
        }
    }

    private static String quoted(Exception e) {
        return e.getMessage().replaceAll("[\"\\\\\\r\\n]", "'");
    }

    /** The number called as the module knows it: its digits, 0 if it has none. */
    private static long digits(String number) {
        String digits = number.replaceAll("\\D", "");
        return digits.isEmpty() || digits.length() > 18 ? 0 : Long.parseLong(digits);
    }

    private void noCircuit(long now, Call call, CallHeaders headers, Out out) {
        agent.count("no-circuit");
        agent.reject(
                now,
                call,
                503,
                "No Circuit",
                out,
                "Reason",
                Outcomes.reason(Outcomes.NO_CIRCUIT, "no circuit"),
                "X-Circuits",
                Integer.toString(trunks.busy(headers.origin())));
    }

    /** A call for the own lines: no choice is left, it goes to the own exchange. */
    private void deliver(long now, Held held, long limit, Out out) {
        Leg leg = new Leg(held, settings.number(), 0, now);
        held.leg = leg;
        SipMessage invite = outgoing(held, limit - now);
        leg.call = agent.invite(now, invite, settings.exchange(), leg, out);
        leg.limit =
                timers.set(
                        limit,
                        (at, o) -> {
                            agent.cancel(at, leg.call, o);
                            answer(at, held, 408, "Request Timeout", o);
                        });
    }

    private SipMessage outgoing(Held held, long left) {
        SipMessage invite =
                agent.request("INVITE", SipUri.text(held.headers.number(), settings.exchange()));
        invite.set("Max-Forwards", Long.toString(held.in.invite().number("Max-Forwards", 70) - 1));
        CallHeaders.pass(held.in.invite(), invite);
        return CallHeaders.write(
                invite, held.headers, held.headers.origin(), left, held.in.sessionId());
    }

    private void carryOut(long now, Held held, Answer answer, Out out) {
        switch (answer.kind()) {
            case SEND -> send(now, held, answer, out);
            case LATER -> {
                out.log("later", held.in.sessionId(), "in " + (answer.time() - now) / 1000 + " ms");
                held.later =
                        timers.set(
                                answer.time(),
                                (at, o) -> {
                                    if (!held.answered) {
                                        carryOut(at, held, router.route(at, held.session), o);
                                    }
                                });
            }
            case REFUSE -> refuse(now, held, answer.time(), out);
            case FAIL -> answer(now, held, 500, "Terminated", out);
            case NOTHING -> {}
        }
    }

    private void send(long now, Held held, Answer answer, Out out) {
        RosterDesk.Place place = roster.place(answer.exchange());
        int number = place == null ? -1 : place.exchange().number();
        Leg leg = new Leg(held, number, answer.exchange(), now);
        held.leg = leg;
        if (place == null) {
            settle(now, leg, Ending.NOT_SENT, Cause.NONE, 0, out);
            return;
        }
        if (trunks.free(now, number) < held.headers.width()) {
            settle(now, leg, Ending.NOT_SENT, Cause.NO_CIRCUIT, 0, out);
            return;
        }
        trunks.seizeOut(number, held.headers.width());
        leg.seized = true;
        circuits(now, number);
        SipMessage invite = outgoing(held, answer.time());
        invite.set("X-Origin", Integer.toString(settings.number()));
        invite.add("Route", "<" + SipUri.text(Integer.toString(number), place.edge()) + ";lr>");
        out.log("invite", held.in.sessionId(), "to " + answer.exchange() + " number " + number);
        leg.call = agent.invite(now, invite, settings.exchange(), leg, out);
        leg.limit =
                timers.set(
                        now + answer.time(),
                        (at, o) -> {
                            agent.cancel(at, leg.call, o);
                            // What it held may stay taken for the release wait, and no longer.
                            timers.set(
                                    at + settings.module().releaseWait(),
                                    (later, p) -> release(later, leg));
                            settle(at, leg, Ending.TIMED_OUT, Cause.NONE, 0, o);
                        });
    }

    private void settle(long now, Leg leg, Ending ending, Cause cause, long namedWait, Out out) {
        Held held = leg.held;
        timers.cancel(leg.limit);
        if (held.leg != leg) {
            return;
        }
        held.leg = null;
        held.last = cause;
        out.log("ended-invite", held.in.sessionId(), ending + " " + cause);
        carryOut(
                now,
                held,
                router.after(
                        now,
                        held.id,
                        ending,
                        cause,
                        leg.exchange,
                        now - leg.sentAt,
                        namedWait,
                        held.answered),
                out);
    }

    private void release(long now, Leg leg) {
        if (leg.seized) {
            leg.seized = false;
            trunks.freeOut(leg.number, leg.held.headers.width());
            circuits(now, leg.number);
        }
    }

    private void refuse(long now, Held held, long comeBack, Out out) {
        if (held.headers.origin() >= 0) {
            boolean beyond = held.last == Cause.PROCESSOR_FULL;
            answer(
                    now,
                    held,
                    503,
                    "Turned Back",
                    out,
                    "Reason",
                    beyond
                            ? Outcomes.reason(Outcomes.FULL_BEYOND, "full beyond")
                            : Outcomes.reason(Outcomes.TURNED_BACK, "turned back"));
        } else if (comeBack > 0) {
            answer(now, held, 480, BUSY, out, "Retry-After", Outcomes.retryAfter(comeBack));
        } else {
            answer(now, held, 480, BUSY, out);
        }
    }

    /** The one final answer that is no 200. */
    private void answer(long now, Held held, int status, String reason, Out out, String... extra) {
        if (held.answered) {
            return;
        }
        out.log("answer", held.in.sessionId(), status + " " + reason);
        agent.reject(now, held.in, status, reason, out, extra);
        over(now, held);
    }

    private void over(long now, Held held) {
        if (!held.answered) {
            held.answered = true;
            unanswered--;
        }
        timers.cancel(held.later);
        leaveTable(held);
        if (held.circuitsIn) {
            held.circuitsIn = false;
            trunks.freeIn(held.headers.origin(), held.headers.width());
            circuits(now, held.headers.origin());
        }
        open.remove(held.id);
        bySession.remove(held.in.sessionId(), held);
    }

    @Override
    public void progressed(long now, Call call, SipMessage response, Out out) {
        Leg leg = (Leg) call.owner();
        if (response.status() == 180 && !leg.held.answered) {
            agent.progress(now, leg.held.in, 180, "Ringing", out);
        }
    }

    @Override
    public void answered(long now, Call call, SipMessage response, Out out) {
        Leg leg = (Leg) call.owner();
        Held held = leg.held;
        timers.cancel(leg.limit);
        held.answered = true;
        unanswered--;
        leaveTable(held);
        out.log("stands", held.in.sessionId(), (now - leg.sentAt) / 1000 + " ms");
        agent.answer(now, held.in, response, out);
        if (held.session != null) {
            router.after(
                    now,
                    held.id,
                    Ending.STANDS,
                    Cause.NONE,
                    leg.exchange,
                    now - leg.sentAt,
                    0,
                    true);
        }
    }

    @Override
    public void rejected(long now, Call call, SipMessage response, Agent.Lost lost, Out out) {
        Leg leg = (Leg) call.owner();
        Held held = leg.held;
        timers.cancel(leg.limit);
        release(now, leg);
        if (response != null && response.header("X-Circuits") != null) {
            // After the release: the far end does not count the INVITE that it refused.
            trunks.told(now, leg.number, (int) response.number("X-Circuits", 0));
            if (trunks.doubtEnds(now, leg.number) < Long.MAX_VALUE) {
                timers.set(trunks.doubtEnds(now, leg.number), (at, o) -> circuits(at, leg.number));
            }
            circuits(now, leg.number);
        }
        if (held.leg != leg || call.cancelled()) {
            return;
        }
        if (held.session == null) {
            // What the own lines say goes back as they said it.
            Refusal refusal = Refusal.of(response, lost, "Reason", "Retry-After");
            answer(now, held, refusal.status(), refusal.reason(), out, refusal.fields());
            return;
        }
        Outcomes.Outcome outcome = Outcomes.of(response, lost);
        settle(now, leg, outcome.ending(), outcome.cause(), outcome.namedWait(), out);
    }

    @Override
    public void cancelled(long now, Call call, Out out) {
        Held held = (Held) call.owner();
        out.log("caller-gone", call.sessionId(), "");
        Leg leg = held.leg;
        over(now, held);
        if (held.session != null) {
            router.ended(now, held.id);
        }
        if (leg != null) {
            agent.cancel(now, leg.call, out);
            timers.set(now + settings.module().releaseWait(), (later, o) -> release(later, leg));
            if (held.session != null) {
                settle(now, leg, Ending.CANCELLED, Cause.NONE, 0, out);
            } else {
                timers.cancel(leg.limit);
            }
        }
    }

    @Override
    public void hungUp(long now, Call call, SipMessage bye, Out out) {
        Held held = call.owner() instanceof Leg leg ? leg.held : (Held) call.owner();
        Leg leg = held.leg;
        boolean cut = bye == null || Outcomes.cause(bye) == Outcomes.CUT;
        Call other = call == held.in ? leg.call : held.in;
        out.log("over", held.in.sessionId(), cut ? "cut" : "");
        agent.bye(now, other, cut ? Outcomes.reason(Outcomes.CUT, "cut") : null, out);
        release(now, leg);
        over(now, held);
        if (held.session != null) {
            router.after(
                    now,
                    held.id,
                    cut ? Ending.RESET : Ending.OVER,
                    Cause.NONE,
                    leg.exchange,
                    now - leg.sentAt,
                    0,
                    true);
        }
    }

    /**
     * A change of a standing call crosses to its other leg; a change already under way there is
     * glare.
     */
    @Override
    public void changing(long now, Call call, SipMessage invite, Out out) {
        Call other = otherLeg(call);
        boolean sent =
                other != null
                        && agent.change(
                                now,
                                other,
                                invite.header("Content-Type", "application/sdp"),
                                invite.body(),
                                out);
        if (!sent) {
            agent.answerChange(now, call, 491, "Request Pending", "", new byte[0], out);
        }
    }

    @Override
    public void changed(long now, Call call, SipMessage response, Out out) {
        Call other = otherLeg(call);
        if (other != null) {
            agent.answerChange(
                    now,
                    other,
                    response.status(),
                    response.reason(),
                    response.header("Content-Type", "application/sdp"),
                    response.body(),
                    out);
        }
    }

    private static Call otherLeg(Call call) {
        if (call.owner() instanceof Leg leg) {
            return leg.held.in;
        }
        Held held = (Held) call.owner();
        return held.leg == null ? null : held.leg.call;
    }

    /** Tells the module of a group's circuits, for each machine that has served its number. */
    private void circuits(long now, int number) {
        int free = trunks.free(now, number);
        int size = trunks.size(number);
        int[] told = toldCircuits.get(number);
        if (told != null && told[0] == free && told[1] == size) {
            return;
        }
        toldCircuits.put(number, new int[] {free, size});
        for (Belief each : roster.beliefs()) {
            if (each.exchange().number() == number) {
                router.circuits(now, each.exchange().id(), free, size);
            }
        }
    }

    // ---- news

    private void probe(long now, long id, Out out) {
        RosterDesk.Place place = roster.place(id);
        if (place != null) {
            SipMessage request =
                    agent.request("OPTIONS", SipUri.text("", place.edge())).add("X-Probe", "yes");
            agent.send(now, request, place.edge(), new Object[] {id, now}, out);
        }
    }

    private void tell(byte[] body, Out out) {
        for (Belief each : roster.beliefs()) {
            if (each.exchange().number() != settings.number()
                    && each.exchange().phase() == Phase.READY) {
                Hop edge = roster.edge(each);
                SipMessage message = agent.request("MESSAGE", SipUri.text("", edge));
                message.add("X-Number", Integer.toString(settings.number()));
                agent.sendOnce(
                        message.body("application/octet-stream", body), edge.over(false), out);
            }
        }
    }

    @Override
    public void request(long now, ServerTx tx, Hop from, Out out) {
        SipMessage request = tx.request();
        switch (request.method()) {
            case "NOTIFY" -> roster.subscriber().notified(now, tx, from, out);
            case "MESSAGE" -> {
                if (request.body().length <= LONGEST_NEWS) {
                    router.peer(now, (int) request.number("X-Number", -1), request.body());
                } else {
                    agent.count("long-news");
                }
                agent.respond(now, tx, agent.reply(tx, 200, "OK"), out);
            }
            case "OPTIONS" -> {
                if (request.header("X-Probe") == null) {
                    agent.respond(now, tx, agent.reply(tx, 200, "OK"), out);
                } else {
                    SipMessage on = agent.request("OPTIONS", SipUri.text("", settings.exchange()));
                    agent.send(now, on.add("X-Probe", "yes"), settings.exchange(), tx, out);
                }
            }
            default -> agent.respond(now, tx, agent.reply(tx, 405, "Method Not Allowed"), out);
        }
    }

    @Override
    public void replied(long now, ClientTx tx, SipMessage response, Out out) {
        boolean good = response != null && response.status() < 300;
        if (roster.subscriber().replied(now, tx, response, out)) {
            return;
        }
        if (tx.owner() instanceof ServerTx asked) {
            SipMessage reply = agent.reply(asked, good ? 200 : 503, good ? "OK" : "No Answer");
            if (good) {
                reply.add("X-Load", response.header("X-Load", ""));
            }
            agent.respond(now, asked, reply, out);
        } else if (tx.owner() instanceof Object[] probe) {
            router.report(
                    now,
                    (Long) probe[0],
                    good,
                    now - (Long) probe[1],
                    good ? columns(response.header("X-Load", "")) : new float[0]);
        }
    }

    private static float[] columns(String load) {
        String[] parts = load.isBlank() ? new String[0] : load.split(",");
        float[] columns = new float[Math.min(4, parts.length)];
        for (int i = 0; i < columns.length; i++) {
            try {
                columns[i] = Float.parseFloat(parts[i].strip());
            } catch (NumberFormatException e) {
                return new float[0];
            }
        }
        return columns;
    }

    @Override
    public void rostered(long now, List<Exchange> news) {
        router.roster(now, false, news);
        toldCircuits.clear();
        trunks.numbers().forEach(number -> circuits(now, number));
    }

    @Override
    public void rosterLost(long now) {
        router.rosterLost(now);
    }

    @Override
    public boolean groups(long now, List<String> lines) {
        try {
            for (String line : lines) {
                String[] parts = line.split(" ");
                trunks.size(Integer.parseInt(parts[0]), Integer.parseInt(parts[1]));
                circuits(now, Integer.parseInt(parts[0]));
            }
            return true;
        } catch (IllegalArgumentException | IndexOutOfBoundsException e) {
            return false;
        }
    }
}
