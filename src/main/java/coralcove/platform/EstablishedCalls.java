package coralcove.platform;

import coralcove.InviteOutcome;
import coralcove.platform.Exchanges.ExchangeConnection;
import coralcove.platform.Exchanges.RemoteExchange;
import coralcove.platform.caller.CallerMessage;
import coralcove.platform.signaling.SignalingMessages;
import coralcove.platform.signaling.SipOutcomes;
import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * The established calls, with the exchange and the caller's connection of each. When a call ends,
 * its other side is notified.
 */
final class EstablishedCalls {
    /** Maximum number of calls that this router established; at the limit, set-ups are refused. */
    private static final int MAX_CALLS = 42_000;

    /** Maximum number of releases of unknown calls that are remembered. */
    private static final int MAX_REMEMBERED = 4_000;

    /** Time for which the release of an unknown call is remembered: messages may cross it. */
    private static final long REMEMBERED_MICROS = 12_000_000;

    /** Maximum number of releases that wait for a connection to one exchange. */
    private static final int MAX_QUEUED_RELEASES = 1_000;

    /**
     * An established call; its caller's connection may have closed since. {@code connectionUpAt} is
     * when the connection to the exchange on which it was set up came up, or 0 if it was reported.
     */
    private record Call(
            RemoteExchange exchange,
            long callerConnection,
            long establishedAt,
            long connectionUpAt) {}

    /** Is notified when a call has ended. */
    interface Listener {
        void callEnded(long now, long id, RemoteExchange exchange, InviteOutcome outcome);
    }

    private final Exchanges exchanges;
    private final ReleaseNotifier releaseNotifier;
    private final Actions actions;
    private final RouterCounters counters;
    private final Listener listener;
    private final CallHistory history;
    private final Map<Long, Call> calls = new LinkedHashMap<>();
    private final ReportedCalls reportedCalls = new ReportedCalls();

    /** Time of the release by call id, for calls that were unknown when they were released. */
    private final Map<Long, Long> releasedUnknownCalls =
            new LinkedHashMap<>() {
                private static final long serialVersionUID = 1;

                @Override
                protected boolean removeEldestEntry(Map.Entry<Long, Long> eldest) {
                    return size() > MAX_REMEMBERED;
                }
            };

    /** Ids of released calls by exchange, whose BYE waits for a connection to come up. */
    private final Map<RemoteExchange, ArrayDeque<Long>> queuedReleases = new HashMap<>();

    EstablishedCalls(
            Exchanges exchanges,
            ReleaseNotifier releaseNotifier,
            Actions actions,
            RouterCounters counters,
            CallHistory history,
            Listener listener) {
        this.exchanges = exchanges;
        this.releaseNotifier = releaseNotifier;
        this.actions = actions;
        this.counters = counters;
        this.history = history;
        this.listener = listener;
    }

    int size() {
        return calls.size();
    }

    boolean full() {
        return calls.size() - reportedCalls.size() >= MAX_CALLS;
    }

    boolean has(long id) {
        return calls.containsKey(id);
    }

    /** Adds a call that was established now on this connection to its exchange. */
    void add(long now, long id, ExchangeConnection connection, long callerConnection) {
        add(id, new Call(connection.exchange, callerConnection, now, connection.upAt));
    }

    private void add(long id, Call call) {
        calls.put(id, call);
        call.exchange.establishedCalls++;
    }

    /**
     * Moves the calls of an exchange that were set up on connections which came up since this time
     * to the newer exchange, which is where these connections led.
     */
    void moveCalls(RemoteExchange older, RemoteExchange newer, long connectionsUpSince) {
        for (Map.Entry<Long, Call> each : calls.entrySet()) {
            Call call = each.getValue();
            if (call.exchange == older && call.connectionUpAt >= connectionsUpSince) {
                each.setValue(
                        new Call(
                                newer,
                                call.callerConnection,
                                call.establishedAt,
                                call.connectionUpAt));
                older.establishedCalls--;
                newer.establishedCalls++;
            }
        }
    }

    /**
     * A caller reports an established call after this router's start; it may have ended while no
     * router was running. A call at an unknown exchange is released.
     *
     * @param listKnown whether the exchange list is up to date
     */
    void reportedByCaller(
            long now, long id, String exchangeName, long callerConnection, boolean listKnown) {
        Long releasedAt = releasedUnknownCalls.remove(id);
        if (calls.containsKey(id) || releasedAt != null && now - releasedAt < REMEMBERED_MICROS) {
            // Known already, or its release came before the report and was passed on.
            return;
        }
        RemoteExchange exchange = exchanges.byName(exchangeName);
        if (exchange == null && !listKnown) {
            // The configuration's list may be outdated: the exchange may be newer.
            exchange = exchanges.addUnlisted(now, exchangeName);
        }
        if (exchange == null) {
            counters.callsEnded++;
            releaseNotifier.notifyCaller(
                    now,
                    callerConnection,
                    CallerMessage.withCause(
                            CallerMessage.RELEASE, id, SipOutcomes.CAUSE_TEMPORARY_FAILURE));
            return;
        }
        counters.callsReported++;
        if (reportedCalls.isOverShare(callerConnection)) {
            counters.reportsNotKept++;
            return;
        }
        exchanges.expectMessages(now, exchange);
        add(id, new Call(exchange, callerConnection, now, 0));
        reportedCalls.add(id, callerConnection).ifPresent(this::forget);
    }

    /**
     * The caller releases a call: a BYE is sent to its exchange, now or when a connection comes up.
     * Returns false if there is no such call.
     */
    boolean releasedByCaller(long now, long id, int cause) {
        Call call = calls.get(id);
        if (call == null) {
            return false;
        }
        ExchangeConnection connection = exchanges.pickAny(call.exchange);
        if (connection != null) {
            actions.sendToExchange(connection.id, SignalingMessages.bye(id, cause));
        } else {
            ArrayDeque<Long> waiting =
                    queuedReleases.computeIfAbsent(call.exchange, exchange -> new ArrayDeque<>());
            waiting.add(id);
            if (waiting.size() > MAX_QUEUED_RELEASES) {
                waiting.poll();
            }
        }
        remove(now, id, call, InviteOutcome.RELEASED);
        return true;
    }

    /** A connection has come up: sends the releases that wait for it. */
    void connectionUp(ExchangeConnection connection) {
        ArrayDeque<Long> waiting = queuedReleases.remove(connection.exchange);
        if (waiting != null) {
            waiting.forEach(
                    id ->
                            actions.sendToExchange(
                                    connection.id,
                                    SignalingMessages.bye(id, SipOutcomes.CAUSE_NORMAL_CLEARING)));
        }
    }

    /** An exchange releases a call; {@code cause} is 0 if it gave none. */
    void releasedByExchange(long now, long id, RemoteExchange exchange, int cause) {
        int releaseCause = cause == 0 ? SipOutcomes.CAUSE_TEMPORARY_FAILURE : cause;
        Call call = calls.get(id);
        if (call != null && call.exchange == exchange) {
            releaseNotifier.reportConfirmed(now, call.callerConnection);
            endAndNotifyCaller(now, id, call, releaseCause);
        } else if (call == null && !releasedUnknownCalls.containsKey(id) && !history.contains(id)) {
            // Established before this router's start: its caller is notified, even if it reports
            // the call only after this.
            releasedUnknownCalls.put(id, now);
            counters.releasesPassedOn++;
            releaseNotifier.notifyCaller(
                    now, 0, CallerMessage.withCause(CallerMessage.RELEASE, id, releaseCause));
        }
    }

    /** Ends the calls at an exchange that were established before this time. */
    void endCallsBefore(long now, RemoteExchange exchange, long before) {
        queuedReleases.remove(exchange);
        if (exchange.establishedCalls == 0) {
            return;
        }
        ExchangeConnection connection =
                before == Long.MAX_VALUE ? exchanges.pickAny(exchange) : null;
        for (Map.Entry<Long, Call> each : List.copyOf(calls.entrySet())) {
            if (each.getValue().exchange == exchange && each.getValue().establishedAt < before) {
                if (connection != null) {
                    // The exchange may only hang: a call whose caller was notified of its end must
                    // not continue there.
                    actions.sendToExchange(
                            connection.id,
                            SignalingMessages.bye(
                                    each.getKey(), SipOutcomes.CAUSE_TEMPORARY_FAILURE));
                }
                endAndNotifyCaller(
                        now, each.getKey(), each.getValue(), SipOutcomes.CAUSE_TEMPORARY_FAILURE);
            }
        }
    }

    private void endAndNotifyCaller(long now, long id, Call call, int cause) {
        counters.callsCut += cause == SipOutcomes.CAUSE_NORMAL_CLEARING ? 0 : 1;
        releaseNotifier.notifyCaller(
                now,
                call.callerConnection,
                CallerMessage.withCause(CallerMessage.RELEASE, id, cause));
        remove(now, id, call, SipOutcomes.ofRelease(cause));
    }

    /** Forgets a reported call, for which there is no room any more. */
    private void forget(long id) {
        counters.reportsNotKept++;
        calls.remove(id).exchange.establishedCalls--;
    }

    private void remove(long now, long id, Call call, InviteOutcome outcome) {
        calls.remove(id);
        reportedCalls.remove(id, call.callerConnection);
        history.ended(id);
        call.exchange.establishedCalls--;
        counters.callsEnded++;
        listener.callEnded(now, id, call.exchange, outcome);
    }
}
