package coralcove.dns;

import coralcove.dns.DnsMessage.ResourceRecord;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Cache of a stub resolver. It stores responses for their TTL, the absence of records (RFC 2308)
 * and failed queries. Lookups of the same name share one query. An entry that is in use is
 * refreshed before it expires; an expired entry is still served for a limited time when no server
 * responds (RFC 8767). Aliases are followed up to a limit. It has no sockets and no clock.
 */
public final class LookupCache {
    /** State of a result: within its TTL, expired, or not available because no server responded. */
    public enum Freshness {
        FRESH,
        STALE,
        UNAVAILABLE
    }

    /**
     * Result of a lookup: records of the requested type, empty if the name or its data does not
     * exist. {@code remainingTtl} is in µs; {@code failure} is the reason of an UNAVAILABLE result.
     */
    public record LookupResult(
            Freshness freshness,
            List<ResourceRecord> records,
            List<ResourceRecord> additional,
            long remainingTtl,
            String failure) {}

    /** Receives the result of a lookup, exactly once. */
    public interface LookupListener {
        void completed(long now, LookupResult result);
    }

    /** Sends a query to a name server; its result must be passed to {@link #queryCompleted}. */
    public interface QuerySender {
        void sendQuery(String name, int type);
    }

    private static final class CacheEntry {
        List<ResourceRecord> records = List.of();
        List<ResourceRecord> additional = List.of();
        long cachedAt;
        long expiresAt = Long.MIN_VALUE;
        long failedAt = Long.MIN_VALUE;
        String failure = "";
        List<LookupListener> listeners;

        boolean hasAnswer() {
            return expiresAt != Long.MIN_VALUE;
        }
    }

    /**
     * Maximum number of entries; above it the least recently used entry that has no query in
     * progress is evicted.
     */
    private static final int MAX_ENTRIES = 20_000;

    /** Maximum number of waiting lookups; above it lookups fail immediately. */
    private static final int MAX_WAITING = 200_000;

    /** Shorter TTLs are raised to this, so that no server can make a router query without pause. */
    private static final long MIN_TTL_MICROS = 1_000_000;

    /**
     * Longer TTLs are reduced to this: one day, since a change of an exchange's address must be
     * noticed.
     */
    private static final long MAX_TTL_MICROS = 86_400_000_000L;

    /**
     * Maximum time for which the absence of records is cached (RFC 2308 section 5 suggests hours).
     */
    private static final long MAX_NEGATIVE_TTL_MICROS = 300_000_000;

    /**
     * Time after expiry for which an entry may be used while no server responds (RFC 8767: one to
     * three days).
     */
    public static final long MAX_STALE_MICROS = 86_400_000_000L;

    /**
     * Time after a failed query during which the servers are not queried again (RFC 2308 section 7:
     * five minutes at most).
     */
    private static final long FAILURE_RETRY_DELAY_MICROS = 5_000_000;

    /** Share of its TTL after which an entry in use is refreshed. */
    private static final double REFRESH_AT_TTL_SHARE = 0.9;

    /**
     * Maximum number of aliases that are followed for a name; a longer chain is treated as a loop.
     */
    private static final int MAX_CNAME_CHAIN = 8;

    private final LinkedHashMap<String, CacheEntry> entries = new LinkedHashMap<>(64, 0.75f, true);
    private final Map<String, Long> counters = new TreeMap<>();
    private long waitingCount;

    private static String key(String name, int type) {
        return type + " " + name;
    }

    /** Looks up a name. The listener is called immediately if the result is cached. */
    public void lookUp(
            long now, String name, int type, LookupListener listener, QuerySender sender) {
        lookUp(now, name, type, 0, listener, sender);
    }

    private void lookUp(
            long now,
            String name,
            int type,
            int aliasCount,
            LookupListener finalListener,
            QuerySender sender) {
        LookupListener aliasFollower =
                (completedAt, result) ->
                        followAlias(
                                completedAt, name, type, aliasCount, result, finalListener, sender);
        CacheEntry entry = entries.computeIfAbsent(key(name, type), k -> new CacheEntry());
        if (now < entry.expiresAt) {
            increment("remembered");
            long remainingTtl = entry.expiresAt - now;
            if (entry.listeners == null
                    && now - entry.cachedAt
                            >= REFRESH_AT_TTL_SHARE * (entry.expiresAt - entry.cachedAt)
                    && !failedRecently(now, entry)) {
                increment("ahead");
                entry.listeners = new ArrayList<>();
                sender.sendQuery(name, type);
            }
            aliasFollower.completed(
                    now,
                    new LookupResult(
                            Freshness.FRESH, entry.records, entry.additional, remainingTtl, ""));
        } else if (entry.listeners == null && failedRecently(now, entry)) {
            aliasFollower.completed(now, staleOrUnavailable(now, entry));
        } else if (waitingCount >= MAX_WAITING) {
            increment("too-many-waiting");
            aliasFollower.completed(now, staleOrUnavailable(now, entry));
        } else {
            boolean first = entry.listeners == null;
            entry.listeners = first ? new ArrayList<>() : entry.listeners;
            entry.listeners.add(aliasFollower);
            waitingCount++;
            if (first) {
                increment("asked");
                evictEldest();
                sender.sendQuery(name, type);
            } else {
                increment("joined");
            }
        }
    }

    /** Whether a query failed within the retry delay. */
    private static boolean failedRecently(long now, CacheEntry entry) {
        return entry.failedAt != Long.MIN_VALUE
                && now - entry.failedAt < FAILURE_RETRY_DELAY_MICROS;
    }

    private void evictEldest() {
        var eldest = entries.entrySet().iterator();
        while (entries.size() > MAX_ENTRIES && eldest.hasNext()) {
            if (eldest.next().getValue().listeners == null) {
                eldest.remove();
            }
        }
    }

    /** The result when no server responds: the expired entry if it is still usable. */
    private LookupResult staleOrUnavailable(long now, CacheEntry entry) {
        boolean usable =
                entry.hasAnswer()
                        && !entry.records.isEmpty()
                        && now < entry.expiresAt + MAX_STALE_MICROS;
        increment(usable ? "stale" : "none");
        return usable
                ? new LookupResult(
                        Freshness.STALE, entry.records, entry.additional, 0, entry.failure)
                : new LookupResult(
                        Freshness.UNAVAILABLE,
                        List.of(),
                        List.of(),
                        0,
                        entry.failure.isEmpty() ? "too many lookups waiting" : entry.failure);
    }

    /** Passes on the result, or looks up the target if the result is an unresolved alias. */
    private void followAlias(
            long now,
            String name,
            int type,
            int aliasCount,
            LookupResult result,
            LookupListener listener,
            QuerySender sender) {
        if (result.records.size() != 1
                || result.records.get(0).type() != DnsMessage.CNAME
                || type == DnsMessage.CNAME) {
            listener.completed(now, result);
            return;
        }
        String target;
        try {
            target = DnsMessage.uncompressedName(result.records.get(0).data(), 0);
        } catch (MalformedDnsException e) {
            target = "";
        }
        if (aliasCount >= MAX_CNAME_CHAIN || target.isEmpty() || target.equals(name)) {
            increment("alias-circle");
            listener.completed(
                    now,
                    new LookupResult(
                            Freshness.UNAVAILABLE, List.of(), List.of(), 0, "aliases without end"));
            return;
        }
        lookUp(
                now,
                target,
                type,
                aliasCount + 1,
                (completedAt, targetResult) ->
                        listener.completed(
                                completedAt,
                                new LookupResult(
                                        targetResult.freshness == Freshness.UNAVAILABLE
                                                ? Freshness.UNAVAILABLE
                                                : targetResult.freshness == Freshness.STALE
                                                                || result.freshness
                                                                        == Freshness.STALE
                                                        ? Freshness.STALE
                                                        : Freshness.FRESH,
                                        targetResult.records,
                                        targetResult.additional,
                                        Math.min(result.remainingTtl, targetResult.remainingTtl),
                                        targetResult.failure)),
                sender);
    }

    /** The result of a query that was passed to {@link QuerySender}. */
    public void queryCompleted(long now, String name, int type, Resolver.Result result) {
        CacheEntry entry = entries.get(key(name, type));
        if (entry == null || entry.listeners == null) {
            return;
        }
        List<LookupListener> waiting = entry.listeners;
        entry.listeners = null;
        waitingCount -= waiting.size();
        DnsMessage response = result.response();
        if (response == null) {
            entry.failedAt = now;
            entry.failure = result.failure();
            waiting.forEach(
                    listener ->
                            listener.completed(
                                    now,
                                    now < entry.expiresAt
                                            ? new LookupResult(
                                                    Freshness.FRESH,
                                                    entry.records,
                                                    entry.additional,
                                                    entry.expiresAt - now,
                                                    "")
                                            : staleOrUnavailable(now, entry)));
            return;
        }
        List<ResourceRecord> records = new ArrayList<>();
        long ttl = resolveAliases(response, name, type, records);
        ttl =
                records.isEmpty()
                        ? Math.min(MAX_NEGATIVE_TTL_MICROS, response.negativeTtl() * 1_000_000)
                        : Math.min(MAX_TTL_MICROS, ttl * 1_000_000);
        entry.records = List.copyOf(records);
        entry.additional = response.additional();
        entry.cachedAt = now;
        entry.expiresAt = now + Math.max(MIN_TTL_MICROS, ttl);
        entry.failedAt = Long.MIN_VALUE;
        LookupResult lookupResult =
                new LookupResult(
                        Freshness.FRESH,
                        entry.records,
                        entry.additional,
                        entry.expiresAt - now,
                        "");
        waiting.forEach(listener -> listener.completed(now, lookupResult));
    }

    /**
     * Collects the records at the end of the response's alias chain, or its last alias if there are
     * none. Returns the least TTL along the chain in seconds.
     */
    private static long resolveAliases(
            DnsMessage response, String name, int type, List<ResourceRecord> target) {
        Map<String, ResourceRecord> aliases = new HashMap<>();
        response.answers().stream()
                .filter(record -> record.type() == DnsMessage.CNAME)
                .forEach(record -> aliases.put(record.name(), record));
        String current = name;
        long ttl = Long.MAX_VALUE / 1_000_000;
        ResourceRecord lastAlias = null;
        for (int i = 0; i <= MAX_CNAME_CHAIN; i++) {
            for (ResourceRecord record : response.answers()) {
                if (record.name().equals(current) && record.type() == type) {
                    target.add(record);
                    ttl = Math.min(ttl, record.ttl());
                }
            }
            ResourceRecord alias = aliases.get(current);
            if (!target.isEmpty() || alias == null) {
                break;
            }
            lastAlias = alias;
            ttl = Math.min(ttl, alias.ttl());
            try {
                current = DnsMessage.uncompressedName(alias.data(), 0);
            } catch (MalformedDnsException e) {
                break;
            }
        }
        if (target.isEmpty() && lastAlias != null) {
            target.add(lastAlias);
        }
        return ttl;
    }

    /** Counters of events, by name. */
    public Map<String, Long> counters() {
        return counters;
    }

    private void increment(String counter) {
        counters.merge(counter, 1L, Long::sum);
    }
}
