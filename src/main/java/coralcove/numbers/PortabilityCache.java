package coralcove.numbers;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Cache of the portability server's answers, with a circuit breaker. For a number that may be
 * ported it decides whether a session uses a cached answer, waits for the server, or falls back to
 * the donor exchange. There is at most one outstanding query per number, and queries stop while the
 * server fails or is slow, so that no session misses its final answer because of it. Uses no clock,
 * I/O or random numbers.
 */
public final class PortabilityCache {
    /**
     * Limits; times in µs. {@code waitBudget} is the longest wait of a session, and {@code
     * waitShare} the share of its caller's remaining time that a wait may take. {@code
     * maxStaleness} is how long past its lifetime an answer may be used when no newer one arrives
     * (RFC 8767). {@code maxPorted} and {@code maxNotPorted} bound the cached answers, {@code
     * maxOutstandingQueries} the outstanding queries.
     */
    public record Settings(
            long waitBudget,
            double waitShare,
            long maxStaleness,
            int maxPorted,
            int maxNotPorted,
            int maxOutstandingQueries) {}

    /** What a session does next. */
    public sealed interface Decision permits Proceed, Wait, UseDonor {}

    /** Use this answer: the packed routing number, or 0 for a number that is not ported. */
    public record Proceed(long routingNumber, boolean stale) implements Decision {}

    /**
     * Wait for the answer, until {@code deadline} at most; {@code sendQuery} if the caller must
     * send the query now.
     */
    public record Wait(long deadline, boolean sendQuery) implements Decision {}

    /** Route to the donor exchange, for this reason. */
    public record UseDonor(String reason) implements Decision {}

    /** The result of a query: the number is ported, is not ported, or the query failed. */
    public enum QueryOutcome {
        MOVED,
        NOT_MOVED,
        FAILED
    }

    /**
     * Failed or slow queries in a row after which queries are paused; random losses rarely reach
     * this.
     */
    private static final int FAILURE_THRESHOLD = 5;

    /** An answer later than this is of no use to a session and counts as a failure. */
    private static final long SLOW_ANSWER_MICROS = 400_000;

    /**
     * The first pause, which doubles up to {@link #MAX_PAUSE_MICROS}; a server restart takes some
     * seconds.
     */
    private static final long INITIAL_PAUSE_MICROS = 500_000;

    private static final long MAX_PAUSE_MICROS = 4_000_000;

    /**
     * How long a session waits for a newer answer when the cached one has expired; a healthy server
     * takes less.
     */
    private static final long STALE_REFRESH_WAIT_MICROS = 60_000;

    /** Shorter lifetimes are raised to this, as otherwise each session would send a query. */
    private static final long MIN_LIFETIME_MICROS = 1_000_000;

    /** Longer lifetimes are cut to this, as otherwise a porting could go unnoticed for days. */
    private static final long MAX_LIFETIME_MICROS = 86_400_000_000L;

    /** How long a negative answer is cached at most (RFC 2308 section 5). */
    private static final long MAX_NEGATIVE_LIFETIME_MICROS = 600_000_000;

    /** Shorter waits are skipped: the set-up itself needs the remaining time. */
    private static final long MIN_WAIT_MICROS = 5_000;

    private record CachedAnswer(long routingNumber, long expiresAt) {}

    /** An outstanding query and the sessions that wait for it. */
    private static final class Query {
        final long sentAt;
        final boolean trial;
        final Set<Long> waitingSessions = new LinkedHashSet<>();

        Query(long sentAt, boolean trial) {
            this.sentAt = sentAt;
            this.trial = trial;
        }
    }

    private final Settings settings;
    private final Map<Long, CachedAnswer> ported;

    /**
     * A map of its own, so that calls to nonexistent numbers cannot evict answers about ported
     * ones.
     */
    private final Map<Long, CachedAnswer> notPorted;

    private final Map<Long, Query> outstandingQueries = new LinkedHashMap<>();
    private int consecutiveFailures;
    private long pausedUntil;
    private long pause = INITIAL_PAUSE_MICROS;
    private boolean trialOutstanding;
    private long cacheHits;
    private long queriesSent;
    private long staleAnswers;
    private long donorFallbacks;

    public PortabilityCache(Settings settings) {
        this.settings = settings;
        ported = lruMap(settings.maxPorted);
        notPorted = lruMap(settings.maxNotPorted);
    }

    /** A map of at most {@code maxEntries} entries that evicts the least recently used one. */
    private static Map<Long, CachedAnswer> lruMap(int maxEntries) {
        return new LinkedHashMap<>(64, 0.75f, true) {
            private static final long serialVersionUID = 1;

            @Override
            protected boolean removeEldestEntry(Map.Entry<Long, CachedAnswer> eldest) {
                return size() > maxEntries;
            }
        };
    }

    /**
     * Decides for a session that needs the answer for a number; {@code timeLeft} µs remain to its
     * caller.
     */
    public Decision lookUp(long now, long number, long session, long timeLeft) {
        CachedAnswer cached = cachedAnswer(number);
        if (cached != null && now < cached.expiresAt) {
            cacheHits++;
            return new Proceed(cached.routingNumber, false);
        }
        boolean stale = cached != null && now < cached.expiresAt + settings.maxStaleness;
        Query query = outstandingQueries.get(number);
        if (query == null
                && (isPaused(now) || outstandingQueries.size() >= settings.maxOutstandingQueries)) {
            return decideWithoutQuery(
                    cached,
                    stale,
                    isPaused(now) ? "queries are paused" : "too many outstanding queries");
        }
        long wait =
                Math.min(
                        stale ? STALE_REFRESH_WAIT_MICROS : settings.waitBudget,
                        (long) (timeLeft * settings.waitShare));
        // Sessions share one query: a later session waits no longer than the first one may.
        long deadline =
                query == null
                        ? now + wait
                        : Math.min(now + wait, query.sentAt + settings.waitBudget);
        if (deadline - now < MIN_WAIT_MICROS) {
            return decideWithoutQuery(cached, stale, "not enough time left");
        }
        boolean sendQuery = query == null;
        if (sendQuery) {
            boolean trial = consecutiveFailures >= FAILURE_THRESHOLD;
            trialOutstanding |= trial;
            query = new Query(now, trial);
            outstandingQueries.put(number, query);
            queriesSent++;
        }
        query.waitingSessions.add(session);
        return new Wait(deadline, sendQuery);
    }

    /**
     * Decides for a session whose wait is over, with or without an answer; it does not wait again.
     */
    public Decision resume(long now, long number, long session) {
        Query query = outstandingQueries.get(number);
        if (query != null) {
            query.waitingSessions.remove(session);
        }
        CachedAnswer cached = cachedAnswer(number);
        if (cached != null && now < cached.expiresAt) {
            return new Proceed(cached.routingNumber, false);
        }
        return decideWithoutQuery(
                cached,
                cached != null && now < cached.expiresAt + settings.maxStaleness,
                "no answer in time");
    }

    /** Removes a session that has ended from the waiting ones. */
    public void cancelWait(long number, long session) {
        Query query = outstandingQueries.get(number);
        if (query != null) {
            query.waitingSessions.remove(session);
        }
    }

    /**
     * Records the result of a query; {@code timeToLive} is the answer's lifetime in µs.
     *
     * @return the sessions that waited for it and can continue, in the order of their arrival
     */
    public List<Long> queryEnded(
            long now, long number, QueryOutcome outcome, long routingNumber, long timeToLive) {
        Query query = outstandingQueries.remove(number);
        if (outcome != QueryOutcome.FAILED) {
            long lifetime =
                    Math.max(
                            MIN_LIFETIME_MICROS,
                            Math.min(
                                    outcome == QueryOutcome.MOVED
                                            ? MAX_LIFETIME_MICROS
                                            : MAX_NEGATIVE_LIFETIME_MICROS,
                                    timeToLive));
            ported.remove(number);
            notPorted.remove(number);
            (outcome == QueryOutcome.MOVED ? ported : notPorted)
                    .put(
                            number,
                            new CachedAnswer(
                                    outcome == QueryOutcome.MOVED ? routingNumber : 0,
                                    now + lifetime));
        }
        if (query == null) {
            return List.of();
        }
        trialOutstanding &= !query.trial;
        boolean healthy =
                outcome != QueryOutcome.FAILED && now - query.sentAt <= SLOW_ANSWER_MICROS;
        if (healthy) {
            consecutiveFailures = 0;
            pause = INITIAL_PAUSE_MICROS;
            pausedUntil = 0;
        } else if (++consecutiveFailures >= FAILURE_THRESHOLD
                && (consecutiveFailures == FAILURE_THRESHOLD || query.trial)) {
            pausedUntil = now + pause;
            pause = Math.min(MAX_PAUSE_MICROS, 2 * pause);
        }
        return new ArrayList<>(query.waitingSessions);
    }

    /**
     * Whether no query may be sent now: the pause after repeated failures lasts, or the single
     * trial query that follows it is outstanding.
     */
    public boolean isPaused(long now) {
        return consecutiveFailures >= FAILURE_THRESHOLD && (now < pausedUntil || trialOutstanding);
    }

    private CachedAnswer cachedAnswer(long number) {
        CachedAnswer cached = ported.get(number);
        return cached != null ? cached : notPorted.get(number);
    }

    private Decision decideWithoutQuery(CachedAnswer cached, boolean stale, String reason) {
        if (stale) {
            staleAnswers++;
            return new Proceed(cached.routingNumber, true);
        }
        donorFallbacks++;
        return new UseDonor(reason);
    }

    /**
     * Removes answers that are too old to be used. Takes time linear in the size of the cache, so
     * it is to be called only occasionally.
     */
    public void evictExpired(long now) {
        for (Map<Long, CachedAnswer> cache : List.of(ported, notPorted)) {
            for (Iterator<CachedAnswer> answers = cache.values().iterator(); answers.hasNext(); ) {
                if (answers.next().expiresAt + settings.maxStaleness < now) {
                    answers.remove();
                }
            }
        }
    }

    /** The number of cached answers. */
    public int cachedCount() {
        return ported.size() + notPorted.size();
    }

    /** The number of outstanding queries. */
    public int outstandingCount() {
        return outstandingQueries.size();
    }

    /**
     * Counts of sessions served by a valid cached answer, queries sent, sessions served by an
     * expired answer, and sessions routed to the donor.
     */
    public long[] counters() {
        return new long[] {cacheHits, queriesSent, staleAnswers, donorFallbacks};
    }
}
