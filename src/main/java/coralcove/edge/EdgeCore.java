package coralcove.edge;

import coralcove.CallRouter;
import coralcove.Exchange;
import coralcove.Exchange.Phase;
import coralcove.InviteOutcome;
import coralcove.PendingActions;
import coralcove.RejectionCause;
import coralcove.RoutingDecision;
import coralcove.Session;
import coralcove.dns.DnsQueryClient;
import coralcove.numbers.NumberAnalysis;
import coralcove.numbers.NumberTable;
import coralcove.numbers.PortabilityCache;
import coralcove.planner.EdgeLinkCore;
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
import coralcove.sip.transaction.ClientTransaction;
import coralcove.sip.transaction.ServerTransaction;
import coralcove.sources.Roster;
import coralcove.sources.RosterEntry;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.function.Consumer;

/**
 * One call router. It is a back-to-back user agent: a session has an inbound leg and, one after
 * another, outbound legs, all through the local exchange. It informs the routing policy of every
 * event and carries out the policy's decisions; it makes no routing decision itself.
 */
public final class EdgeCore extends UserAgentCore
        implements RosterManager.Listener, DnsDiscoveryCore {
    private static final String TEMPORARILY_UNAVAILABLE = "Temporarily Unavailable";

    /**
     * Peer messages longer than this are dropped and counted. The routing policy's own limit is
     * 256.
     */
    private static final int MAX_PEER_MESSAGE_BYTES = 512;

    /** Interval between two removals of outdated entries from the cache of ported numbers. */
    private static final long PORTING_SWEEP_INTERVAL_MICROS = 60_000_000;

    /**
     * A session, or a call for a line of the local exchange, from its INVITE until it is rejected
     * or its established call ends.
     */
    private static final class ActiveSession {
        final long id;
        final Call inboundCall;
        final long arrivedAt;
        final long deadline;
        CallHeaders headers;

        /** Null for a call to a local line, and while the far end is not known yet. */
        Session session;

        /** Analysis of the dialled number; null if the caller names the far end. */
        NumberAnalysis numberSearch;

        boolean holdsNumberTable;
        OutboundLeg outboundLeg;

        /** Runs while the session waits for its next INVITE or for the portability server. */
        TimerWheel.Timer waitTimer;

        RejectionCause lastCause = RejectionCause.NONE;
        boolean answered;
        boolean holdsIncomingCircuits;

        ActiveSession(
                long id, Call inboundCall, CallHeaders headers, long arrivedAt, long deadline) {
            this.id = id;
            this.inboundCall = inboundCall;
            this.headers = headers;
            this.arrivedAt = arrivedAt;
            this.deadline = deadline;
        }
    }

    /**
     * One outgoing INVITE and its call. It holds its circuits until it has ended, even after its
     * session has stopped waiting for it.
     */
    private static final class OutboundLeg {
        final ActiveSession activeSession;
        final int exchangeNumber;
        final long exchangeId;
        final long sentAt;
        Call call;
        TimerWheel.Timer timeoutTimer;
        boolean holdsCircuits;

        OutboundLeg(ActiveSession activeSession, int exchangeNumber, long exchangeId, long sentAt) {
            this.activeSession = activeSession;
            this.exchangeNumber = exchangeNumber;
            this.exchangeId = exchangeId;
            this.sentAt = sentAt;
        }
    }

    private final EdgeSettings settings;
    private final CallRouter policy;
    private final TrunkGroups trunkGroups = new TrunkGroups();
    private final RosterManager rosterManager;
    private final Map<Long, ActiveSession> activeSessions = new LinkedHashMap<>();
    private final Map<String, ActiveSession> bySessionId = new HashMap<>();
    private final TreeMap<Integer, int[]> reportedCircuits = new TreeMap<>();
    private long nextSessionId = 1;
    private int unansweredCount;
    private TimerWheel.Timer wakeTimer;
    private long wakeAt;
    private boolean stopping;
    private NumberAnalysisContext numberAnalysis;
    private EdgeLinkCore plannerLink;
    private EdgeLinkCore.Actions plannerLinkOut;

    public EdgeCore(EdgeSettings settings, CallRouter policy) {
        super(settings.listenAddress(), settings.startTag());
        this.settings = settings;
        this.policy = policy;
        rosterManager =
                new RosterManager(
                        settings,
                        userAgent,
                        timers,
                        this,
                        new SplittableRandom(settings.seed() ^ settings.startTag().hashCode()));
    }

    /**
     * Restores the directory reports stored before this start, and sends all reports to {@code
     * sink} from now on. Must be called before {@link #start}.
     *
     * @return the number of stored reports used
     */
    public int restoreRoster(
            long now, List<Roster.SourceReport> stored, Consumer<List<Roster.SourceReport>> sink) {
        return rosterManager.restore(now, stored, sink);
    }

    @Override
    public void startDnsDiscovery(
            long now,
            LocatorSettings locatorSettings,
            DnsQueryClient questions,
            Consumer<LocatorResult> results) {
        rosterManager.startDnsDiscovery(now, locatorSettings, questions, results);
    }

    @Override
    public void dnsAnswered(long now, LocatorResult result, SipOutput out) {
        rosterManager.dnsAnswered(now, result, out);
        performPendingActions(now, out);
    }

    /** The reports of directories and DNS, and the roster merged from them. */
    public Roster roster() {
        return rosterManager.roster();
    }

    /**
     * Rejects new sessions from now on; {@link #isIdle} tells when all accepted ones have a final
     * response.
     */
    public void stopAccepting() {
        stopping = true;
    }

    /** Whether every accepted session has a final response. */
    public boolean isIdle() {
        return unansweredCount == 0;
    }

    /** Number of active sessions: those without a final response, and established calls. */
    public int activeSessionCount() {
        return activeSessions.size();
    }

    // ---- inputs

    @Override
    public void start(long now, SipOutput out) {
        rosterManager.start(now, out);
        if (numberAnalysis != null) {
            timers.schedule(now + PORTING_SWEEP_INTERVAL_MICROS, this::sweepPortingCache);
        }
        performPendingActions(now, out);
    }

    @Override
    public void receive(long now, TransportAddress from, SipMessage message, SipOutput out) {
        super.receive(now, from, message, out);
        performPendingActions(now, out);
    }

    @Override
    public void rejectOverloaded(
            long now, TransportAddress from, SipMessage message, long retryAfter, SipOutput out) {
        userAgent.rejectOverloaded(now, from, message, InviteOutcomes.retryAfter(retryAfter), out);
        performPendingActions(now, out);
    }

    @Override
    public boolean isRetransmission(SipMessage message) {
        return userAgent.isRetransmission(message);
    }

    @Override
    public void connectionFailed(long now, TransportAddress peer, boolean refused, SipOutput out) {
        super.connectionFailed(now, peer, refused, out);
        performPendingActions(now, out);
    }

    @Override
    public void tick(long now, SipOutput out) {
        super.tick(now, out);
        performPendingActions(now, out);
    }

    private void performPendingActions(long now, SipOutput out) {
        PendingActions waiting = policy.pendingActions(now);
        if (waiting.subscribe()) {
            rosterManager.subscribe(now, out);
        }
        waiting.probes().forEach(id -> probe(now, id, out));
        for (byte[] body : waiting.broadcasts()) {
            broadcastToPeers(body, out);
        }
        if (waiting.wakeAt() > 0 && waiting.wakeAt() != wakeAt) {
            timers.cancel(wakeTimer);
            wakeAt = waiting.wakeAt();
            wakeTimer = timers.schedule(wakeAt, (at, o) -> {});
        }
    }

    // ---- sessions

    @Override
    public void callReceived(long now, Call call, TransportAddress from, SipOutput out) {
        CallHeaders headers;
        try {
            headers = CallHeaders.parse(call.invite(), settings.policySettings().services().size());
        } catch (IllegalArgumentException e) {
            userAgent.incrementCounter("bad-invite");
            userAgent.reject(
                    now,
                    call,
                    400,
                    "Bad Request",
                    out,
                    "Warning",
                    "399 coralcove \"" + messageForHeader(e) + "\"");
            return;
        }
        boolean dialled = headers.farEnd() < 0;
        if (dialled && numberAnalysis == null) {
            userAgent.incrementCounter("bad-invite");
            userAgent.reject(
                    now,
                    call,
                    400,
                    "Bad Request",
                    out,
                    "Warning",
                    "399 coralcove \"X-Far-End is missing\"");
            return;
        }
        if (!dialled && !isReachable(headers.farEnd())) {
            userAgent.incrementCounter("404");
            userAgent.reject(now, call, 404, "Not Found", out);
            return;
        }
        if (bySessionId.containsKey(call.sessionId())) {
            // The session is already active here, so the request has looped (RFC 3261 16.3).
            userAgent.incrementCounter("482");
            userAgent.reject(now, call, 482, "Loop Detected", out);
            return;
        }
        if (stopping || unansweredCount >= settings.maxOpenSessions()) {
            userAgent.incrementCounter(stopping ? "stopping" : "too-many-open");
            userAgent.reject(
                    now,
                    call,
                    503,
                    "Service Unavailable",
                    out,
                    "Retry-After",
                    InviteOutcomes.retryAfter(settings.policySettings().maxRetryAfter()));
            return;
        }
        boolean inTransit = headers.origin() >= 0;
        if (inTransit && trunkGroups.free(now, headers.origin()) < headers.width()) {
            rejectForNoCircuit(now, call, headers, out);
            return;
        }
        long deadline = now + Math.max(0, headers.timeLeft() - settings.answerMargin());
        ActiveSession activeSession =
                new ActiveSession(nextSessionId++, call, headers, now, deadline);
        call.owner(activeSession);
        activeSessions.put(activeSession.id, activeSession);
        if (!call.sessionId().isEmpty()) {
            bySessionId.put(call.sessionId(), activeSession);
        }
        unansweredCount++;
        if (inTransit) {
            trunkGroups.seizeIncoming(headers.origin(), headers.width());
            activeSession.holdsIncomingCircuits = true;
            reportCircuits(now, headers.origin());
        }
        if (dialled) {
            activeSession.numberSearch =
                    new NumberAnalysis(
                            numberAnalysis.numberTables.acquire(),
                            activeSession.id,
                            headers.number(),
                            headers.service(),
                            deadline);
            activeSession.holdsNumberTable = true;
            applySearchStep(
                    now,
                    activeSession,
                    activeSession.numberSearch.next(now, numberAnalysis.porting),
                    out);
        } else {
            startSession(now, activeSession, out);
        }
    }

    private boolean isReachable(int farEnd) {
        return farEnd == settings.number() || rosterManager.farEnds().contains(farEnd);
    }

    /**
     * Whether the roster contains this far end or no list has been received yet. May be called from
     * any thread.
     */
    public boolean mayReach(int farEnd) {
        return rosterManager.farEnds().isEmpty() || isReachable(farEnd);
    }

    /**
     * Continues a session whose far end is known: delivers it if it is for a local line, otherwise
     * asks the routing policy.
     */
    private void startSession(long now, ActiveSession activeSession, SipOutput out) {
        CallHeaders headers = activeSession.headers;
        boolean isLocal = headers.farEnd() == settings.number();
        boolean inTransit = headers.origin() >= 0;
        out.log(
                isLocal ? "arrived" : inTransit ? "transit" : "session",
                activeSession.inboundCall.sessionId(),
                "far end " + headers.farEnd());
        if (isLocal) {
            deliverToLocalLine(now, activeSession, activeSession.deadline, out);
            return;
        }
        activeSession.session =
                new Session(
                        activeSession.id,
                        headers.service(),
                        0,
                        headers.farEnd(),
                        headers.width(),
                        -1,
                        inTransit,
                        parseDigits(headers.number()),
                        headers.redial(),
                        headers.cut(),
                        activeSession.arrivedAt,
                        activeSession.deadline);
        applyDecision(now, activeSession, policy.route(now, activeSession.session), out);
    }

    // ---- the planner

    /** Ticks the link to a planner from now on. Must be called once, on the router's own thread. */
    public void attachPlanner(long now, EdgeLinkCore link, EdgeLinkCore.Actions out) {
        plannerLink = link;
        plannerLinkOut = out;
        timers.schedule(now, this::tickPlannerLink);
    }

    private void tickPlannerLink(long now, SipOutput out) {
        plannerLink.tick(now, plannerLinkOut);
        timers.schedule(now + EdgeLinkCore.tickIntervalMicros(), this::tickPlannerLink);
    }

    // ---- dialled numbers

    /** Accepts dialled numbers from now on. Must be called before {@link #start}. */
    public void attachNumberAnalysis(NumberAnalysisContext context) {
        numberAnalysis = context;
    }

    private void sweepPortingCache(long now, SipOutput out) {
        numberAnalysis.porting.evictExpired(now);
        timers.schedule(now + PORTING_SWEEP_INTERVAL_MICROS, this::sweepPortingCache);
    }

    private void applySearchStep(
            long now, ActiveSession activeSession, NumberAnalysis.Step step, SipOutput out) {
        String id = activeSession.inboundCall.sessionId();
        String table = "table " + activeSession.numberSearch.tableVersion();
        if (step instanceof NumberAnalysis.Route route) {
            out.log(
                    "far-end",
                    id,
                    table + " number " + route.number() + " far end " + route.farEnd());
            activeSession.headers = activeSession.headers.withFarEnd(route.farEnd());
            if (isReachable(route.farEnd())) {
                startSession(now, activeSession, out);
            } else {
                userAgent.incrementCounter("404");
                rejectSession(now, activeSession, 404, "Not Found", out);
            }
        } else if (step instanceof NumberAnalysis.Refused refused) {
            out.log("no-far-end", id, table + " " + refused.status());
            userAgent.incrementCounter(Integer.toString(refused.status()));
            if (refused.number().isEmpty()) {
                rejectSession(now, activeSession, refused.status(), refused.reason(), out);
            } else {
                rejectSession(
                        now,
                        activeSession,
                        refused.status(),
                        refused.reason(),
                        out,
                        "Contact",
                        "<tel:" + refused.number() + ">");
            }
        } else if (step instanceof NumberAnalysis.Wait wait) {
            out.log("portability", id, table + (wait.sendQuery() ? " asks" : " waits"));
            activeSession.waitTimer =
                    timers.schedule(
                            wait.deadline(), (at, o) -> resumeNumberSearch(at, activeSession, o));
            if (wait.sendQuery()) {
                numberAnalysis.portabilityClient.query(now, wait.number());
            }
        }
    }

    private void resumeNumberSearch(long now, ActiveSession activeSession, SipOutput out) {
        if (!activeSession.answered && !activeSession.numberSearch.isFinished()) {
            timers.cancel(activeSession.waitTimer);
            applySearchStep(
                    now,
                    activeSession,
                    activeSession.numberSearch.resume(now, numberAnalysis.porting),
                    out);
        }
    }

    /**
     * The result of a query to the portability server: {@code routingNumber} if the number has
     * moved, valid for {@code lifetime} µs.
     */
    public void portabilityAnswered(
            long now,
            long number,
            PortabilityCache.QueryOutcome outcome,
            long routingNumber,
            long lifetime,
            SipOutput out) {
        for (long id :
                numberAnalysis.porting.queryEnded(now, number, outcome, routingNumber, lifetime)) {
            ActiveSession activeSession = activeSessions.get(id);
            if (activeSession != null) {
                resumeNumberSearch(now, activeSession, out);
            }
        }
        performPendingActions(now, out);
    }

    /** Puts a number table in service; one that is not newer is logged and ignored. */
    public void replaceNumberTable(long now, NumberTable table, SipOutput out) {
        List<Long> discardedVersions;
        try {
            discardedVersions = numberAnalysis.numberTables.replace(table);
        } catch (IllegalArgumentException e) {
            out.log("table-refused", "", e.getMessage());
            return;
        }
        out.log(
                "table",
                "",
                "version "
                        + table.version()
                        + ", "
                        + numberAnalysis.numberTables.retainedCount()
                        + " kept");
        if (!discardedVersions.isEmpty()) {
            for (ActiveSession activeSession : List.copyOf(activeSessions.values())) {
                if (activeSession.holdsNumberTable
                        && !activeSession.numberSearch.isFinished()
                        && discardedVersions.contains(activeSession.numberSearch.tableVersion())) {
                    timers.cancel(activeSession.waitTimer);
                    activeSession.numberSearch.cancel(numberAnalysis.porting);
                    activeSession.numberSearch.restart(numberAnalysis.numberTables.acquire());
                    applySearchStep(
                            now,
                            activeSession,
                            activeSession.numberSearch.next(now, numberAnalysis.porting),
                            out);
                }
            }
        }
        performPendingActions(now, out);
    }

    /** Releases a session's number table, which it no longer needs after its final response. */
    private void releaseNumberTable(ActiveSession activeSession) {
        if (activeSession.holdsNumberTable) {
            activeSession.holdsNumberTable = false;
            activeSession.numberSearch.cancel(numberAnalysis.porting);
            numberAnalysis.numberTables.release(activeSession.numberSearch.tableVersion());
        }
    }

    private static String messageForHeader(Exception e) {
        return e.getMessage().replaceAll("[\"\\\\\\r\\n]", "'");
    }

    /**
     * The digits of the called number, as passed to the routing policy; 0 if there are none or more
     * than 18.
     */
    private static long parseDigits(String number) {
        String digits = number.replaceAll("\\D", "");
        return digits.isEmpty() || digits.length() > 18 ? 0 : Long.parseLong(digits);
    }

    private void rejectForNoCircuit(long now, Call call, CallHeaders headers, SipOutput out) {
        userAgent.incrementCounter("no-circuit");
        userAgent.reject(
                now,
                call,
                503,
                "No Circuit",
                out,
                "Reason",
                InviteOutcomes.reasonHeader(InviteOutcomes.NO_CIRCUIT_AVAILABLE, "no circuit"),
                "X-Circuits",
                Integer.toString(trunkGroups.busy(headers.origin())));
    }

    /** Sends a call for a local line to the local exchange; there is no route to choose. */
    private void deliverToLocalLine(
            long now, ActiveSession activeSession, long deadline, SipOutput out) {
        OutboundLeg leg = new OutboundLeg(activeSession, settings.number(), 0, now);
        activeSession.outboundLeg = leg;
        SipMessage invite = buildOutgoingInvite(activeSession, deadline - now);
        leg.call = userAgent.invite(now, invite, settings.exchangeAddress(), leg, out);
        leg.timeoutTimer =
                timers.schedule(
                        deadline,
                        (at, o) -> {
                            userAgent.cancel(at, leg.call, o);
                            rejectSession(at, activeSession, 408, "Request Timeout", o);
                        });
    }

    private SipMessage buildOutgoingInvite(ActiveSession activeSession, long remainingTime) {
        SipMessage invite =
                userAgent.createRequest(
                        "INVITE",
                        SipUri.format(activeSession.headers.number(), settings.exchangeAddress()));
        invite.set(
                "Max-Forwards",
                Long.toString(
                        activeSession.inboundCall.invite().numericHeader("Max-Forwards", 70) - 1));
        CallHeaders.copyEndToEndFields(activeSession.inboundCall.invite(), invite);
        return CallHeaders.addTo(
                invite,
                activeSession.headers,
                activeSession.headers.origin(),
                remainingTime,
                activeSession.inboundCall.sessionId());
    }

    private void applyDecision(
            long now, ActiveSession activeSession, RoutingDecision decision, SipOutput out) {
        switch (decision.kind()) {
            case SEND -> sendInvite(now, activeSession, decision, out);
            case LATER -> {
                out.log(
                        "later",
                        activeSession.inboundCall.sessionId(),
                        "in " + (decision.time() - now) / 1000 + " ms");
                activeSession.waitTimer =
                        timers.schedule(
                                decision.time(),
                                (at, o) -> {
                                    if (!activeSession.answered) {
                                        applyDecision(
                                                at,
                                                activeSession,
                                                policy.route(at, activeSession.session),
                                                o);
                                    }
                                });
            }
            case REFUSE -> rejectByPolicy(now, activeSession, decision.time(), out);
            case FAIL -> rejectSession(now, activeSession, 500, "Terminated", out);
            case NOTHING -> {}
        }
    }

    private void sendInvite(
            long now, ActiveSession activeSession, RoutingDecision decision, SipOutput out) {
        RosterManager.RouterLocation location = rosterManager.locationOf(decision.exchange());
        int exchangeNumber = location == null ? -1 : location.exchange().number();
        OutboundLeg leg = new OutboundLeg(activeSession, exchangeNumber, decision.exchange(), now);
        activeSession.outboundLeg = leg;
        if (location == null) {
            finishInvite(now, leg, InviteOutcome.NOT_SENT, RejectionCause.NONE, 0, out);
            return;
        }
        if (trunkGroups.free(now, exchangeNumber) < activeSession.headers.width()) {
            finishInvite(now, leg, InviteOutcome.NOT_SENT, RejectionCause.NO_CIRCUIT, 0, out);
            return;
        }
        trunkGroups.seizeOutgoing(exchangeNumber, activeSession.headers.width());
        leg.holdsCircuits = true;
        reportCircuits(now, exchangeNumber);
        SipMessage invite = buildOutgoingInvite(activeSession, decision.time());
        invite.set("X-Origin", Integer.toString(settings.number()));
        invite.add(
                "Route",
                "<" + SipUri.format(Integer.toString(exchangeNumber), location.router()) + ";lr>");
        out.log(
                "invite",
                activeSession.inboundCall.sessionId(),
                "to " + decision.exchange() + " number " + exchangeNumber);
        leg.call = userAgent.invite(now, invite, settings.exchangeAddress(), leg, out);
        leg.timeoutTimer =
                timers.schedule(
                        now + decision.time(),
                        (at, o) -> {
                            userAgent.cancel(at, leg.call, o);
                            // Its circuits stay busy at most for the release wait.
                            timers.schedule(
                                    at + settings.policySettings().releaseWait(),
                                    (releaseAt, unused) -> releaseCircuits(releaseAt, leg));
                            finishInvite(
                                    at, leg, InviteOutcome.TIMED_OUT, RejectionCause.NONE, 0, o);
                        });
    }

    private void finishInvite(
            long now,
            OutboundLeg leg,
            InviteOutcome outcome,
            RejectionCause cause,
            long namedWait,
            SipOutput out) {
        ActiveSession activeSession = leg.activeSession;
        timers.cancel(leg.timeoutTimer);
        if (activeSession.outboundLeg != leg) {
            return;
        }
        activeSession.outboundLeg = null;
        activeSession.lastCause = cause;
        out.log("ended-invite", activeSession.inboundCall.sessionId(), outcome + " " + cause);
        applyDecision(
                now,
                activeSession,
                policy.onInviteOutcome(
                        now,
                        activeSession.id,
                        outcome,
                        cause,
                        leg.exchangeId,
                        now - leg.sentAt,
                        namedWait,
                        activeSession.answered),
                out);
    }

    private void releaseCircuits(long now, OutboundLeg leg) {
        if (leg.holdsCircuits) {
            leg.holdsCircuits = false;
            trunkGroups.releaseOutgoing(leg.exchangeNumber, leg.activeSession.headers.width());
            reportCircuits(now, leg.exchangeNumber);
        }
    }

    /**
     * Rejects a session that the policy refused: with a crankback if it is in transit, otherwise
     * with the time after which the caller may retry, if there is one.
     */
    private void rejectByPolicy(
            long now, ActiveSession activeSession, long retryAfter, SipOutput out) {
        if (activeSession.headers.origin() >= 0) {
            boolean fullBeyond = activeSession.lastCause == RejectionCause.PROCESSOR_FULL;
            rejectSession(
                    now,
                    activeSession,
                    503,
                    "Turned Back",
                    out,
                    "Reason",
                    fullBeyond
                            ? InviteOutcomes.reasonHeader(
                                    InviteOutcomes.RESOURCE_UNAVAILABLE, "full beyond")
                            : InviteOutcomes.reasonHeader(
                                    InviteOutcomes.REQUESTED_CIRCUIT_NOT_AVAILABLE, "turned back"));
        } else if (retryAfter > 0) {
            rejectSession(
                    now,
                    activeSession,
                    480,
                    TEMPORARILY_UNAVAILABLE,
                    out,
                    "Retry-After",
                    InviteOutcomes.retryAfter(retryAfter));
        } else {
            rejectSession(now, activeSession, 480, TEMPORARILY_UNAVAILABLE, out);
        }
    }

    /**
     * Sends the final response that rejects the session, unless it already has a final response.
     */
    private void rejectSession(
            long now,
            ActiveSession activeSession,
            int status,
            String reason,
            SipOutput out,
            String... extraHeaders) {
        if (activeSession.answered) {
            return;
        }
        out.log("answer", activeSession.inboundCall.sessionId(), status + " " + reason);
        userAgent.reject(now, activeSession.inboundCall, status, reason, out, extraHeaders);
        endSession(now, activeSession);
    }

    private void endSession(long now, ActiveSession activeSession) {
        if (!activeSession.answered) {
            activeSession.answered = true;
            unansweredCount--;
        }
        timers.cancel(activeSession.waitTimer);
        releaseNumberTable(activeSession);
        if (activeSession.holdsIncomingCircuits) {
            activeSession.holdsIncomingCircuits = false;
            trunkGroups.releaseIncoming(
                    activeSession.headers.origin(), activeSession.headers.width());
            reportCircuits(now, activeSession.headers.origin());
        }
        activeSessions.remove(activeSession.id);
        bySessionId.remove(activeSession.inboundCall.sessionId(), activeSession);
    }

    @Override
    public void provisionalReceived(long now, Call call, SipMessage response, SipOutput out) {
        OutboundLeg leg = (OutboundLeg) call.owner();
        if (response.status() == 180 && !leg.activeSession.answered) {
            userAgent.sendProvisional(now, leg.activeSession.inboundCall, 180, "Ringing", out);
        }
    }

    @Override
    public void callAnswered(long now, Call call, SipMessage response, SipOutput out) {
        OutboundLeg leg = (OutboundLeg) call.owner();
        ActiveSession activeSession = leg.activeSession;
        timers.cancel(leg.timeoutTimer);
        activeSession.answered = true;
        unansweredCount--;
        releaseNumberTable(activeSession);
        out.log("stands", activeSession.inboundCall.sessionId(), (now - leg.sentAt) / 1000 + " ms");
        userAgent.answer(now, activeSession.inboundCall, response, out);
        if (activeSession.session != null) {
            policy.onInviteOutcome(
                    now,
                    activeSession.id,
                    InviteOutcome.ESTABLISHED,
                    RejectionCause.NONE,
                    leg.exchangeId,
                    now - leg.sentAt,
                    0,
                    true);
        }
    }

    @Override
    public void callFailed(
            long now,
            Call call,
            SipMessage response,
            UserAgent.CallFailure failure,
            SipOutput out) {
        OutboundLeg leg = (OutboundLeg) call.owner();
        ActiveSession activeSession = leg.activeSession;
        timers.cancel(leg.timeoutTimer);
        releaseCircuits(now, leg);
        if (response != null && response.header("X-Circuits") != null) {
            // After the release, since the far end does not count the INVITE that it rejected.
            trunkGroups.farEndReportedBusy(
                    now, leg.exchangeNumber, (int) response.numericHeader("X-Circuits", 0));
            if (trunkGroups.excessExpiresAt(now, leg.exchangeNumber) < Long.MAX_VALUE) {
                timers.schedule(
                        trunkGroups.excessExpiresAt(now, leg.exchangeNumber),
                        (at, o) -> reportCircuits(at, leg.exchangeNumber));
            }
            reportCircuits(now, leg.exchangeNumber);
        }
        if (activeSession.outboundLeg != leg || call.isCancelled()) {
            return;
        }
        if (activeSession.session == null) {
            // The response of a local line is passed back to the caller unchanged.
            FailureResponse refusal =
                    FailureResponse.forwarding(response, failure, "Reason", "Retry-After");
            rejectSession(
                    now, activeSession, refusal.status(), refusal.reason(), out, refusal.fields());
            return;
        }
        InviteOutcomes.Outcome outcome = InviteOutcomes.fromResponse(response, failure);
        finishInvite(now, leg, outcome.outcome(), outcome.cause(), outcome.retryAfter(), out);
    }

    @Override
    public void callCancelled(long now, Call call, SipOutput out) {
        ActiveSession activeSession = (ActiveSession) call.owner();
        out.log("caller-gone", call.sessionId(), "");
        OutboundLeg leg = activeSession.outboundLeg;
        endSession(now, activeSession);
        if (activeSession.session != null) {
            policy.onSessionEnded(now, activeSession.id);
        }
        if (leg != null) {
            userAgent.cancel(now, leg.call, out);
            timers.schedule(
                    now + settings.policySettings().releaseWait(),
                    (releaseAt, unused) -> releaseCircuits(releaseAt, leg));
            if (activeSession.session != null) {
                finishInvite(now, leg, InviteOutcome.CANCELLED, RejectionCause.NONE, 0, out);
            } else {
                timers.cancel(leg.timeoutTimer);
            }
        }
    }

    @Override
    public void callEnded(long now, Call call, SipMessage bye, SipOutput out) {
        ActiveSession activeSession =
                call.owner() instanceof OutboundLeg leg
                        ? leg.activeSession
                        : (ActiveSession) call.owner();
        OutboundLeg leg = activeSession.outboundLeg;
        boolean wasCut =
                bye == null || InviteOutcomes.causeOf(bye) == InviteOutcomes.NETWORK_OUT_OF_ORDER;
        Call otherCall = call == activeSession.inboundCall ? leg.call : activeSession.inboundCall;
        out.log("over", activeSession.inboundCall.sessionId(), wasCut ? "cut" : "");
        userAgent.bye(
                now,
                otherCall,
                wasCut
                        ? InviteOutcomes.reasonHeader(InviteOutcomes.NETWORK_OUT_OF_ORDER, "cut")
                        : null,
                out);
        releaseCircuits(now, leg);
        endSession(now, activeSession);
        if (activeSession.session != null) {
            policy.onInviteOutcome(
                    now,
                    activeSession.id,
                    wasCut ? InviteOutcome.RESET : InviteOutcome.RELEASED,
                    RejectionCause.NONE,
                    leg.exchangeId,
                    now - leg.sentAt,
                    0,
                    true);
        }
    }

    /**
     * Forwards a re-INVITE of an established call to its other leg; one already in progress there
     * is glare and answered 491.
     */
    @Override
    public void reinviteReceived(long now, Call call, SipMessage invite, SipOutput out) {
        Call otherCall = otherLeg(call);
        boolean forwarded =
                otherCall != null
                        && userAgent.sendReinvite(
                                now,
                                otherCall,
                                invite.header("Content-Type", "application/sdp"),
                                invite.body(),
                                out);
        if (!forwarded) {
            userAgent.answerReinvite(now, call, 491, "Request Pending", "", new byte[0], out);
        }
    }

    @Override
    public void reinviteAnswered(long now, Call call, SipMessage response, SipOutput out) {
        Call otherCall = otherLeg(call);
        if (otherCall != null) {
            userAgent.answerReinvite(
                    now,
                    otherCall,
                    response.status(),
                    response.reason(),
                    response.header("Content-Type", "application/sdp"),
                    response.body(),
                    out);
        }
    }

    private static Call otherLeg(Call call) {
        if (call.owner() instanceof OutboundLeg leg) {
            return leg.activeSession.inboundCall;
        }
        ActiveSession activeSession = (ActiveSession) call.owner();
        return activeSession.outboundLeg == null ? null : activeSession.outboundLeg.call;
    }

    /**
     * Informs the routing policy of the circuits of a trunk group, for each exchange instance in
     * the roster with its number.
     */
    private void reportCircuits(long now, int number) {
        int free = trunkGroups.free(now, number);
        int size = trunkGroups.size(number);
        int[] lastReported = reportedCircuits.get(number);
        if (lastReported != null && lastReported[0] == free && lastReported[1] == size) {
            return;
        }
        reportedCircuits.put(number, new int[] {free, size});
        for (RosterEntry entry : rosterManager.entries()) {
            if (entry.exchange().number() == number) {
                policy.onCircuitUpdate(now, entry.exchange().id(), free, size);
            }
        }
    }

    // ---- probes, peer messages and the roster

    private void probe(long now, long id, SipOutput out) {
        RosterManager.RouterLocation location = rosterManager.locationOf(id);
        if (location != null) {
            SipMessage request =
                    userAgent
                            .createRequest("OPTIONS", SipUri.format("", location.router()))
                            .add("X-Probe", "yes");
            userAgent.send(now, request, location.router(), new Object[] {id, now}, out);
        }
    }

    private void broadcastToPeers(byte[] body, SipOutput out) {
        for (RosterEntry entry : rosterManager.entries()) {
            if (entry.exchange().number() != settings.number()
                    && entry.exchange().phase() == Phase.READY) {
                TransportAddress peer = rosterManager.routerHop(entry);
                SipMessage message = userAgent.createRequest("MESSAGE", SipUri.format("", peer));
                message.add("X-Number", Integer.toString(settings.number()));
                userAgent.sendWithoutTransaction(
                        message.body("application/octet-stream", body),
                        peer.withTransport(false),
                        out);
            }
        }
    }

    @Override
    public void requestReceived(
            long now, ServerTransaction transaction, TransportAddress from, SipOutput out) {
        SipMessage request = transaction.request();
        switch (request.method()) {
            case "NOTIFY" -> rosterManager.subscriber().handleNotify(now, transaction, from, out);
            case "MESSAGE" -> {
                if (request.body().length <= MAX_PEER_MESSAGE_BYTES) {
                    policy.onPeerMessage(
                            now, (int) request.numericHeader("X-Number", -1), request.body());
                } else {
                    userAgent.incrementCounter("long-news");
                }
                userAgent.respond(
                        now, transaction, userAgent.createResponse(transaction, 200, "OK"), out);
            }
            case "OPTIONS" -> {
                if (request.header("X-Probe") == null) {
                    userAgent.respond(
                            now,
                            transaction,
                            userAgent.createResponse(transaction, 200, "OK"),
                            out);
                } else {
                    SipMessage forwarded =
                            userAgent.createRequest(
                                    "OPTIONS", SipUri.format("", settings.exchangeAddress()));
                    userAgent.send(
                            now,
                            forwarded.add("X-Probe", "yes"),
                            settings.exchangeAddress(),
                            transaction,
                            out);
                }
            }
            default ->
                    userAgent.respond(
                            now,
                            transaction,
                            userAgent.createResponse(transaction, 405, "Method Not Allowed"),
                            out);
        }
    }

    @Override
    public void responseReceived(
            long now, ClientTransaction transaction, SipMessage response, SipOutput out) {
        boolean succeeded = response != null && response.status() < 300;
        if (rosterManager.subscriber().handleResponse(now, transaction, response, out)) {
            return;
        }
        if (transaction.owner() instanceof ServerTransaction probeRequest) {
            SipMessage reply =
                    userAgent.createResponse(
                            probeRequest, succeeded ? 200 : 503, succeeded ? "OK" : "No Answer");
            if (succeeded) {
                reply.add("X-Load", response.header("X-Load", ""));
            }
            userAgent.respond(now, probeRequest, reply, out);
        } else if (transaction.owner() instanceof Object[] probe) {
            policy.onProbeReply(
                    now,
                    (Long) probe[0],
                    succeeded,
                    now - (Long) probe[1],
                    succeeded ? parseLoadColumns(response.header("X-Load", "")) : new float[0]);
        }
    }

    private static float[] parseLoadColumns(String load) {
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
    public void rosterChanged(long now, List<Exchange> changes) {
        policy.onExchangeList(now, false, changes);
        reportedCircuits.clear();
        trunkGroups.numbers().forEach(number -> reportCircuits(now, number));
    }

    @Override
    public void directorySubscriptionEnded(long now) {
        policy.onExchangeListLost(now);
    }

    @Override
    public boolean trunkGroupsReceived(long now, List<String> lines) {
        try {
            for (String line : lines) {
                String[] parts = line.split(" ");
                trunkGroups.setSize(Integer.parseInt(parts[0]), Integer.parseInt(parts[1]));
                reportCircuits(now, Integer.parseInt(parts[0]));
            }
            return true;
        } catch (IllegalArgumentException | IndexOutOfBoundsException e) {
            return false;
        }
    }
}
