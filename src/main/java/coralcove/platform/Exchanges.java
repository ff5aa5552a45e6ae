package coralcove.platform;

import coralcove.Exchange;
import coralcove.Exchange.Phase;
import coralcove.platform.discovery.DiscoveryUpdate;
import coralcove.platform.signaling.SignalingMessages;
import coralcove.sip.StreamFramer;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * The known exchanges and the connections to each.
 *
 * <p>Keeps connections open, picks one for each message, and detects exchanges that have died,
 * whose established calls are then over. It does not choose exchanges for sessions; that is up to
 * the routing policy.
 */
final class Exchanges {
    /** Delay before the first reconnection attempt; doubles with each failure up to the maximum. */
    private static final long MIN_RECONNECT_DELAY_MICROS = 100_000;

    /** Maximum delay between reconnection attempts. */
    private static final long MAX_RECONNECT_DELAY_MICROS = 800_000;

    /**
     * Silence after which an exchange with established calls is checked for liveness: by a further
     * connection, as exchanges send a report on each new one, or by OPTIONS where connections are
     * refused. Each check is work for the exchange. Two must fit before it counts as unresponsive.
     */
    private static final long LIVENESS_CHECK_AFTER_MICROS = 3_000_000;

    /** Interval between two liveness checks of the same kind. */
    private static final long LIVENESS_CHECK_INTERVAL_MICROS = 1_000_000;

    /**
     * Silence after which the calls of an exchange are over, whatever the state of its connections:
     * it hangs, is cut off, or its process has drained and ended. Callers have to learn of a call's
     * end within 8 s, and it may have ended right after the last message; the remaining time is for
     * the delivery of the release. A shorter time would cut calls that survive a network failure of
     * some seconds.
     */
    private static final long UNRESPONSIVE_AFTER_MICROS = 6_500_000;

    /**
     * The same for an exchange that has sent nothing since this router started. Calls that callers
     * report as established there may have ended while no router was running, and an exchange that
     * is alive sends a report as soon as a connection is up.
     */
    private static final long FIRST_MESSAGE_TIMEOUT_MICROS = 3_000_000;

    /** Time in which an exchange that is gone from the list may still send messages. */
    private static final long GONE_LINGER_MICROS = 3_000_000;

    /**
     * Consecutive refused connection attempts, with no connection up, after which an exchange is
     * dead. A single refusal may come from a process that is starting.
     */
    private static final int REFUSALS_UNTIL_DEAD = 2;

    /** Time in which a message must be complete after its first byte. */
    private static final long PARTIAL_MESSAGE_TIMEOUT_MICROS = 400_000;

    /** Maximum size of a message, as the protocol defines it. */
    private static final int MAX_MESSAGE_BYTES = 16 << 10;

    /** Maximum number of known exchanges: listed ones, and delisted ones that still have calls. */
    private static final int MAX_EXCHANGES = 5_000;

    /** A connection to an exchange. Times are in µs since the epoch. */
    static final class ExchangeConnection {
        final long id;
        final RemoteExchange exchange;
        final long openedAt;
        final StreamFramer framer = new StreamFramer(MAX_MESSAGE_BYTES);
        boolean up;
        long upAt;

        /**
         * Whether it takes no new INVITEs, as one timed out on it and nothing was received since.
         */
        boolean unusable;

        long lastHeardAt;

        /** When the message that is incomplete began, or 0. */
        long partialSince;

        int outstandingInvites;

        ExchangeConnection(long id, RemoteExchange exchange, long openedAt) {
            this.id = id;
            this.exchange = exchange;
            this.openedAt = openedAt;
        }
    }

    /** An exchange as this router knows it. Times are in µs since the epoch. */
    static final class RemoteExchange {
        final long id;
        final String name;

        /** Host and port; null until it is listed. */
        String address;

        /** The exchange's number in the network; 0 until it is listed. */
        int number;

        Phase phase = Phase.READY;

        /** Start of its process, if the list gives a late one, else 0. */
        long startedAt;

        final List<ExchangeConnection> connections = new ArrayList<>();

        /** Time of the last message, or from which messages are expected. */
        long lastHeardAt;

        boolean everHeard;
        long lastConnectAt;
        long lastTestAt;
        int testCount;
        long reconnectAt;
        long reconnectDelay = MIN_RECONNECT_DELAY_MICROS;
        int consecutiveRefusals;

        /** When it was reported terminated or was delisted, if it was. */
        long goneAt;

        /** Number of calls established there. */
        int establishedCalls;

        boolean everConnected;

        RemoteExchange(long id, String name) {
            this.id = id;
            this.name = name;
        }

        /** Whether its process started before that of the other, as far as the list tells. */
        boolean isOlderThan(RemoteExchange other) {
            return startedAt < other.startedAt || startedAt == other.startedAt && id < other.id;
        }

        boolean hasConnectionUp() {
            return connections.stream().anyMatch(connection -> connection.up);
        }
    }

    /** Is notified of the events that the core has to handle. */
    interface Listener {
        /** An exchange has died, or is gone: all calls established there are over. */
        void exchangeLost(long now, RemoteExchange exchange, String reason);

        /**
         * A newer exchange has the address of one that is gone: calls set up on connections that
         * came up since {@code replacedAt} are established at the newer one.
         */
        void exchangeReplaced(
                long now, RemoteExchange older, RemoteExchange newer, long replacedAt);

        /** An exchange has restarted: calls established before {@code startedAt} are over. */
        void exchangeRestarted(long now, RemoteExchange exchange);

        /** A connection was closed by this router: its outstanding INVITEs are reset. */
        void connectionClosed(long now, ExchangeConnection connection, String reason);
    }

    private final Actions actions;
    private final Listener listener;
    private final int localNumber;
    private final boolean mayTest;
    private final int descriptorLimit;
    private final Map<String, RemoteExchange> byName = new LinkedHashMap<>();
    private final Map<Long, RemoteExchange> byId = new LinkedHashMap<>();
    private final Map<Long, ExchangeConnection> connections = new LinkedHashMap<>();
    private long lastExchangeId;
    private long lastConnectionId;
    private long lastTestId;
    private boolean allClosed;

    Exchanges(
            int localNumber,
            boolean mayTest,
            int descriptorLimit,
            Actions actions,
            Listener listener) {
        this.localNumber = localNumber;
        this.mayTest = mayTest;
        this.descriptorLimit = descriptorLimit;
        this.actions = actions;
        this.listener = listener;
    }

    int size() {
        return byName.size();
    }

    private int connectionsPerExchange() {
        return new DescriptorBudget(descriptorLimit, byName.size()).connectionsPerExchange();
    }

    RemoteExchange byId(long id) {
        return byId.get(id);
    }

    RemoteExchange byName(String name) {
        return byName.get(name);
    }

    ExchangeConnection connection(long id) {
        return connections.get(id);
    }

    /**
     * Adds an exchange by its name alone, such as one that a caller has named but that is not
     * listed yet. Returns null if there are too many.
     */
    RemoteExchange addUnlisted(long now, String name) {
        if (byName.size() >= MAX_EXCHANGES) {
            return null;
        }
        RemoteExchange exchange = new RemoteExchange(++lastExchangeId, name);
        exchange.lastHeardAt = now;
        byName.put(name, exchange);
        byId.put(exchange.id, exchange);
        return exchange;
    }

    /**
     * A call was reported as established there. If it is the first, and nothing was received yet,
     * the exchange's silence is measured from now on.
     */
    void expectMessages(long now, RemoteExchange exchange) {
        exchange.lastHeardAt =
                exchange.everHeard || exchange.establishedCalls > 0 ? exchange.lastHeardAt : now;
    }

    /** Applies an update of the exchange list; returns the changes for the routing policy. */
    List<Exchange> applyEvent(long now, DiscoveryUpdate.Event event) {
        List<Exchange> changed = new ArrayList<>();
        if (event.complete()) {
            for (RemoteExchange exchange : byName.values()) {
                if (event.entries().stream().noneMatch(each -> each.id().equals(exchange.name))) {
                    markGone(now, exchange);
                }
            }
        }
        for (DiscoveryUpdate.Entry entry : event.entries()) {
            RemoteExchange exchange = byName.get(entry.id());
            if (exchange == null && byName.size() >= MAX_EXCHANGES) {
                actions.log(
                        "exchange-not-taken",
                        "",
                        entry.id() + ": limit of " + MAX_EXCHANGES + " exchanges reached");
                continue;
            }
            if (exchange == null) {
                exchange = addUnlisted(now, entry.id());
            }
            changed.add(applyEntry(now, exchange, entry, changed));
        }
        return changed;
    }

    private Exchange applyEntry(
            long now,
            RemoteExchange exchange,
            DiscoveryUpdate.Entry entry,
            List<Exchange> changed) {
        exchange.number = entry.number() < 0 ? exchange.number : entry.number();
        boolean moved =
                exchange.address != null
                        && !entry.address().isEmpty()
                        && !exchange.address.equals(entry.address());
        exchange.address = entry.address().isEmpty() ? exchange.address : entry.address();
        long startedAt = entry.startedMs() * 1000;
        if (startedAt > exchange.startedAt) {
            exchange.startedAt = startedAt;
            listener.exchangeRestarted(now, exchange);
            // Connections to the previous process are dead, and an INVITE sent on one would be
            // lost. Those that came up after the start belong to the new process.
            List.copyOf(exchange.connections).stream()
                    .filter(connection -> connection.up && connection.upAt < startedAt)
                    .forEach(connection -> close(now, connection, "restarted"));
        }
        if (moved) {
            closeAll(now, exchange, "moved");
        }
        switch (entry.state()) {
            case IN_SERVICE -> {
                exchange.phase = Phase.READY;
                exchange.reconnectAt = Math.min(exchange.reconnectAt, now);
                markPredecessorGone(now, exchange, changed);
            }
            case TERMINATING -> exchange.phase = Phase.DRAINING;
            case TERMINATED -> markGone(now, exchange);
        }
        return new Exchange(exchange.id, exchange.number, exchange.phase, exchange.startedAt);
    }

    /**
     * Marks the previous exchange at the address of a newer one as gone: the address now belongs to
     * the newer one.
     */
    private void markPredecessorGone(long now, RemoteExchange newer, List<Exchange> changed) {
        for (RemoteExchange exchange : List.copyOf(byName.values())) {
            if (exchange != newer
                    && newer.address.equals(exchange.address)
                    && exchange.isOlderThan(newer)) {
                boolean wasGone = exchange.phase == Phase.GONE;
                replace(now, exchange, newer);
                if (!wasGone) {
                    changed.add(
                            new Exchange(
                                    exchange.id,
                                    exchange.number,
                                    exchange.phase,
                                    exchange.startedAt));
                }
            }
        }
    }

    /**
     * A newer exchange has the address of an older one, which is gone. Connections that came up
     * since the newer one started lead to it, whatever this router took them for: what was heard on
     * them is no sign of life of the older one, and calls set up on them stand at the newer one.
     */
    private void replace(long now, RemoteExchange older, RemoteExchange newer) {
        setGone(now, older);
        long replacedAt = newer.startedAt > 0 ? newer.startedAt : now;
        for (ExchangeConnection connection : List.copyOf(older.connections)) {
            if (!connection.up || connection.upAt >= replacedAt) {
                close(now, connection, "replaced");
            }
        }
        listener.exchangeReplaced(now, older, newer, replacedAt);
        boolean heardSince =
                older.connections.stream()
                        .anyMatch(connection -> connection.lastHeardAt >= replacedAt);
        if (!heardSince) {
            listener.exchangeLost(now, older, "replaced");
            closeAll(now, older, "replaced");
        }
    }

    /**
     * An exchange has terminated or is no longer listed: its calls are over at once if no
     * connection is up.
     */
    private void markGone(long now, RemoteExchange exchange) {
        setGone(now, exchange);
        if (!exchange.hasConnectionUp()) {
            listener.exchangeLost(now, exchange, "gone");
            closeAll(now, exchange, "gone");
        }
    }

    private static void setGone(long now, RemoteExchange exchange) {
        exchange.goneAt = exchange.phase == Phase.GONE ? exchange.goneAt : now;
        exchange.phase = Phase.GONE;
    }

    private void closeAll(long now, RemoteExchange exchange, String reason) {
        for (ExchangeConnection connection : List.copyOf(exchange.connections)) {
            close(now, connection, reason);
        }
    }

    /**
     * Closes all connections, and opens none any more. Exchanges find undelivered what they send
     * from then on.
     */
    void closeAll(long now) {
        allClosed = true;
        for (ExchangeConnection connection : List.copyOf(connections.values())) {
            close(now, connection, "ends");
        }
    }

    private void close(long now, ExchangeConnection connection, String reason) {
        if (connections.remove(connection.id) != null) {
            connection.exchange.connections.remove(connection);
            actions.closeExchangeConnection(connection.id);
            listener.connectionClosed(now, connection, reason);
        }
    }

    /**
     * Picks the connection for an INVITE: of those up and usable, the one with the fewest
     * outstanding INVITEs; null if there is none.
     */
    ExchangeConnection pickForInvite(RemoteExchange exchange) {
        ExchangeConnection best = null;
        for (ExchangeConnection connection : exchange.connections) {
            if (connection.up
                    && !connection.unusable
                    && (best == null || connection.outstandingInvites < best.outstandingInvites)) {
                best = connection;
            }
        }
        return best;
    }

    /** Picks a connection for a request within an established call; null if none is up. */
    ExchangeConnection pickAny(RemoteExchange exchange) {
        ExchangeConnection best = pickForInvite(exchange);
        for (ExchangeConnection connection : exchange.connections) {
            best = best == null && connection.up ? connection : best;
        }
        return best;
    }

    /** Opens a connection for a waiting INVITE, unless one is being opened. */
    void requestConnection(long now, RemoteExchange exchange) {
        if (exchange.connections.stream().allMatch(connection -> connection.up)) {
            connect(now, exchange);
        }
    }

    private void connect(long now, RemoteExchange exchange) {
        if (exchange.address == null || allClosed) {
            return;
        }
        ExchangeConnection connection = new ExchangeConnection(++lastConnectionId, exchange, now);
        exchange.connections.add(connection);
        exchange.lastConnectAt = now;
        connections.put(connection.id, connection);
        actions.connectToExchange(connection.id, exchange.address);
    }

    /** A connection has come up. */
    void connectionUp(long now, ExchangeConnection connection) {
        connection.up = true;
        connection.upAt = now;
        connection.lastHeardAt = now;
        RemoteExchange exchange = connection.exchange;
        exchange.everConnected = true;
        exchange.consecutiveRefusals = 0;
        // The connection was opened as a liveness check while the others were silent: it replaces
        // the oldest idle one.
        if (exchange.connections.stream().filter(each -> each.up).count()
                > connectionsPerExchange()) {
            for (ExchangeConnection old : List.copyOf(exchange.connections)) {
                if (old != connection && old.up && old.outstandingInvites == 0) {
                    close(now, old, "replaced");
                    break;
                }
            }
        }
    }

    /** A message was received on a connection. */
    void messageReceived(long now, ExchangeConnection connection) {
        connection.lastHeardAt = now;
        connection.partialSince = 0;
        connection.exchange.lastHeardAt = now;
        connection.exchange.everHeard = true;
        connection.exchange.reconnectDelay = MIN_RECONNECT_DELAY_MICROS;
    }

    /** A connection did not come up, or was lost. The core ends the INVITEs sent on it. */
    void connectionDown(long now, ExchangeConnection connection, ConnectionLoss loss) {
        connections.remove(connection.id);
        RemoteExchange exchange = connection.exchange;
        exchange.connections.remove(connection);
        exchange.consecutiveRefusals += loss == ConnectionLoss.REFUSED ? 1 : 0;
        boolean wasStable =
                loss == ConnectionLoss.BROKEN
                        && now - connection.openedAt > MAX_RECONNECT_DELAY_MICROS;
        exchange.reconnectAt = wasStable ? now : now + exchange.reconnectDelay;
        exchange.reconnectDelay =
                wasStable
                        ? MIN_RECONNECT_DELAY_MICROS
                        : Math.min(MAX_RECONNECT_DELAY_MICROS, 2 * exchange.reconnectDelay);
        if (!exchange.hasConnectionUp()
                && (loss == ConnectionLoss.REFUSED
                                && exchange.consecutiveRefusals >= REFUSALS_UNTIL_DEAD
                        || exchange.phase == Phase.GONE)) {
            listener.exchangeLost(
                    now, exchange, loss == ConnectionLoss.REFUSED ? "refused" : "gone");
        }
    }

    /** Closes a connection that cannot be used any more, and lets it be replaced at once. */
    void discard(long now, ExchangeConnection connection, String reason) {
        close(now, connection, reason);
        connection.exchange.reconnectAt = Math.min(connection.exchange.reconnectAt, now);
    }

    /** Whether each exchange that needs connections was connected, or at least tried in vain. */
    boolean allTried() {
        return byName.values().stream()
                .noneMatch(
                        exchange ->
                                needsConnections(exchange)
                                        && exchange.address != null
                                        && !exchange.everConnected
                                        && (exchange.lastConnectAt == 0
                                                || exchange.connections.stream()
                                                                .anyMatch(
                                                                        connection ->
                                                                                !connection.up)
                                                        && exchange.consecutiveRefusals == 0));
    }

    private boolean needsConnections(RemoteExchange exchange) {
        return exchange.number != localNumber
                && (exchange.phase != Phase.GONE
                        && (exchange.phase == Phase.READY || exchange.establishedCalls > 0));
    }

    /** Opens missing connections, closes unusable ones, and detects exchanges that have died. */
    void tick(long now) {
        int perExchange = connectionsPerExchange();
        for (RemoteExchange exchange : List.copyOf(byName.values())) {
            for (ExchangeConnection connection : List.copyOf(exchange.connections)) {
                checkConnection(now, connection);
            }
            if (needsConnections(exchange)) {
                boolean connecting =
                        exchange.connections.stream().anyMatch(connection -> !connection.up);
                long usable =
                        exchange.connections.stream()
                                .filter(connection -> !connection.unusable)
                                .count();
                // Checked only if it has calls: a connection is work for an exchange, and each
                // router opens some.
                boolean silent =
                        exchange.establishedCalls > 0
                                && now - exchange.lastHeardAt > LIVENESS_CHECK_AFTER_MICROS
                                && now - exchange.lastConnectAt > LIVENESS_CHECK_INTERVAL_MICROS;
                if (now >= exchange.reconnectAt && usable < perExchange
                        || !connecting && silent && usable <= perExchange) {
                    connect(now, exchange);
                }
            }
            if (exchange.establishedCalls > 0) {
                sendLivenessTest(now, exchange);
            }
            if (exchange.establishedCalls > 0
                    && now - exchange.lastHeardAt
                            > (exchange.everHeard
                                    ? UNRESPONSIVE_AFTER_MICROS
                                    : FIRST_MESSAGE_TIMEOUT_MICROS)) {
                listener.exchangeLost(now, exchange, "mute");
            }
            if (exchange.establishedCalls > 0
                    && exchange.phase == Phase.GONE
                    && now - Math.max(exchange.goneAt, exchange.lastHeardAt) > GONE_LINGER_MICROS) {
                listener.exchangeLost(now, exchange, "gone");
            }
            boolean delisted = exchange.phase == Phase.GONE || exchange.address == null;
            if (delisted
                    && exchange.establishedCalls == 0
                    && exchange.connections.stream()
                            .allMatch(connection -> connection.outstandingInvites == 0)) {
                closeAll(now, exchange, "gone");
                byName.remove(exchange.name);
                byId.remove(exchange.id);
            }
        }
    }

    /**
     * Sends OPTIONS to an exchange that refuses further connections, as one that drains does. The
     * open connections take turns, as a single one of them may be cut.
     */
    private void sendLivenessTest(long now, RemoteExchange exchange) {
        if (mayTest
                && exchange.consecutiveRefusals > 0
                && now - exchange.lastHeardAt > LIVENESS_CHECK_AFTER_MICROS
                && now - exchange.lastTestAt > LIVENESS_CHECK_INTERVAL_MICROS) {
            List<ExchangeConnection> up =
                    exchange.connections.stream().filter(connection -> connection.up).toList();
            if (!up.isEmpty()) {
                exchange.lastTestAt = now;
                actions.sendToExchange(
                        up.get(exchange.testCount++ % up.size()).id,
                        SignalingMessages.ping(++lastTestId));
            }
        }
    }

    private void checkConnection(long now, ExchangeConnection connection) {
        boolean partial = connection.framer.hasPartialMessage();
        connection.partialSince =
                partial ? connection.partialSince == 0 ? now : connection.partialSince : 0;
        if (partial && now - connection.partialSince > PARTIAL_MESSAGE_TIMEOUT_MICROS) {
            discard(now, connection, "incomplete message");
        } else if (connection.unusable && connection.outstandingInvites == 0) {
            discard(now, connection, "unanswered");
        }
    }
}
