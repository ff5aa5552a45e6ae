package coralcove.platform;

import coralcove.CallRouter;
import coralcove.Exchange;
import coralcove.InviteOutcome;
import coralcove.RejectionCause;
import coralcove.Session;
import coralcove.pending.DecisionExecutor;
import coralcove.pending.PendingSessions;
import coralcove.platform.Exchanges.ExchangeConnection;
import coralcove.platform.Exchanges.RemoteExchange;
import coralcove.platform.PendingCalls.Invite;
import coralcove.platform.PendingCalls.PendingCall;
import coralcove.platform.caller.CallerMessage;
import coralcove.platform.caller.MalformedCallerMessageException;
import coralcove.platform.caller.SetUpRequest;
import coralcove.platform.discovery.DiscoveryUpdate;
import coralcove.platform.signaling.LoadReport;
import coralcove.platform.signaling.SessionDescription;
import coralcove.platform.signaling.SignalingMessages;
import coralcove.platform.signaling.SipOutcomes;
import coralcove.protocol.InviteOutcomes;
import coralcove.sip.MalformedMessageException;
import coralcove.sip.SipMessage;
import coralcove.sip.SipParser;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * The platform's session router without sockets and clock: inputs come with their time, outputs go
 * to {@link Actions}.
 *
 * <p>It owns the pending sessions, the one outstanding INVITE of each, the timers and the
 * established calls, and releases calls that have ended. All routing decisions are made by the
 * {@link CallRouter}; this class carries them out. Not thread-safe: one thread owns it. Times are
 * µs since the epoch; the core's time never goes back.
 */
public final class RouterCore implements DecisionExecutor {
    /** Q.850 cause of a refused session; the caller may safely retry. */
    private static final int CAUSE_CONGESTION = 42;

    /** Q.850 cause of a failed session. */
    private static final int CAUSE_NETWORK_OUT_OF_ORDER = 38;

    /** Q.850 cause of an invalid set-up. */
    private static final int CAUSE_INVALID_CONTENTS = 100;

    /** Q.850 cause of a set-up whose id is already in use. */
    private static final int CAUSE_INVALID_CALL_REFERENCE = 81;

    /** Interval between two checks of silent caller connections and of exchanges. */
    private static final long CHECK_INTERVAL_MICROS = 50_000;

    /**
     * Time after the start from which the router is ready even if some exchanges were not reached
     * yet, or if the exchange list could not be queried.
     */
    private static final long READY_TIMEOUT_MICROS = 1_500_000;

    /**
     * Time after the start from which the router is ready with the exchange list of its
     * configuration, even if the query for a newer one has neither succeeded nor failed.
     */
    private static final long READY_WITHOUT_LIST_MICROS = 4_000_000;

    /** Number of invalid set-ups that are logged; further ones are only counted. */
    private static final int MAX_LOGGED_INVALID_SET_UPS = 20;

    /** A load probe that waits for its response. */
    private record Probe(RemoteExchange exchange, Timers.Timer timeout) {}

    /** A set-up that waits for its routing decision. */
    private record UndecidedSetUp(PendingCall pending, Session session) {}

    private final ServiceSettings settings;
    private final Actions actions;
    private final CallRouter router;
    private final PendingSessions pendingSessions;
    private final Exchanges exchanges;
    private final CallerConnections callers;
    private final EstablishedCalls establishedCalls;
    private final Timers timers = new Timers();
    private final PendingCalls pendingCalls = new PendingCalls(timers);
    private final ReleaseNotifier releaseNotifier;
    private final Drain drain = new Drain();
    private final ExchangeListLease listLease;

    /** Set-ups that wait for a routing decision; the connections take turns. */
    private final FairQueue<UndecidedSetUp> undecidedSetUps = new FairQueue<>(1);

    /** Sessions whose next INVITE was decided by the routing policy but not sent yet. */
    private final ArrayDeque<PendingCall> unsentInvites = new ArrayDeque<>();

    private final CallHistory history = new CallHistory();

    /** Broadcasts to peer routers, sent at the end of the round. */
    private final List<byte[]> peerMessages = new ArrayList<>();

    /** Load probes that wait for a response, by id. */
    private final Map<Long, Probe> probes = new HashMap<>();

    /** The timer of the routing policy's next wake-up. */
    private Timers.Timer wakeUp;

    private final long startedAt;
    private long now;
    private long lastEventNumber;
    private boolean listAnswered;
    private boolean listFailed;
    private long nextCheckAt;
    private long lastCallerInputAt;
    private long lastProbeId;
    private final RouterCounters counters = new RouterCounters();

    /** Creates a router that started at {@code now}, without exchanges and connections. */
    public RouterCore(long now, ServiceSettings settings, CallRouter router, Actions actions) {
        this.now = now;
        startedAt = now;
        this.settings = settings;
        this.router = router;
        this.actions = actions;
        listLease = new ExchangeListLease(now, settings.drainGrace());
        pendingSessions = new PendingSessions(router, this);
        exchanges =
                new Exchanges(
                        settings.routing().localNumber(),
                        settings.mayProbe(),
                        settings.descriptorLimit(),
                        actions,
                        new ExchangeEvents());
        callers = new CallerConnections(new DescriptorBudget(settings.descriptorLimit(), 0));
        releaseNotifier = new ReleaseNotifier(callers, actions, timers, counters);
        establishedCalls =
                new EstablishedCalls(
                        exchanges,
                        releaseNotifier,
                        actions,
                        counters,
                        history,
                        (at, id, exchange, outcome) ->
                                pendingSessions.inviteEnded(
                                        at,
                                        id,
                                        outcome,
                                        RejectionCause.NONE,
                                        exchange.id,
                                        0,
                                        0,
                                        true));
    }

    /** Advances the time to the arrival of an input; never back. Returns the current time. */
    private long advanceTo(long arrivedAt) {
        now = Math.max(now, arrivedAt);
        return now;
    }

    // ---- callers

    /** A caller has opened a connection. */
    public void callerOpened(long arrivedAt, long id) {
        callers.opened(advanceTo(arrivedAt), id);
    }

    /** Bytes have been read from a caller's connection. */
    public void callerRead(long arrivedAt, long id, byte[] bytes) {
        advanceTo(arrivedAt);
        CallerConnection caller = callers.get(id);
        if (caller == null) {
            return;
        }
        lastCallerInputAt = now;
        caller.lastReadAt = now;
        caller.partialSince = 0;
        List<CallerMessage> messages = new ArrayList<>();
        boolean valid = true;
        try {
            caller.framer.feed(bytes, messages::add);
        } catch (MalformedCallerMessageException e) {
            valid = false;
        }
        for (CallerMessage message : messages) {
            if (callers.get(id) == caller) {
                handleCallerMessage(arrivedAt, caller, message);
            }
        }
        if (!valid && callers.get(id) == caller) {
            counters.unreadableStreams++;
            closeCaller(caller);
        }
    }

    /**
     * A connection was accepted near the connection limit. Closes up to two of the least useful
     * ones for it, so that callers do not wait in the kernel's accept queue.
     */
    public void connectionLimitReached(long arrivedAt) {
        advanceTo(arrivedAt);
        for (CallerConnection caller : callers.leastUseful(now, actions::hasQueuedInput)) {
            counters.callersClosedForRoom++;
            closeCaller(caller);
        }
    }

    /** A caller's connection was closed by its other side, or broke. */
    public void callerClosed(long arrivedAt, long id) {
        advanceTo(arrivedAt);
        CallerConnection caller = callers.closed(id);
        if (caller != null) {
            connectionGone(caller);
        }
    }

    private void closeCaller(CallerConnection caller) {
        callers.closed(caller.id);
        actions.closeCaller(caller.id);
        connectionGone(caller);
    }

    /**
     * Abandons the pending sessions of a closed connection, and sends the releases that were not
     * acknowledged on it on another connection.
     */
    private void connectionGone(CallerConnection caller) {
        List.copyOf(caller.pendingSessions).forEach(this::abandon);
        releaseNotifier.connectionClosed(now, caller);
    }

    private void handleCallerMessage(
            long arrivedAt, CallerConnection caller, CallerMessage message) {
        switch (message.type()) {
            case CallerMessage.SET_UP -> handleSetUp(arrivedAt, caller, message);
            case CallerMessage.RELEASE -> handleCallerRelease(caller, message);
            case CallerMessage.READINESS_CHECK -> {
                addEvidence(caller, CallerEvidence.VALID_MESSAGE);
                boolean passed = ready() && !drain.begun();
                actions.sendToCaller(
                        caller.id,
                        CallerMessage.withCause(
                                CallerMessage.READINESS_RESULT, message.callId(), passed ? 1 : 0));
            }
            case CallerMessage.RELEASE_COMPLETE -> {
                counters.releasesAcknowledged++;
                caller.acknowledgesReleases = true;
                if (releaseNotifier.acknowledged(message.callId(), caller)) {
                    addEvidence(caller, CallerEvidence.ACKNOWLEDGED_RELEASE);
                }
            }
            case CallerMessage.PROGRESS -> {}
            default -> {
                counters.unreadableStreams++;
                closeCaller(caller);
            }
        }
    }

    /** A connection has given evidence of being a caller's: it may get releases that are owed. */
    private void addEvidence(CallerConnection caller, CallerEvidence evidence) {
        if (callers.addEvidence(caller, evidence)) {
            releaseNotifier.evidenceGrew(now, caller);
        }
    }

    private void handleSetUp(long arrivedAt, CallerConnection caller, CallerMessage message) {
        SetUpRequest setUp;
        try {
            setUp = SetUpRequest.parse(message, settings.serviceNames(), settings.serviceWidths());
        } catch (MalformedCallerMessageException e) {
            if (++counters.invalidSetUps <= MAX_LOGGED_INVALID_SET_UPS) {
                actions.log(
                        "unusable",
                        SignalingMessages.formatCallId(message.callId()),
                        e.getMessage());
            }
            sendRelease(caller, message.callId(), CAUSE_INVALID_CONTENTS);
            return;
        }
        long id = setUp.callId();
        if (setUp.establishedExchange() != null) {
            callers.addEvidence(caller, CallerEvidence.VALID_MESSAGE);
            addEvidence(caller, CallerEvidence.REPORTED_CALL);
            if (pendingCalls.get(id) == null) {
                establishedCalls.reportedByCaller(
                        now, id, setUp.establishedExchange(), caller.id, listAnswered);
            }
            return;
        }
        PendingCall existing = pendingCalls.get(id);
        if (existing != null || establishedCalls.has(id) || history.contains(id)) {
            // Two set-ups with one id: the answer to one could be taken for the answer to the
            // other. An INVITE that was given up may still be answered.
            counters.invalidSetUps++;
            sendRelease(caller, id, CAUSE_INVALID_CALL_REFERENCE);
            if (existing != null && existing.caller == caller) {
                abandon(id);
            }
            return;
        }
        callers.addEvidence(caller, CallerEvidence.VALID_MESSAGE);
        addEvidence(caller, CallerEvidence.REQUESTED_CALL);
        counters.setUps++;
        long deadline = arrivedAt + timeLimit(setUp);
        if (establishedCalls.full()
                || !drain.acceptsSetUps(now)
                || !listLease.isValid(now)
                || !makeRoomForSession(caller)) {
            counters.refused++;
            sendRelease(caller, id, CAUSE_CONGESTION);
            return;
        }
        PendingCall pending = pendingCalls.add(setUp, caller, deadline, this::callTimedOut);
        Session session =
                new Session(
                        id,
                        setUp.serviceIndex(),
                        0,
                        setUp.farEnd(),
                        setUp.width(),
                        setUp.advisedTandem(),
                        setUp.transit(),
                        Long.parseUnsignedLong(setUp.calledNumber(), 16),
                        setUp.redialled(),
                        setUp.redialledAfterCut(),
                        arrivedAt,
                        deadline);
        undecidedSetUps.add(caller.id, new UndecidedSetUp(pending, session), 1);
    }

    /**
     * Whether there is room for a further session of this connection. From half of the limit of
     * pending sessions on, a connection may have an equal share of that limit. At the limit, one
     * below its share gets the place of the connection with most undecided set-ups.
     */
    private boolean makeRoomForSession(CallerConnection caller) {
        int limit = settings.maxPendingSessions();
        int share = limit / (pendingCalls.callerCount() + 1);
        if (pendingCalls.size() >= limit / 2 && caller.pendingSessions.size() >= share) {
            return false;
        }
        while (pendingCalls.size() >= limit && !undecidedSetUps.isEmpty()) {
            UndecidedSetUp displaced = undecidedSetUps.pollNewestOfLargest();
            if (pendingCalls.contains(displaced.pending)) {
                refuse(displaced.session, 0);
            }
        }
        return pendingCalls.size() < limit;
    }

    /**
     * The time that a session may take, in µs: its caller's wait, but no longer than any caller of
     * this service waits. A longer wait would occupy a trunk group for a call that nobody awaits.
     */
    private long timeLimit(SetUpRequest setUp) {
        return Math.min(
                setUp.waitMs() * 1000, settings.serviceDeadlines().get(setUp.serviceIndex()));
    }

    /**
     * Routes the oldest undecided set-up and sends the INVITEs decided so far. To be called when
     * all inputs read so far have been processed: a caller's release or close is then taken into
     * account before anything is sent for its session.
     */
    public void routeNext(long time) {
        advanceTo(time);
        boolean decided = false;
        while (!decided && !undecidedSetUps.isEmpty()) {
            UndecidedSetUp next = undecidedSetUps.poll();
            decided = pendingCalls.contains(next.pending);
            if (decided) {
                pendingSessions.add(now, next.session);
            }
        }
        for (PendingCall pending = unsentInvites.poll();
                pending != null;
                pending = unsentInvites.poll()) {
            Invite invite = pending.outstanding();
            if (pendingCalls.contains(pending) && invite != null && invite.connection == null) {
                sendOrConnect(pending);
            }
        }
    }

    /** Whether a set-up waits for a routing decision, or an INVITE to be sent. */
    public boolean hasUndecided() {
        return !undecidedSetUps.isEmpty() || !unsentInvites.isEmpty();
    }

    /** Sends the outstanding INVITE, or requests a connection where none is up. */
    private void sendOrConnect(PendingCall pending) {
        if (!listLease.isValid(now)) {
            rejectForExpiredList(pending);
            return;
        }
        RemoteExchange exchange = pending.outstanding().exchange;
        ExchangeConnection connection = exchanges.pickForInvite(exchange);
        if (connection != null) {
            sendInvite(pending, connection);
        } else {
            exchanges.requestConnection(now, exchange);
        }
    }

    /** The caller's time limit has expired: the session fails now, whatever it waits for. */
    private void callTimedOut(PendingCall pending) {
        if (pending.outstanding() != null) {
            inviteTimedOut(pending);
        }
        if (pendingCalls.contains(pending)) {
            counters.failed++;
            pendingSessions.callerLeft(now, pending.id());
            sendFinalAnswer(
                    pending.id(),
                    CallerMessage.withCause(
                            CallerMessage.RELEASE, pending.id(), CAUSE_NETWORK_OUT_OF_ORDER));
        }
    }

    private void handleCallerRelease(CallerConnection caller, CallerMessage message) {
        long id = message.callId();
        PendingCall pending = pendingCalls.get(id);
        if (pending != null && pending.caller == caller) {
            addEvidence(caller, CallerEvidence.VALID_MESSAGE);
            abandon(id);
            return;
        }
        if (establishedCalls.releasedByCaller(
                now, id, message.cause(SipOutcomes.CAUSE_NORMAL_CLEARING))) {
            addEvidence(caller, CallerEvidence.VALID_MESSAGE);
        }
    }

    /**
     * Drops a pending session whose caller has released it or has disconnected: no answer is sent,
     * and an outstanding INVITE is cancelled.
     */
    private void abandon(long id) {
        PendingCall pending = pendingCalls.remove(id);
        if (pending == null) {
            return;
        }
        counters.abandoned++;
        rememberInvites(pending);
        Invite invite = pendingCalls.endInvite(pending);
        if (invite != null && invite.connection != null) {
            sendCancel(pending, invite);
        }
        endSession(pending, invite, InviteOutcome.CANCELLED);
    }

    /** Informs the routing policy that a session is over, and how its last INVITE ended, if any. */
    private void endSession(PendingCall pending, Invite invite, InviteOutcome outcome) {
        pendingSessions.callerLeft(now, pending.id());
        if (invite != null) {
            pendingSessions.inviteEnded(
                    now,
                    pending.id(),
                    outcome,
                    RejectionCause.NONE,
                    invite.exchange.id,
                    now - invite.sentAt,
                    0,
                    true);
        }
    }

    /**
     * Ends a session whose INVITE was not sent, as its exchange may have begun to drain. It is
     * refused, or fails if it had an INVITE before, which may have run.
     */
    private void rejectForExpiredList(PendingCall pending) {
        boolean hadInvite = pending.outstanding().sequence > 1;
        endSession(pending, pendingCalls.endInvite(pending), InviteOutcome.NOT_SENT);
        counters.refused += hadInvite ? 0 : 1;
        counters.failed += hadInvite ? 1 : 0;
        sendFinalAnswer(
                pending.id(),
                CallerMessage.withCause(
                        CallerMessage.RELEASE,
                        pending.id(),
                        hadInvite ? CAUSE_NETWORK_OUT_OF_ORDER : CAUSE_CONGESTION));
    }

    /** Rejects the sessions that wait for a connection if the exchange list has expired. */
    private void checkListLease() {
        if (listLease.expire(now)) {
            actions.log(
                    "list-expired",
                    "",
                    "no answer of the discovery service for "
                            + listLease.age(now) / 1000
                            + " ms: set-ups are refused");
            for (PendingCall pending : pendingCalls.all()) {
                if (pending.outstanding() != null && pending.outstanding().connection == null) {
                    rejectForExpiredList(pending);
                }
            }
        }
    }

    /** Cancels an INVITE and remembers it, as a 200 may cross the CANCEL. */
    private void sendCancel(PendingCall pending, Invite invite) {
        history.cancelled(pending.id(), invite.exchange);
        actions.sendToExchange(
                invite.connection.id,
                SignalingMessages.cancel(
                        pending.setUp.callId(), invite.sequence, pending.setUp.calledNumber()));
    }

    private void sendRelease(CallerConnection caller, long id, int cause) {
        actions.sendToCaller(caller.id, CallerMessage.withCause(CallerMessage.RELEASE, id, cause));
    }

    // ---- exchanges

    /** A connection to an exchange has come up; sends the INVITEs that wait for it. */
    public void exchangeConnectionUp(long arrivedAt, long id) {
        advanceTo(arrivedAt);
        ExchangeConnection connection = exchanges.connection(id);
        if (connection == null) {
            // It came up while it was being closed.
            actions.closeExchangeConnection(id);
            return;
        }
        exchanges.connectionUp(now, connection);
        establishedCalls.connectionUp(connection);
        for (PendingCall pending : pendingCalls.all()) {
            if (pending.waitsForConnectionTo(connection.exchange)) {
                sendOrConnect(pending);
            }
        }
    }

    /** A connection to an exchange did not come up, or was lost; resets the INVITEs sent on it. */
    public void exchangeConnectionDown(long arrivedAt, long id, ConnectionLoss loss) {
        advanceTo(arrivedAt);
        ExchangeConnection connection = exchanges.connection(id);
        if (connection == null) {
            return;
        }
        exchanges.connectionDown(now, connection, loss);
        resetInvites(connection);
        if (loss != ConnectionLoss.BROKEN && !connection.exchange.hasConnectionUp()) {
            failUnsentInvites(connection.exchange);
        }
    }

    /** Bytes have been read from a connection to an exchange. */
    public void exchangeRead(long arrivedAt, long id, byte[] bytes) {
        advanceTo(arrivedAt);
        ExchangeConnection connection = exchanges.connection(id);
        if (connection == null) {
            return;
        }
        try {
            connection.framer.feed(
                    bytes,
                    0,
                    bytes.length,
                    messageBytes -> {
                        if (exchanges.connection(id) == connection) {
                            handleExchangeMessage(arrivedAt, connection, messageBytes);
                        }
                    });
        } catch (MalformedMessageException e) {
            discardMalformed(connection, e.getMessage());
        }
    }

    private void handleExchangeMessage(
            long arrivedAt, ExchangeConnection connection, byte[] messageBytes) {
        SipMessage message;
        try {
            message = SipParser.parseWithoutMandatoryHeaders(messageBytes);
        } catch (MalformedMessageException e) {
            discardMalformed(connection, e.getMessage());
            return;
        }
        exchanges.messageReceived(now, connection);
        String loadReport = message.header("Link-State");
        if (loadReport != null) {
            handleLoadReport(connection.exchange, loadReport);
        }
        if (message.isRequest()) {
            handleRequest(connection, message);
        } else if (message.status() >= 200) {
            handleResponse(arrivedAt, connection, message);
        }
    }

    /**
     * Closes a connection after a malformed message: the session it belonged to is unknown, and the
     * rest of the stream cannot be trusted.
     */
    private void discardMalformed(ExchangeConnection connection, String reason) {
        counters.malformedMessages++;
        exchanges.discard(now, connection, reason);
    }

    private void handleLoadReport(RemoteExchange exchange, String loadReport) {
        float[] columns = LoadReport.parse(loadReport, settings.reportColumns());
        if (columns != null && columns[0] >= 0 && columns[1] >= 0) {
            router.onCircuitUpdate(now, exchange.id, (int) columns[0], (int) columns[1]);
        }
    }

    private void handleRequest(ExchangeConnection connection, SipMessage message) {
        Long id = SignalingMessages.parseCallId(message);
        switch (message.method()) {
            case "NOTIFY", "ACK" -> {}
            case "BYE" -> {
                actions.sendToExchange(
                        connection.id, SignalingMessages.response(message, 200, "OK"));
                if (id != null) {
                    handleBye(connection, id, InviteOutcomes.causeOf(message));
                }
            }
            case "OPTIONS" ->
                    actions.sendToExchange(
                            connection.id, SignalingMessages.response(message, 200, "OK"));
            default ->
                    actions.sendToExchange(
                            connection.id,
                            SignalingMessages.response(message, 501, "Not Implemented"));
        }
    }

    private void handleBye(ExchangeConnection connection, long id, int cause) {
        PendingCall pending = pendingCalls.get(id);
        if (pending != null && pending.isOutstandingOn(connection)) {
            endInvite(pending, InviteOutcome.RESET, RejectionCause.NONE, 0);
            return;
        }
        if (pending == null) {
            establishedCalls.releasedByExchange(now, id, connection.exchange, cause);
        }
    }

    private void handleResponse(long arrivedAt, ExchangeConnection connection, SipMessage message) {
        Long id = SignalingMessages.parseCallId(message);
        if (id == null) {
            return;
        }
        if (message.cseqMethod().equals("OPTIONS")) {
            handleProbeResponse(id, connection, message);
            return;
        }
        if (!message.cseqMethod().equals("INVITE")) {
            return;
        }
        PendingCall pending = pendingCalls.get(id);
        if (pending == null || !pending.isOutstandingOn(connection)) {
            handleUnexpectedResponse(connection, id, message, pending);
            return;
        }
        if (message.status() < 300 && !SessionDescription.isWellFormed(message.body())) {
            // A truncated body swallows the start of the next message, so the rest of the stream
            // is out of sync.
            discardMalformed(connection, "malformed session description");
            return;
        }
        actions.sendToExchange(
                connection.id,
                SignalingMessages.ack(
                        id, pending.outstanding().sequence, pending.setUp.calledNumber()));
        if (message.status() >= 300) {
            InviteOutcomes.Outcome outcome = SipOutcomes.ofResponse(message);
            endInvite(pending, outcome.outcome(), outcome.cause(), outcome.retryAfter());
            return;
        }
        pendingCalls.remove(id);
        long elapsed = arrivedAt - pendingCalls.endInvite(pending).sentAt;
        establishedCalls.add(now, id, connection, pending.caller.id);
        counters.countEstablished(elapsed);
        actions.sendToCaller(
                pending.caller.id,
                CallerMessage.of(CallerMessage.ANSWER, id)
                        .add(CallerMessage.DESCRIPTION, message.body()));
        addEvidence(pending.caller, CallerEvidence.ESTABLISHED_CALL);
        pendingSessions.callEstablished(now, id, connection.exchange.id, Math.max(0, elapsed));
    }

    /**
     * Handles a final response to no outstanding INVITE: a duplicate, one with an unknown id, or
     * one that crossed a CANCEL. Only the last kind is acknowledged, and its call released.
     */
    private void handleUnexpectedResponse(
            ExchangeConnection connection, long id, SipMessage message, PendingCall pending) {
        counters.unexpectedResponses++;
        boolean unused = pending == null && !establishedCalls.has(id);
        if (message.status() < 300 && unused && history.wasCancelledAt(id, connection.exchange)) {
            actions.sendToExchange(
                    connection.id,
                    SignalingMessages.ack(
                            id,
                            (int) Math.max(1, message.cseqNumber()),
                            SignalingMessages.formatCallId(id)));
            actions.sendToExchange(
                    connection.id, SignalingMessages.bye(id, SipOutcomes.CAUSE_NORMAL_CLEARING));
        }
    }

    private void sendInvite(PendingCall pending, ExchangeConnection connection) {
        Invite invite = pending.outstanding();
        long withinMs = Math.floorDiv(invite.deadline - now, 1000L);
        if (withinMs < 1) {
            return;
        }
        invite.sentOn(connection);
        counters.invites++;
        actions.sendToExchange(
                connection.id,
                SignalingMessages.invite(
                        pending.setUp.callId(),
                        invite.sequence,
                        pending.setUp.calledNumber(),
                        pending.setUp.service(),
                        withinMs,
                        pending.setUp.description()));
    }

    /** Ends the outstanding INVITE without a call; the routing policy decides what follows. */
    private void endInvite(
            PendingCall pending, InviteOutcome outcome, RejectionCause cause, long retryAfter) {
        Invite invite = pendingCalls.endInvite(pending);
        counters.countOutcome(outcome);
        pendingSessions.inviteEnded(
                now,
                pending.setUp.callId(),
                outcome,
                cause,
                invite.exchange.id,
                now - invite.sentAt,
                retryAfter,
                false);
    }

    /** Ends all INVITEs that were sent on this connection as reset. */
    private void resetInvites(ExchangeConnection connection) {
        for (PendingCall pending : pendingCalls.all()) {
            if (pending.isOutstandingOn(connection)) {
                endInvite(pending, InviteOutcome.RESET, RejectionCause.NONE, 0);
            }
        }
    }

    /** Ends the INVITEs that still wait for a connection to this exchange: none was sent. */
    private void failUnsentInvites(RemoteExchange exchange) {
        for (PendingCall pending : pendingCalls.all()) {
            if (pending.waitsForConnectionTo(exchange)) {
                endInvite(pending, InviteOutcome.UNREACHABLE, RejectionCause.NONE, 0);
            }
        }
    }

    private void inviteTimedOut(PendingCall pending) {
        Invite invite = pending.outstanding();
        if (invite.connection == null) {
            endInvite(pending, InviteOutcome.UNREACHABLE, RejectionCause.NONE, 0);
            return;
        }
        ExchangeConnection connection = invite.connection;
        // Nothing was received on the connection since the INVITE: its stream may be stuck in a
        // truncated message.
        connection.unusable |= connection.lastHeardAt <= invite.sentAt;
        sendCancel(pending, invite);
        endInvite(pending, InviteOutcome.TIMED_OUT, RejectionCause.NONE, 0);
    }

    private final class ExchangeEvents implements Exchanges.Listener {
        @Override
        public void exchangeLost(long at, RemoteExchange exchange, String reason) {
            if (exchange.establishedCalls > 0) {
                actions.log(
                        "died",
                        "",
                        exchange.name
                                + ": "
                                + reason
                                + ", "
                                + exchange.establishedCalls
                                + " calls");
            }
            establishedCalls.endCallsBefore(at, exchange, Long.MAX_VALUE);
            failUnsentInvites(exchange);
        }

        @Override
        public void exchangeReplaced(
                long at, RemoteExchange older, RemoteExchange newer, long replacedAt) {
            establishedCalls.moveCalls(older, newer, replacedAt);
        }

        @Override
        public void exchangeRestarted(long at, RemoteExchange exchange) {
            establishedCalls.endCallsBefore(at, exchange, exchange.startedAt);
        }

        @Override
        public void connectionClosed(long at, ExchangeConnection connection, String reason) {
            resetInvites(connection);
        }
    }

    // ---- exchange list, peers, probes

    /** Applies updates of the exchange list; events that were seen before are skipped. */
    public void exchangeListUpdated(long arrivedAt, DiscoveryUpdate bulletin) {
        advanceTo(arrivedAt);
        for (DiscoveryUpdate.Event event : bulletin.events()) {
            if (event.number() > lastEventNumber) {
                lastEventNumber = event.number();
                List<Exchange> changed = exchanges.applyEvent(now, event);
                router.onExchangeList(now, event.complete(), changed);
                // An INVITE that waits for a connection to a draining exchange must not be sent
                // when the connection comes up.
                changed.stream()
                        .filter(each -> each.phase() != Exchange.Phase.READY)
                        .map(each -> exchanges.byId(each.id()))
                        .forEach(this::failUnsentInvites);
            }
        }
        callers.setDescriptorBudget(
                new DescriptorBudget(settings.descriptorLimit(), exchanges.size()));
        exchanges.tick(now);
    }

    /**
     * The discovery service has answered.
     *
     * @param listCurrentAt time at which the list was current at least, in µs
     */
    public void discoveryAnswered(long arrivedAt, long listCurrentAt, DiscoveryUpdate bulletin) {
        listAnswered = true;
        exchangeListUpdated(arrivedAt, bulletin);
        if (listLease.renew(now, listCurrentAt)) {
            actions.log("list-renewed", "", "set-ups are accepted");
        }
    }

    /** A query to the discovery service has failed. */
    public void discoveryFailed(long arrivedAt) {
        listFailed = true;
        router.onExchangeListLost(advanceTo(arrivedAt));
    }

    /** A broadcast of the peer router with this rank has arrived. */
    public void peerBroadcast(long arrivedAt, int rank, byte[] body) {
        router.onPeerMessage(advanceTo(arrivedAt), rank, body);
    }

    private void handleProbeResponse(long id, ExchangeConnection connection, SipMessage message) {
        Probe probe = probes.get(id);
        if (probe != null && probe.exchange == connection.exchange) {
            probes.remove(id);
            timers.cancel(probe.timeout);
            String loadReport = message.header("Link-State");
            float[] columns =
                    loadReport == null
                            ? null
                            : LoadReport.parse(loadReport, settings.reportColumns());
            router.onProbeReply(
                    now,
                    probe.exchange.id,
                    message.status() == 200,
                    1,
                    columns == null ? new float[0] : columns);
        }
    }

    // ---- decisions of the routing policy

    @Override
    public void send(Session session, long exchangeId, long allowance) {
        PendingCall pending = pendingCalls.get(session.id());
        RemoteExchange exchange = exchanges.byId(exchangeId);
        pendingCalls.beginInvite(pending, exchange, now, now + allowance, this::inviteTimedOut);
        unsentInvites.add(pending);
    }

    @Override
    public void defer(Session session, long at) {
        pendingCalls.decideAt(
                pendingCalls.get(session.id()),
                at,
                time -> pendingSessions.resume(time, session.id()));
    }

    @Override
    public void refuse(Session session, long retryAfter) {
        counters.refused++;
        CallerMessage message =
                CallerMessage.withCause(CallerMessage.RELEASE, session.id(), CAUSE_CONGESTION);
        if (retryAfter > 0) {
            message.add(CallerMessage.RETRY_AFTER, Long.toString((retryAfter + 999) / 1000));
        }
        sendFinalAnswer(session.id(), message);
    }

    @Override
    public void fail(Session session) {
        counters.failed++;
        sendFinalAnswer(
                session.id(),
                CallerMessage.withCause(
                        CallerMessage.RELEASE, session.id(), CAUSE_NETWORK_OUT_OF_ORDER));
    }

    private void sendFinalAnswer(long id, CallerMessage message) {
        PendingCall pending = pendingCalls.remove(id);
        rememberInvites(pending);
        actions.sendToCaller(pending.caller.id, message);
    }

    private void rememberInvites(PendingCall pending) {
        if (pending.hadInvite()) {
            history.ended(pending.id());
        }
    }

    @Override
    public void subscribe() {
        // The exchange list is polled continuously; there is nothing to start.
    }

    @Override
    public void probe(long exchangeId) {
        RemoteExchange exchange = exchanges.byId(exchangeId);
        ExchangeConnection connection = exchange == null ? null : exchanges.pickForInvite(exchange);
        if (connection != null) {
            long id = --lastProbeId;
            Timers.Timer timeout =
                    timers.schedule(
                            now + settings.connectTimeout(),
                            time -> {
                                probes.remove(id);
                                router.onProbeReply(
                                        time,
                                        exchangeId,
                                        false,
                                        settings.connectTimeout(),
                                        new float[0]);
                            });
            probes.put(id, new Probe(exchange, timeout));
            actions.sendToExchange(connection.id, SignalingMessages.probe(id));
        }
    }

    @Override
    public void broadcast(byte[] body) {
        peerMessages.add(body);
    }

    @Override
    public void scheduleWakeUp(long at) {
        timers.cancel(wakeUp);
        wakeUp = timers.schedule(at, time -> {});
    }

    // ---- time

    /** The time at which {@link #tick} is to be called next. */
    public long nextTickAt() {
        return Math.min(nextCheckAt, timers.nextDeadline());
    }

    /** Runs the expired timers and the periodic checks. */
    public void tick(long time) {
        advanceTo(time);
        timers.runExpired(now);
        if (now >= nextCheckAt) {
            nextCheckAt = now + CHECK_INTERVAL_MICROS;
            checkListLease();
            exchanges.tick(now);
            for (CallerConnection caller : callers.withStalledMessage(now)) {
                counters.silentCallersClosed++;
                closeCaller(caller);
            }
            callers.markForClosing(now);
        }
    }

    /**
     * All inputs read so far have been processed. Closes the connections that are marked for
     * closing, and continues the drain.
     *
     * <p>Only here can a connection be closed without losing a set-up that was read from it and
     * still waited in the queue. A set-up that crosses the close is retried by its caller.
     */
    public void allInputsProcessed(long time) {
        advanceTo(time);
        for (CallerConnection caller : callers.closable(now)) {
            counters.silentCallersClosed += caller.sentValidMessage() ? 0 : 1;
            counters.callersClosedForRoom += caller.sentValidMessage() ? 1 : 0;
            closeCaller(caller);
        }
        switch (drain.step(
                now,
                pendingCalls.size() == 0,
                lastCallerInputAt,
                drain.begun() && releaseNotifier.hasUnacknowledged())) {
            case STOP_ACCEPTING -> actions.stopAccepting();
            case EXIT -> {
                exchanges.closeAll(now);
                callers.all().forEach(caller -> actions.closeCaller(caller.id));
                actions.exit();
            }
            case NONE -> {}
        }
    }

    /** Ends a round of inputs: carries out the pending probes, broadcasts and wake-ups. */
    public void endRound() {
        pendingSessions.runPendingActions(now);
        peerMessages.forEach(actions::sendToPeers);
        peerMessages.clear();
    }

    /**
     * SIGTERM: answers the pending sessions, then ends the program. Established calls continue
     * without it.
     */
    public void drain(long arrivedAt) {
        advanceTo(arrivedAt);
        if (drain.begin(now)) {
            actions.log(
                    "drain",
                    "",
                    pendingCalls.size()
                            + " sessions in hand, "
                            + establishedCalls.size()
                            + " calls stand");
        }
    }

    /**
     * Whether the exchange list is up to date, and a connection to each exchange was tried. The
     * list in the configuration may be outdated: an exchange may have begun to drain since. So the
     * discovery service is queried before the first INVITE, unless it fails or times out.
     */
    public boolean ready() {
        long uptime = now - startedAt;
        boolean listKnown =
                listAnswered
                        || listFailed && uptime > READY_TIMEOUT_MICROS
                        || uptime > READY_WITHOUT_LIST_MICROS;
        return lastEventNumber > 0
                && listKnown
                && (exchanges.allTried() || uptime > READY_TIMEOUT_MICROS);
    }

    /** Number of timers that are scheduled. */
    int timerCount() {
        return timers.size();
    }

    /** Counters since the start and current numbers, as one line for the log. */
    public String counterLine() {
        return counters
                + " in-hand "
                + pendingCalls.size()
                + " standing "
                + establishedCalls.size()
                + " callers "
                + callers.size()
                + " owed "
                + releaseNotifier.size()
                + " unheard "
                + counters.releasesDropped
                + " told-not-kept "
                + counters.reportsNotKept
                + " timers "
                + timerCount();
    }
}
