package coralcove.dns;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.random.RandomGenerator;

/**
 * A stub resolver without sockets and clock: it is given queries, received packets and times, and
 * calls {@link Actions} to send packets and report results. Each attempt uses a random id and a
 * random socket, and so a random port. A response counts only if it answers that query, to that
 * socket and from that server; anything else is counted and dropped (RFC 5452 section 9.1). A
 * truncated response makes the resolver query again over TCP.
 */
public final class Resolver {
    /** Address of a name server, for both UDP and TCP. */
    public record Server(String host, int port) {}

    /**
     * Settings of a resolver. {@code attemptTimeout} is in µs; {@code socketCount} is the number of
     * sockets to choose from; {@code maxOutstanding} bounds the queries in progress.
     */
    public record Settings(
            List<Server> servers,
            long attemptTimeout,
            int maxAttempts,
            int socketCount,
            int maxOutstanding) {}

    /**
     * How a query ended: a response, possibly without records, or null and the reason of the
     * failure.
     */
    public record Result(DnsMessage response, String failure) {}

    /** What the resolver asks its owner to do. */
    public interface Actions {
        /** Sends a datagram from the socket of this index. */
        void sendDatagram(int socket, Server to, byte[] bytes);

        /**
         * Opens a TCP stream and writes this query with its two-byte length prefix. Messages read
         * from the stream are passed to {@link Resolver#streamMessageReceived} with {@code key}.
         */
        void sendOnStream(long key, Server to, byte[] bytes);

        /** Closes the stream, if it is open. */
        void closeStream(long key);

        /** A query of {@code owner} ended; called once for each query. */
        void completed(Object owner, Result result);
    }

    private static final class PendingQuery {
        final Object owner;
        final String name;
        final int type;
        int attempts;
        int id;
        int socket;
        Server server;
        long deadline;
        long streamKey;
        boolean onStream;

        PendingQuery(Object owner, String name, int type) {
            this.owner = owner;
            this.name = name;
            this.type = type;
        }
    }

    /** Maximum number of draws of an id that no other query uses; there are 65,536 ids. */
    private static final int MAX_ID_DRAWS = 8;

    /**
     * Number of consecutive failures after which a server is avoided for a time. The time doubles
     * with each further failure up to the maximum.
     */
    private static final int FAILURES_BEFORE_BACKOFF = 5;

    private static final long INITIAL_BACKOFF_MICROS = 2_000_000;
    private static final long MAX_BACKOFF_MICROS = 60_000_000;

    private static final class ServerHealth {
        int consecutiveFailures;
        long backoffUntil;
    }

    private final Settings settings;
    private final RandomGenerator random;
    private final Map<Server, ServerHealth> health = new HashMap<>();
    private final Map<Integer, PendingQuery> pendingById = new HashMap<>();
    private final Map<Long, PendingQuery> pendingByStream = new HashMap<>();

    /** Pending queries by the time at which their attempt expires. */
    private final TreeMap<Long, List<PendingQuery>> deadlines = new TreeMap<>();

    private final Map<String, Long> counters = new TreeMap<>();
    private long lastStreamKey;

    public Resolver(Settings settings, RandomGenerator random) {
        this.settings = settings;
        this.random = random;
    }

    /**
     * Starts a query. The result is passed to {@link Actions#completed}, immediately if too many
     * queries are outstanding.
     */
    public void query(long now, String name, int type, Object owner, Actions actions) {
        if (pendingById.size() + pendingByStream.size() >= settings.maxOutstanding) {
            increment("too-many");
            actions.completed(owner, new Result(null, "too many outstanding queries"));
            return;
        }
        PendingQuery query = new PendingQuery(owner, name, type);
        nextAttempt(now, query, "", actions);
    }

    /**
     * Starts the next attempt, with the next server. After the last attempt the query has failed
     * for the reason {@code failure}.
     */
    private void nextAttempt(long now, PendingQuery query, String failure, Actions actions) {
        if (query.server != null) {
            recordFailure(now, query.server);
        }
        endAttempt(query, actions);
        if (query.attempts >= settings.maxAttempts) {
            increment("failed");
            actions.completed(query.owner, new Result(null, failure));
            return;
        }
        int id = random.nextInt(1 << 16);
        for (int i = 0; i < MAX_ID_DRAWS && pendingById.containsKey(id); i++) {
            id = random.nextInt(1 << 16);
        }
        if (pendingById.containsKey(id)) {
            actions.completed(query.owner, new Result(null, "no free query id"));
            return;
        }
        query.id = id;
        query.socket = random.nextInt(settings.socketCount);
        query.server = selectServer(now, query.attempts);
        query.attempts++;
        pendingById.put(id, query);
        scheduleTimeout(now + settings.attemptTimeout, query);
        increment("sent");
        actions.sendDatagram(
                query.socket, query.server, DnsMessage.query(id, query.name, query.type).encode());
    }

    /** Selects the server whose turn it is, skipping servers that are backed off unless all are. */
    private Server selectServer(long now, int turn) {
        int count = settings.servers.size();
        for (int i = 0; i < count; i++) {
            Server candidate = settings.servers.get((turn + i) % count);
            ServerHealth candidateHealth = health.get(candidate);
            if (candidateHealth == null || now >= candidateHealth.backoffUntil) {
                return candidate;
            }
        }
        return settings.servers.get(turn % count);
    }

    private void recordFailure(long now, Server server) {
        ServerHealth serverHealth = health.computeIfAbsent(server, key -> new ServerHealth());
        serverHealth.consecutiveFailures++;
        if (serverHealth.consecutiveFailures >= FAILURES_BEFORE_BACKOFF) {
            serverHealth.backoffUntil =
                    now
                            + Math.min(
                                    MAX_BACKOFF_MICROS,
                                    INITIAL_BACKOFF_MICROS
                                            << Math.min(
                                                    8,
                                                    serverHealth.consecutiveFailures
                                                            - FAILURES_BEFORE_BACKOFF));
            increment("rests");
        }
    }

    private void scheduleTimeout(long deadline, PendingQuery query) {
        query.deadline = deadline;
        deadlines.computeIfAbsent(deadline, key -> new ArrayList<>()).add(query);
    }

    private void endAttempt(PendingQuery query, Actions actions) {
        if (query.server == null) {
            return;
        }
        pendingById.remove(query.id, query);
        List<PendingQuery> expiring = deadlines.get(query.deadline);
        if (expiring != null && expiring.remove(query) && expiring.isEmpty()) {
            deadlines.remove(query.deadline);
        }
        if (query.onStream) {
            pendingByStream.remove(query.streamKey);
            query.onStream = false;
            actions.closeStream(query.streamKey);
        }
    }

    /** A datagram was received on one of the sockets. */
    public void datagramReceived(long now, int socket, Server from, byte[] bytes, Actions actions) {
        // The id identifies the query even if the rest of the packet is malformed.
        PendingQuery query =
                bytes.length < 2 ? null : pendingById.get((bytes[0] & 255) << 8 | bytes[1] & 255);
        if (query == null || query.socket != socket || !query.server.equals(from)) {
            increment("unasked");
            return;
        }
        responseReceived(now, query, bytes, actions);
    }

    /** A complete message was received on a stream. */
    public void streamMessageReceived(long now, long key, byte[] bytes, Actions actions) {
        PendingQuery query = pendingByStream.get(key);
        if (query == null) {
            increment("unasked");
            return;
        }
        responseReceived(now, query, bytes, actions);
    }

    /** A stream could not be opened, or was closed before the response. */
    public void streamFailed(long now, long key, Actions actions) {
        PendingQuery query = pendingByStream.get(key);
        if (query != null) {
            nextAttempt(now, query, "stream failed", actions);
        }
    }

    private void responseReceived(long now, PendingQuery query, byte[] bytes, Actions actions) {
        DnsMessage response;
        try {
            response = DnsMessage.decode(bytes);
        } catch (MalformedDnsException e) {
            // Only somebody who saw the query knows its id and port, so the server itself is
            // faulty; the next one may not be.
            increment("malformed");
            nextAttempt(now, query, "malformed: " + e.getMessage(), actions);
            return;
        }
        if (!response.response()
                || response.id() != query.id
                || !response.questionName().equals(query.name)
                || response.questionType() != query.type) {
            // Either forged or the response to another query; the right one may still arrive.
            increment("other-question");
            return;
        }
        if (response.truncated()) {
            if (query.onStream) {
                nextAttempt(now, query, "truncated response over TCP", actions);
                return;
            }
            increment("stream");
            endAttempt(query, actions);
            scheduleTimeout(now + settings.attemptTimeout, query);
            query.streamKey = ++lastStreamKey;
            query.onStream = true;
            pendingByStream.put(query.streamKey, query);
            actions.sendOnStream(
                    query.streamKey,
                    query.server,
                    DnsMessage.query(query.id, query.name, query.type).encode());
            return;
        }
        if (response.responseCode() != DnsMessage.NO_ERROR
                && response.responseCode() != DnsMessage.NAME_ERROR) {
            increment("refused");
            nextAttempt(now, query, "response code " + response.responseCode(), actions);
            return;
        }
        endAttempt(query, actions);
        health.remove(query.server);
        increment("answered");
        actions.completed(query.owner, new Result(response, ""));
    }

    /** Ends attempts whose time has expired. */
    public void tick(long now, Actions actions) {
        while (!deadlines.isEmpty() && deadlines.firstKey() <= now) {
            List<PendingQuery> expired = deadlines.pollFirstEntry().getValue();
            for (PendingQuery query : expired) {
                increment("timed-out");
                nextAttempt(now, query, "no answer", actions);
            }
        }
    }

    /** Time of the next call to {@link #tick}, Long.MAX_VALUE if none is needed. */
    public long nextTickAt() {
        return deadlines.isEmpty() ? Long.MAX_VALUE : deadlines.firstKey();
    }

    /** Number of queries in progress. */
    public int outstandingCount() {
        return pendingById.size() + pendingByStream.size();
    }

    /** Counters of events, by name. */
    public Map<String, Long> counters() {
        return counters;
    }

    private void increment(String counter) {
        counters.merge(counter, 1L, Long::sum);
    }
}
