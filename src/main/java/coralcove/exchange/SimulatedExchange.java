package coralcove.exchange;

import coralcove.protocol.CallHeaders;
import coralcove.protocol.FailureResponse;
import coralcove.protocol.InviteOutcomes;
import coralcove.sip.SipMessage;
import coralcove.sip.SipOutput;
import coralcove.sip.SipUri;
import coralcove.sip.TimerWheel;
import coralcove.sip.TransportAddress;
import coralcove.sip.dialog.Call;
import coralcove.sip.dialog.UserAgent;
import coralcove.sip.dialog.UserAgentCore;
import coralcove.sip.event.Notifier;
import coralcove.sip.transaction.ClientTransaction;
import coralcove.sip.transaction.ServerTransaction;
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
 * A simulated exchange: a processor through which all its signalling passes, its lines and its
 * callers. It forwards its call router's INVITEs to the next router, answers calls to its own
 * lines, and injects the faults that a scenario asks for.
 */
public final class SimulatedExchange extends UserAgentCore {
    /** Interval between REGISTERs to the directory. */
    private static final long REGISTER_INTERVAL_MICROS = 1_000_000;

    /** Marks the transactions of REGISTERs whose answer is read. */
    private static final Object REGISTER_OWNER = "registered";

    /** The utilization reported to probes is smoothed over this time. */
    private static final double UTILIZATION_WINDOW_MICROS = 1_000_000;

    /** A forwarded call: the leg from the local router and the leg to the next one. */
    private static final class ForwardedCall {
        final Call inbound;
        final int nextExchange;
        Call outbound;

        ForwardedCall(Call inbound, int nextExchange) {
            this.inbound = inbound;
            this.nextExchange = nextExchange;
        }
    }

    /** A call to a line of this exchange; {@code limitedLines} if its number has few lines. */
    private record LocalCall(Call call, long number, boolean limitedLines) {}

    /** One caller, from the first attempt to the last. */
    private static final class Caller {
        final Arrival arrival;
        final ExchangeSettings.Service service;
        Call call;
        int attempts;
        long attemptedAt;
        double valueServed;
        TimerWheel.Timer abandonTimer;
        boolean established;

        Caller(Arrival arrival, ExchangeSettings.Service service) {
            this.arrival = arrival;
            this.service = service;
        }
    }

    private final ExchangeSettings settings;
    private final Processor processor;
    private final RandomGenerator random;
    private final ArrayDeque<Arrival> arrivals;
    private final CallerStats stats;
    private final TreeMap<Integer, Integer> groups;
    private final Map<Long, Integer> busyLines = new HashMap<>();
    private final Set<ForwardedCall> forwardedCalls = new LinkedHashSet<>();
    private final Set<LocalCall> localCalls = new LinkedHashSet<>();
    private final Set<Caller> establishedCallers = new LinkedHashSet<>();
    private final ArrayDeque<Long> setUpsWhileCold = new ArrayDeque<>();
    private final Notifier groupNotifier;
    private long groupVersion;

    /** Directories that have not yet answered a REGISTER with the current start number. */
    private final Set<TransportAddress> unacknowledgedDirectories = new LinkedHashSet<>();

    private TimerWheel.Timer nextRegister;

    /** The state sent in REGISTERs: ready, draining or left. */
    private String phase = "ready";

    /** The number of this start, which is higher after each restart. */
    private long startNumber;

    /** REGISTER rounds since the start number was last changed. */
    private long heartbeat;

    private double answerLossShare;
    private boolean collapsed;
    private long sessionIdCount;
    private long lastBusyTime;
    private long lastSampledAt;
    private double utilization;

    /** {@code arrivals} are in order of time; those before the start are skipped. */
    public SimulatedExchange(ExchangeSettings settings, List<Arrival> arrivals, CallerStats stats) {
        super(settings.listenAddress(), settings.startTag());
        this.settings = settings;
        this.arrivals = new ArrayDeque<>(arrivals);
        this.stats = stats;
        random = new SplittableRandom(settings.seed());
        groups = new TreeMap<>(settings.groupCircuits());
        groupNotifier =
                new Notifier(
                        userAgent, timers, "trunk-groups", settings.startTag(), this::groupState);
        unacknowledgedDirectories.addAll(settings.directories());
        ExchangeSettings.ColdStartRules rules = settings.coldStart();
        processor =
                new Processor(
                        timers,
                        settings.coldStartedAt(),
                        rules.coldCapacityShare(),
                        rules.warmUpTime());
    }

    /**
     * Whether it collapsed under too many set-ups while cold; it ignores all input from then on.
     */
    public boolean collapsed() {
        return collapsed;
    }

    // Start, input and registration.

    @Override
    public void start(long now, SipOutput out) {
        while (!arrivals.isEmpty() && arrivals.peek().arrivalTime() < now) {
            arrivals.poll();
        }
        startNumber = settings.coldStartedAt() > 0 ? settings.coldStartedAt() : now;
        register(now, out);
        scheduleNextArrival();
    }

    @Override
    public void receive(long now, TransportAddress from, SipMessage message, SipOutput out) {
        if (!collapsed) {
            userAgent.receive(now, from, message, out);
        }
    }

    private void register(long now, SipOutput out) {
        if (collapsed) {
            return;
        }
        heartbeat++;
        for (TransportAddress directory : settings.directories()) {
            String age =
                    settings.coldStartedAt() == 0
                            ? "-"
                            : Long.toString(Math.max(0, now - settings.coldStartedAt()));
            SipMessage register = userAgent.createRequest("REGISTER", SipUri.format("", directory));
            register.add(
                    "X-Exchange",
                    settings.id()
                            + " "
                            + settings.number()
                            + " "
                            + phase
                            + " "
                            + startNumber
                            + " "
                            + heartbeat
                            + " "
                            + age
                            + " "
                            + settings.routerAddress());
            if (unacknowledgedDirectories.remove(directory)) {
                userAgent.send(now, register, directory, REGISTER_OWNER, out);
            } else {
                userAgent.sendWithoutTransaction(register, directory, out);
            }
        }
        if (!phase.equals("left")) {
            timers.cancel(nextRegister);
            nextRegister = timers.schedule(now + REGISTER_INTERVAL_MICROS, this::register);
        }
    }

    /**
     * If a directory knows a later start number, the clock has gone back: this start takes a number
     * after that one.
     */
    private void registerAnswered(ClientTransaction transaction, SipMessage response) {
        if (response == null) {
            unacknowledgedDirectories.add(transaction.destination());
        } else if (response.numericHeader("X-Start", -1) >= startNumber) {
            startNumber = response.numericHeader("X-Start", -1) + 1;
            heartbeat = 0;
            unacknowledgedDirectories.addAll(settings.directories());
        }
    }

    // Faults.

    /** Multiplies all service times of the processor. */
    public void slowDown(double factor) {
        processor.slowDown(factor);
    }

    /** Stalls the processor until a time. */
    public void stall(long now, long until) {
        processor.stall(now, until);
    }

    /** While hung, the processor accepts work but never does it. */
    public void setHung(boolean hung) {
        processor.setHung(hung);
    }

    /** Sets the share of calls to local lines that are never answered. */
    public void setAnswerLossShare(double share) {
        answerLossShare = share;
    }

    /** Announces to the directories that the exchange is draining. */
    public void drain(long now, SipOutput out) {
        phase = "draining";
        register(now, out);
    }

    /** Announces to the directories that the exchange is leaving. */
    public void leave(long now, SipOutput out) {
        phase = "left";
        register(now, out);
    }

    /** Cuts off all calls through this exchange, as happens when its processor stops. */
    public void cutOffAllCalls(long now, SipOutput out) {
        for (ForwardedCall forwarded : List.copyOf(forwardedCalls)) {
            cutOff(now, forwarded, out);
        }
        String reason = InviteOutcomes.reasonHeader(InviteOutcomes.NETWORK_OUT_OF_ORDER, "cut");
        localCalls.forEach(localCall -> userAgent.bye(now, localCall.call, reason, out));
        localCalls.clear();
        for (Caller caller : establishedCallers) {
            countCutOff(caller);
            userAgent.bye(now, caller.call, reason, out);
        }
        establishedCallers.clear();
    }

    /**
     * Sets the circuits of the trunk group to an exchange. Each established outgoing call on it is
     * cut off with probability {@code share}, for the case that the group has lost circuits.
     */
    public void resizeGroup(long now, int number, int circuits, double share, SipOutput out) {
        groups.put(number, circuits);
        for (ForwardedCall forwarded : List.copyOf(forwardedCalls)) {
            if (forwarded.nextExchange == number
                    && forwarded.inbound.isEstablished()
                    && random.nextDouble() < share) {
                cutOff(now, forwarded, out);
            }
        }
        groupVersion++;
        groupNotifier.notifySubscribers(
                now, groupState(now).entityTag(), number + " " + circuits + "\n", out);
    }

    private void cutOff(long now, ForwardedCall forwarded, SipOutput out) {
        if (forwarded.inbound.isEstablished()) {
            forwardedCalls.remove(forwarded);
            String reason = InviteOutcomes.reasonHeader(InviteOutcomes.NETWORK_OUT_OF_ORDER, "cut");
            userAgent.bye(now, forwarded.inbound, reason, out);
            userAgent.bye(now, forwarded.outbound, reason, out);
        }
    }

    private Notifier.EventState groupState(long now) {
        StringBuilder body = new StringBuilder();
        groups.forEach((number, size) -> body.append(number).append(' ').append(size).append('\n'));
        return new Notifier.EventState(settings.startTag() + "." + groupVersion, body.toString());
    }

    // Calls from the local router and from other routers.

    @Override
    public void callReceived(long now, Call call, TransportAddress from, SipOutput out) {
        CallHeaders headers;
        try {
            headers = CallHeaders.parse(call.invite(), settings.services().size());
        } catch (IllegalArgumentException e) {
            userAgent.reject(now, call, 400, "Bad Request", out);
            return;
        }
        boolean forLocalLines = call.invite().header("Route") == null;
        if (forLocalLines && headers.origin() >= 0) {
            checkColdOverload(now, out);
        }
        ExchangeSettings.ProcessingTimes times = settings.processingTimes();
        long wait = processor.queueingDelay(now);
        if (wait > times.maxQueueingDelay()) {
            long retryAfter = times.sendsRetryAfter() ? wait - times.maxQueueingDelay() / 2 : 0;
            processor.enqueue(
                    now,
                    times.reject(),
                    (at, o) -> {
                        int cause =
                                forLocalLines
                                        ? InviteOutcomes.SWITCHING_EQUIPMENT_CONGESTION
                                        : InviteOutcomes.TEMPORARY_FAILURE;
                        userAgent.reject(
                                at,
                                call,
                                503,
                                "Processor Full",
                                o,
                                "Reason",
                                InviteOutcomes.reasonHeader(cause, "processor full"),
                                "Retry-After",
                                InviteOutcomes.retryAfter(retryAfter));
                    });
            return;
        }
        long retransmissions = 0;
        for (long interval = times.retransmissionInterval();
                interval > 0 && interval < wait;
                interval *= 2) {
            retransmissions++;
        }
        processor.enqueue(
                now,
                times.setUp() + retransmissions * times.retransmission(),
                (at, o) -> {
                    // A set-up that was cancelled while it was queued is dropped.
                    if (call.isPending()) {
                        if (forLocalLines) {
                            answerLocally(at, call, headers, o);
                        } else {
                            forward(at, call, headers, at - now, o);
                        }
                    }
                });
    }

    /**
     * Collapses if the set-ups from all routers within a window exceed what the cold processor can
     * bear (rule 4).
     */
    private void checkColdOverload(long now, SipOutput out) {
        if (!processor.isCold(now)) {
            return;
        }
        ExchangeSettings.ColdStartRules rules = settings.coldStart();
        setUpsWhileCold.add(now);
        while (setUpsWhileCold.peek() <= now - rules.overloadWindow()) {
            setUpsWhileCold.poll();
        }
        double bearable =
                processor.capacity(now)
                        * rules.overloadWindow()
                        / settings.processingTimes().setUp();
        if (setUpsWhileCold.size() > rules.overloadMultiple() * bearable) {
            collapsed = true;
            out.log("fell-over", "", setUpsWhileCold.size() + " set-ups");
        }
    }

    private void answerLocally(long now, Call call, CallHeaders headers, SipOutput out) {
        long number = Long.parseLong(headers.number().isEmpty() ? "0" : headers.number());
        boolean limitedLines = number > 0 && number < 100;
        if (limitedLines && busyLines.getOrDefault(number, 0) >= settings.linesPerLimitedNumber()) {
            userAgent.reject(
                    now,
                    call,
                    486,
                    "Busy Here",
                    out,
                    "Reason",
                    InviteOutcomes.reasonHeader(InviteOutcomes.USER_BUSY, "lines busy"));
            return;
        }
        if (limitedLines) {
            busyLines.merge(number, 1, Integer::sum);
        }
        LocalCall localCall = new LocalCall(call, number, limitedLines);
        call.owner(localCall);
        localCalls.add(localCall);
        if (random.nextDouble() < answerLossShare) {
            out.log("answer-lost", call.sessionId(), "");
            return;
        }
        processor.enqueue(
                now,
                settings.processingTimes().answer(),
                (at, o) -> userAgent.answer(at, call, call.invite(), o));
    }

    private void releaseLine(LocalCall localCall) {
        localCalls.remove(localCall);
        if (localCall.limitedLines) {
            busyLines.merge(localCall.number, -1, Integer::sum);
        }
    }

    private void forward(
            long now, Call call, CallHeaders headers, long queueingDelay, SipOutput out) {
        SipUri route = SipUri.parse(call.invite().header("Route"));
        if (route == null) {
            userAgent.reject(now, call, 400, "Route", out);
            return;
        }
        SipMessage invite =
                userAgent.createRequest(
                        "INVITE", SipUri.format(headers.number(), route.transportAddress()));
        invite.set(
                "Max-Forwards", Long.toString(call.invite().numericHeader("Max-Forwards", 70) - 1));
        CallHeaders.copyEndToEndFields(call.invite(), invite);
        CallHeaders.addTo(
                invite,
                headers,
                settings.number(),
                Math.max(0, headers.timeLeft() - queueingDelay),
                call.sessionId());
        ForwardedCall forwarded =
                new ForwardedCall(
                        call,
                        route.user().matches("\\d{1,5}") ? Integer.parseInt(route.user()) : -1);
        call.owner(forwarded);
        forwardedCalls.add(forwarded);
        forwarded.outbound =
                userAgent.invite(now, invite, route.transportAddress(), forwarded, out);
    }

    @Override
    public void provisionalReceived(long now, Call call, SipMessage response, SipOutput out) {
        // Provisional responses are not forwarded: the router does not need them.
    }

    @Override
    public void callAnswered(long now, Call call, SipMessage response, SipOutput out) {
        if (call.owner() instanceof Caller caller) {
            processor.enqueue(
                    now,
                    settings.processingTimes().answer(),
                    (at, o) -> callEstablished(at, caller, call, o));
            return;
        }
        ForwardedCall forwarded = (ForwardedCall) call.owner();
        processor.enqueue(
                now,
                settings.processingTimes().answer(),
                (at, o) -> {
                    if (forwarded.inbound.isPending()) {
                        userAgent.answer(at, forwarded.inbound, response, o);
                    } else if (!forwarded.inbound.isEstablished()) {
                        userAgent.bye(at, forwarded.outbound, null, o);
                    }
                });
    }

    @Override
    public void callFailed(
            long now,
            Call call,
            SipMessage response,
            UserAgent.CallFailure failure,
            SipOutput out) {
        if (call.owner() instanceof Caller caller) {
            attemptFailed(now, caller, call, response, out);
            return;
        }
        ForwardedCall forwarded = (ForwardedCall) call.owner();
        forwardedCalls.remove(forwarded);
        FailureResponse refusal =
                FailureResponse.forwarding(
                        response, failure, "Reason", "Retry-After", "X-Circuits");
        userAgent.reject(
                now, forwarded.inbound, refusal.status(), refusal.reason(), out, refusal.fields());
    }

    @Override
    public void callCancelled(long now, Call call, SipOutput out) {
        if (call.owner() instanceof ForwardedCall forwarded) {
            forwardedCalls.remove(forwarded);
            if (forwarded.outbound.isPending()) {
                userAgent.cancel(now, forwarded.outbound, out);
            }
        } else if (call.owner() instanceof LocalCall localCall) {
            releaseLine(localCall);
        }
    }

    @Override
    public void callEnded(long now, Call call, SipMessage bye, SipOutput out) {
        processor.enqueue(now, settings.processingTimes().release(), Processor::noAction);
        if (call.owner() instanceof Caller caller) {
            if (establishedCallers.remove(caller)) {
                countCutOff(caller);
            }
        } else if (call.owner() instanceof LocalCall localCall) {
            releaseLine(localCall);
        } else if (call.owner() instanceof ForwardedCall forwarded) {
            forwardedCalls.remove(forwarded);
            String reason = bye == null ? null : bye.header("Reason");
            Call other = call == forwarded.inbound ? forwarded.outbound : forwarded.inbound;
            if (other.isPending() && other == forwarded.outbound) {
                userAgent.cancel(now, other, out);
            }
            userAgent.bye(now, other, reason, out);
        }
    }

    @Override
    public void reinviteReceived(long now, Call call, SipMessage invite, SipOutput out) {
        if (!(call.owner() instanceof ForwardedCall forwarded)) {
            userAgent.answerReinvite(
                    now,
                    call,
                    200,
                    "OK",
                    invite.header("Content-Type", "application/sdp"),
                    invite.body(),
                    out);
            return;
        }
        Call other = call == forwarded.inbound ? forwarded.outbound : forwarded.inbound;
        if (!userAgent.sendReinvite(
                now, other, invite.header("Content-Type", "application/sdp"), invite.body(), out)) {
            userAgent.answerReinvite(now, call, 491, "Request Pending", "", new byte[0], out);
        }
    }

    @Override
    public void reinviteAnswered(long now, Call call, SipMessage response, SipOutput out) {
        if (call.owner() instanceof ForwardedCall forwarded) {
            userAgent.answerReinvite(
                    now,
                    call == forwarded.inbound ? forwarded.outbound : forwarded.inbound,
                    response.status(),
                    response.reason(),
                    response.header("Content-Type", "application/sdp"),
                    response.body(),
                    out);
        }
    }

    // Local callers.

    private void scheduleNextArrival() {
        Arrival next = arrivals.poll();
        if (next != null) {
            timers.schedule(
                    next.arrivalTime(),
                    (at, out) -> {
                        scheduleNextArrival();
                        if (!collapsed) {
                            dial(
                                    at,
                                    new Caller(next, settings.services().get(next.service())),
                                    out);
                        }
                    });
        }
    }

    private void dial(long now, Caller caller, SipOutput out) {
        caller.attempts++;
        caller.attemptedAt = now;
        long timeout = attemptTimeout(caller, now);
        if (processor.queueingDelay(now) > settings.processingTimes().maxQueueingDelay()) {
            stats.rejectedLocally++;
            processor.enqueue(now, settings.processingTimes().reject(), Processor::noAction);
            redialOrGiveUp(now, caller, 0, "own processor full");
            return;
        }
        caller.abandonTimer = timers.schedule(now + timeout, (at, o) -> abandon(at, caller, o));
        processor.enqueue(
                now,
                settings.processingTimes().lookUp(),
                (at, o) -> {
                    if (at < caller.attemptedAt + timeout) {
                        sendInvite(at, caller, timeout - (at - caller.attemptedAt), o);
                    }
                });
    }

    /**
     * How long this attempt may take: a share of the service's timer limit, at most the time left
     * of the limit since the first attempt.
     */
    private long attemptTimeout(Caller caller, long now) {
        long share = (long) (settings.callerModel().attemptShare() * caller.service.timerLimit());
        return Math.min(share, caller.arrival.arrivalTime() + caller.service.timerLimit() - now);
    }

    private void sendInvite(long now, Caller caller, long timeLeft, SipOutput out) {
        Arrival arrival = caller.arrival;
        stats.sessions++;
        boolean needsNumberAnalysis = !arrival.dialled().isEmpty();
        String number =
                needsNumberAnalysis ? arrival.dialled() : Long.toString(arrival.calledNumber());
        SipMessage invite =
                userAgent.createRequest("INVITE", SipUri.format(number, settings.routerAddress()));
        boolean redial = settings.callerModel().marksRedials() && caller.attempts > 1;
        CallHeaders headers =
                new CallHeaders(
                        arrival.service(),
                        caller.service.value(),
                        caller.service.circuits(),
                        redial,
                        false,
                        needsNumberAnalysis ? -1 : arrival.farEnd(),
                        -1,
                        timeLeft,
                        number);
        CallHeaders.addTo(invite, headers, -1, timeLeft, sessionId());
        caller.call = userAgent.invite(now, invite, settings.routerAddress(), caller, out);
    }

    /** A session id of 32 hexadecimal digits (RFC 7989), reproducible from the seed. */
    private String sessionId() {
        sessionIdCount++;
        return String.format("%08x%08x%016x", settings.number(), sessionIdCount, random.nextLong());
    }

    private void abandon(long now, Caller caller, SipOutput out) {
        if (caller.established) {
            return;
        }
        stats.abandoned++;
        if (caller.call != null && caller.call.isPending()) {
            userAgent.cancel(now, caller.call, out);
        } else if (caller.call != null) {
            userAgent.bye(now, caller.call, null, out);
        }
        caller.call = null;
        redialOrGiveUp(now, caller, 0, "gave up");
    }

    private void callEstablished(long now, Caller caller, Call call, SipOutput out) {
        if (caller.call != call || !call.isEstablished()) {
            return;
        }
        timers.cancel(caller.abandonTimer);
        caller.established = true;
        establishedCallers.add(caller);
        stats.callEstablished(caller.arrival);
        stats.finalAnswers++;
        long setUpTime = now - caller.arrival.arrivalTime();
        stats.postDialDelay.recordValue(
                Math.min(now - caller.attemptedAt, stats.postDialDelay.getHighestTrackableValue()));
        caller.valueServed =
                caller.service.value()
                        * (setUpTime <= caller.service.postDialTarget()
                                ? 1
                                : caller.service.lateValue());
        stats.addServedValue(caller.arrival, caller.valueServed);
        if (caller.valueServed < caller.service.value()) {
            stats.addLostValue(CallerStats.LATE, caller.service.value() - caller.valueServed);
        }
        timers.schedule(
                now + caller.arrival.holdTime(),
                (at, o) -> {
                    if (call.isEstablished()) {
                        establishedCallers.remove(caller);
                        processor.enqueue(
                                at,
                                settings.processingTimes().release(),
                                (releasedAt, releaseOut) ->
                                        userAgent.bye(releasedAt, call, null, releaseOut));
                    }
                });
    }

    private void countCutOff(Caller caller) {
        if (!caller.established) {
            return;
        }
        stats.cutOff++;
        stats.addServedValue(caller.arrival, -caller.valueServed);
        stats.addLostValue(CallerStats.CUT_OFF, caller.valueServed);
        caller.valueServed = 0;
    }

    private void attemptFailed(
            long now, Caller caller, Call call, SipMessage response, SipOutput out) {
        if (caller.call != call) {
            return;
        }
        timers.cancel(caller.abandonTimer);
        caller.call = null;
        if (response == null) {
            stats.abandoned++;
            redialOrGiveUp(now, caller, 0, "gave up");
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
        redialOrGiveUp(
                now,
                caller,
                InviteOutcomes.retryAfter(response),
                busy ? "busy-replied" : "terminated");
    }

    /**
     * Redials if the caller model and the remaining time allow it, otherwise counts the value as
     * lost. {@code outcome} is the outcome of this attempt, {@code retryAfter} the wait asked for
     * in the answer, 0 for none.
     */
    private void redialOrGiveUp(long now, Caller caller, long retryAfter, String outcome) {
        ExchangeSettings.CallerModel model = settings.callerModel();
        if (caller.attempts > model.maxRedials()) {
            stats.addLostValue(outcome, caller.service.value());
            return;
        }
        long backoff =
                (model.backoff() << (caller.attempts - 1)) * (50 + random.nextInt(101)) / 100;
        long wait =
                retryAfter > 0 && random.nextDouble() < model.retryAfterCompliance()
                        ? retryAfter
                        : backoff;
        if (now + wait < caller.arrival.arrivalTime() + caller.service.timerLimit()) {
            timers.schedule(now + wait, (at, o) -> dial(at, caller, o));
        } else {
            stats.addLostValue(outcome, caller.service.value());
        }
    }

    // Other requests.

    @Override
    public void requestReceived(
            long now, ServerTransaction transaction, TransportAddress from, SipOutput out) {
        SipMessage request = transaction.request();
        switch (request.method()) {
            case "OPTIONS" ->
                    processor.enqueue(
                            now,
                            settings.processingTimes().probe(),
                            (at, o) ->
                                    userAgent.respond(
                                            at,
                                            transaction,
                                            userAgent
                                                    .createResponse(transaction, 200, "OK")
                                                    .add("X-Load", loadHeader(at)),
                                            o));
            case "SUBSCRIBE" -> groupNotifier.handleSubscribe(now, transaction, out);
            default ->
                    userAgent.respond(
                            now,
                            transaction,
                            userAgent.createResponse(transaction, 405, "Method Not Allowed"),
                            out);
        }
    }

    /**
     * "-1,-1,utilization,queue length": the querying router knows the free circuits and the group
     * size itself.
     */
    private String loadHeader(long now) {
        double elapsed = Math.max(1, now - lastSampledAt);
        double busyShare = Math.min(1, (processor.busyTime() - lastBusyTime) / elapsed);
        utilization += Math.min(1, elapsed / UTILIZATION_WINDOW_MICROS) * (busyShare - utilization);
        lastSampledAt = now;
        lastBusyTime = processor.busyTime();
        return String.format(
                java.util.Locale.ROOT,
                "-1,-1,%.3f,%d",
                utilization,
                processor.queueingDelay(now) / settings.processingTimes().setUp());
    }

    @Override
    public void responseReceived(
            long now, ClientTransaction transaction, SipMessage response, SipOutput out) {
        if (transaction.owner() == REGISTER_OWNER) {
            registerAnswered(transaction, response);
        } else {
            groupNotifier.handleResponse(transaction, response);
        }
    }
}
