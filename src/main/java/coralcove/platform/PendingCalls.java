package coralcove.platform;

import coralcove.platform.Exchanges.ExchangeConnection;
import coralcove.platform.Exchanges.RemoteExchange;
import coralcove.platform.caller.SetUpRequest;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import java.util.function.LongConsumer;

/**
 * The calls whose set-up has no final answer yet, by id, with the outstanding INVITE and the timers
 * of each. The timers end with the call, however long its caller would have waited.
 */
final class PendingCalls {
    /** An INVITE that waits for its final response, or for a connection. Times are in µs. */
    static final class Invite {
        final RemoteExchange exchange;
        final long sentAt;
        final long deadline;

        /** The CSeq number: each INVITE of a call has its own. */
        final int sequence;

        /** The connection it was sent on; null until it is sent. */
        ExchangeConnection connection;

        private Timers.Timer timeout;

        private Invite(RemoteExchange exchange, long sentAt, long deadline, int sequence) {
            this.exchange = exchange;
            this.sentAt = sentAt;
            this.deadline = deadline;
            this.sequence = sequence;
        }

        /** Notes that it was sent on this connection. */
        void sentOn(ExchangeConnection usedConnection) {
            connection = usedConnection;
            usedConnection.outstandingInvites++;
        }
    }

    /** A call without a final answer. */
    static final class PendingCall {
        final SetUpRequest setUp;
        final CallerConnection caller;

        /** The INVITE that has no final response yet, or null. */
        private Invite outstanding;

        private int inviteCount;
        private Timers.Timer timeout;
        private Timers.Timer nextDecision;

        private PendingCall(SetUpRequest setUp, CallerConnection caller) {
            this.setUp = setUp;
            this.caller = caller;
        }

        long id() {
            return setUp.callId();
        }

        /** The INVITE that has no final response yet, or null. */
        Invite outstanding() {
            return outstanding;
        }

        /** Whether its INVITE was sent on this connection and has no final response yet. */
        boolean isOutstandingOn(ExchangeConnection connection) {
            return outstanding != null && outstanding.connection == connection;
        }

        /** Whether there was an INVITE, whatever became of it. */
        boolean hadInvite() {
            return inviteCount > 0;
        }

        /** Whether its INVITE waits for a connection to this exchange. */
        boolean waitsForConnectionTo(RemoteExchange exchange) {
            return outstanding != null
                    && outstanding.connection == null
                    && outstanding.exchange == exchange;
        }
    }

    private final Timers timers;
    private final Map<Long, PendingCall> calls = new HashMap<>();

    /** Number of connections that have at least one of the calls. */
    private int callerCount;

    PendingCalls(Timers timers) {
        this.timers = timers;
    }

    int size() {
        return calls.size();
    }

    /** Number of connections that have at least one of the calls. */
    int callerCount() {
        return callerCount;
    }

    /** The call of this id, or null if it has its final answer or is unknown. */
    PendingCall get(long id) {
        return calls.get(id);
    }

    /** Whether the call has no final answer yet. */
    boolean contains(PendingCall call) {
        return calls.get(call.id()) == call;
    }

    /** The calls at this moment; calls may be removed while the list is read. */
    List<PendingCall> all() {
        return List.copyOf(calls.values());
    }

    /** Adds the call of a set-up; {@code onTimeout} runs unless it is removed by the deadline. */
    PendingCall add(
            SetUpRequest setUp,
            CallerConnection caller,
            long deadline,
            Consumer<PendingCall> onTimeout) {
        PendingCall call = new PendingCall(setUp, caller);
        calls.put(call.id(), call);
        callerCount += caller.pendingSessions.isEmpty() ? 1 : 0;
        caller.pendingSessions.add(call.id());
        call.timeout = timers.schedule(deadline, time -> onTimeout.accept(call));
        return call;
    }

    /**
     * Removes a call that has its final answer or needs none, with all of its timers. Returns null
     * if it was removed before.
     */
    PendingCall remove(long id) {
        PendingCall call = calls.remove(id);
        if (call != null) {
            call.caller.pendingSessions.remove(id);
            callerCount -= call.caller.pendingSessions.isEmpty() ? 1 : 0;
            timers.cancel(call.timeout);
            timers.cancel(call.nextDecision);
            if (call.outstanding != null) {
                timers.cancel(call.outstanding.timeout);
            }
        }
        return call;
    }

    /** Has the routing policy decide about a call again at this time, unless it is removed. */
    void decideAt(PendingCall call, long time, LongConsumer decision) {
        timers.cancel(call.nextDecision);
        call.nextDecision = timers.schedule(time, decision);
    }

    /**
     * Begins an INVITE of a call; {@code onTimeout} runs unless it ends by the deadline. It is sent
     * later.
     */
    void beginInvite(
            PendingCall call,
            RemoteExchange exchange,
            long now,
            long deadline,
            Consumer<PendingCall> onTimeout) {
        Invite invite = new Invite(exchange, now, deadline, ++call.inviteCount);
        invite.timeout = timers.schedule(deadline, time -> onTimeout.accept(call));
        call.outstanding = invite;
    }

    /** Ends the outstanding INVITE of a call, with its timer, and returns it; null without one. */
    Invite endInvite(PendingCall call) {
        Invite invite = call.outstanding;
        if (invite != null) {
            call.outstanding = null;
            timers.cancel(invite.timeout);
            if (invite.connection != null) {
                invite.connection.outstandingInvites--;
            }
        }
        return invite;
    }
}
