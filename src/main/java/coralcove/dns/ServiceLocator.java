package coralcove.dns;

import coralcove.dns.DnsMessage.ResourceRecord;
import java.net.InetAddress;
import java.net.UnknownHostException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.IntFunction;
import java.util.random.RandomGenerator;

/**
 * Keeps the addresses of each number's router up to date from DNS: the SRV record (RFC 2782), then
 * the IPv4 and IPv6 addresses of its targets, which come from the additional section or are
 * queried. Records are refreshed shortly before they expire, at randomly spread times. The listener
 * is given the addresses of the best priority that has any; whether they are believed is decided
 * elsewhere.
 */
public final class ServiceLocator {
    /** Receives the addresses that were found. */
    public interface Listener {
        /**
         * The addresses of a number's router, none if the service is not available; {@code stale}:
         * no server responds and these are expired.
         */
        void addressesFound(long now, int number, List<String> addresses, boolean stale);

        /** An event for the log. */
        void log(String event, String detail);
    }

    /**
     * Maximum number of targets used of one priority, the first in selection order; a response may
     * have 200 records.
     */
    private static final int MAX_TARGETS = 8;

    /** Delay before a name is queried again whose query failed. */
    private static final long RETRY_DELAY_MICROS = 5_000_000;

    /**
     * Maximum time between two queries for a name, so that a TTL of a day does not hide a change
     * for a day.
     */
    private static final long MAX_QUERY_INTERVAL_MICROS = 600_000_000;

    /**
     * A record is looked up again when a share of its TTL has passed, this less a random share of
     * up to REFRESH_JITTER. The cache refreshes an entry in the last tenth of its TTL while it is
     * still valid, so that none expires during a burst of calls.
     */
    private static final double REFRESH_AT_TTL_SHARE = 0.99;

    private static final double REFRESH_JITTER = 0.08;

    private static final class WatchedName {
        final int number;
        final String name;

        WatchedName(int number, String name) {
            this.number = number;
            this.name = name;
        }
    }

    /** Finds the addresses of the targets of one SRV response, priority by priority. */
    private final class AddressSearch {
        final WatchedName watchedName;
        final List<List<SrvRecord>> groups;
        final List<ResourceRecord> additional;
        final Map<SrvRecord, List<String>> addressesByTarget = new LinkedHashMap<>();
        long ttl;
        boolean stale;
        boolean failed;
        int groupIndex;
        int pendingQueries;

        AddressSearch(
                WatchedName watchedName,
                List<List<SrvRecord>> groups,
                LookupCache.LookupResult srv) {
            this.watchedName = watchedName;
            this.groups = groups;
            additional = srv.additional();
            ttl = srv.remainingTtl();
            stale = srv.freshness() == LookupCache.Freshness.STALE;
        }

        void searchNextGroup(long now) {
            while (true) {
                if (groupIndex >= groups.size()) {
                    complete(now, List.of());
                    return;
                }
                List<SrvRecord> targets =
                        groups.get(groupIndex)
                                .subList(0, Math.min(MAX_TARGETS, groups.get(groupIndex).size()));
                addressesByTarget.clear();
                // Counts one extra query until all are sent, so that cached results do not finish
                // the group early.
                pendingQueries = 1;
                targets.forEach(target -> resolveTarget(now, target));
                pendingQueries--;
                if (pendingQueries > 0 || finishGroup(now)) {
                    return;
                }
            }
        }

        private void resolveTarget(long now, SrvRecord target) {
            List<String> addresses = new ArrayList<>();
            addressesByTarget.put(target, addresses);
            List<ResourceRecord> targetAddresses =
                    additional.stream()
                            .filter(
                                    record ->
                                            record.name().equals(target.target())
                                                    && (record.type() == DnsMessage.A
                                                            || record.type() == DnsMessage.AAAA))
                            .toList();
            if (!targetAddresses.isEmpty()) {
                targetAddresses.forEach(record -> addAddress(addresses, record, target.port()));
                ttl =
                        Math.min(
                                ttl,
                                targetAddresses.stream()
                                                .mapToLong(ResourceRecord::ttl)
                                                .min()
                                                .orElse(0)
                                        * 1_000_000);
                return;
            }
            for (int type : new int[] {DnsMessage.A, DnsMessage.AAAA}) {
                pendingQueries++;
                cache.lookUp(
                        now,
                        target.target(),
                        type,
                        (completedAt, result) -> {
                            result.records()
                                    .forEach(
                                            record -> addAddress(addresses, record, target.port()));
                            stale |= result.freshness() == LookupCache.Freshness.STALE;
                            failed |= result.freshness() == LookupCache.Freshness.UNAVAILABLE;
                            ttl =
                                    result.freshness() == LookupCache.Freshness.FRESH
                                            ? Math.min(ttl, result.remainingTtl())
                                            : 0;
                            pendingQueries--;
                            if (pendingQueries == 0 && !finishGroup(completedAt)) {
                                searchNextGroup(completedAt);
                            }
                        },
                        querySender);
            }
        }

        /**
         * Ends the search if this priority has an address; otherwise moves on to the next priority.
         * Returns whether the search has ended.
         */
        private boolean finishGroup(long now) {
            List<String> addresses =
                    addressesByTarget.values().stream().flatMap(List::stream).distinct().toList();
            groupIndex++;
            if (addresses.isEmpty()) {
                return false;
            }
            complete(now, addresses);
            return true;
        }

        private void complete(long now, List<String> addresses) {
            // An empty result is no proof that there is no address if one of the queries failed.
            if (!addresses.isEmpty() || !failed) {
                listener.addressesFound(now, watchedName.number, addresses, stale);
            }
            scheduleRefresh(
                    now,
                    watchedName,
                    addresses.isEmpty() && failed || stale ? RETRY_DELAY_MICROS : ttl);
        }
    }

    private final LookupCache cache = new LookupCache();
    private final LookupCache.QuerySender querySender;
    private final RandomGenerator random;
    private final Listener listener;
    private final String transport;
    private final List<WatchedName> watchedNames = new ArrayList<>();
    private final TreeMap<Long, List<WatchedName>> queryTimes = new TreeMap<>();

    /**
     * Watches the service names of {@code numbers}. {@code transport} is udp or tcp; {@code names}
     * gives the domain name of a number, without the service prefix.
     */
    public ServiceLocator(
            List<Integer> numbers,
            IntFunction<String> names,
            String transport,
            RandomGenerator random,
            LookupCache.QuerySender querySender,
            Listener listener) {
        this.querySender = querySender;
        this.random = random;
        this.listener = listener;
        this.transport = transport;
        numbers.forEach(
                number ->
                        watchedNames.add(
                                new WatchedName(
                                        number, "_sip._" + transport + "." + names.apply(number))));
    }

    /** Schedules the first query of every name for now. */
    public void start(long now) {
        watchedNames.forEach(watchedName -> scheduleQuery(now, watchedName));
    }

    private void scheduleQuery(long time, WatchedName watchedName) {
        queryTimes.computeIfAbsent(time, key -> new ArrayList<>()).add(watchedName);
    }

    private void scheduleRefresh(long now, WatchedName watchedName, long ttl) {
        double share = REFRESH_AT_TTL_SHARE - REFRESH_JITTER * random.nextDouble();
        scheduleQuery(
                now
                        + Math.max(
                                1_000_000,
                                (long) (Math.min(MAX_QUERY_INTERVAL_MICROS, ttl) * share)),
                watchedName);
    }

    /** Looks up the names whose time has come. */
    public void tick(long now) {
        while (!queryTimes.isEmpty() && queryTimes.firstKey() <= now) {
            for (WatchedName watchedName : queryTimes.pollFirstEntry().getValue()) {
                cache.lookUp(
                        now,
                        watchedName.name,
                        DnsMessage.SRV,
                        (completedAt, result) -> srvCompleted(completedAt, watchedName, result),
                        querySender);
            }
        }
    }

    /** Time of the next call to {@link #tick}, Long.MAX_VALUE if none is needed. */
    public long nextTickAt() {
        return queryTimes.isEmpty() ? Long.MAX_VALUE : queryTimes.firstKey();
    }

    /** The result of a query that was passed to the query sender. */
    public void queryCompleted(long now, String name, int type, Resolver.Result result) {
        cache.queryCompleted(now, name, type, result);
    }

    private void srvCompleted(long now, WatchedName watchedName, LookupCache.LookupResult result) {
        if (result.freshness() == LookupCache.Freshness.UNAVAILABLE) {
            listener.log("dns-none", watchedName.name + ": " + result.failure());
            scheduleRefresh(now, watchedName, RETRY_DELAY_MICROS);
            return;
        }
        List<SrvRecord> records = new ArrayList<>();
        for (ResourceRecord record : result.records()) {
            try {
                records.add(SrvRecord.decode(record.data()));
            } catch (MalformedDnsException e) {
                listener.log("dns-bad", watchedName.name + ": " + e.getMessage());
            }
        }
        boolean unavailable =
                records.isEmpty() || records.size() == 1 && records.get(0).target().isEmpty();
        if (unavailable) {
            listener.addressesFound(
                    now,
                    watchedName.number,
                    List.of(),
                    result.freshness() == LookupCache.Freshness.STALE);
            scheduleRefresh(now, watchedName, result.remainingTtl());
        } else {
            records.removeIf(record -> record.target().isEmpty());
            new AddressSearch(watchedName, SrvRecord.selectionOrder(records, random), result)
                    .searchNextGroup(now);
        }
    }

    private void addAddress(List<String> addresses, ResourceRecord record, int port) {
        int bytes = record.type() == DnsMessage.A ? 4 : record.type() == DnsMessage.AAAA ? 16 : 0;
        if (bytes == 0 || record.data().length != bytes || port == 0) {
            return;
        }
        try {
            String host = InetAddress.getByAddress(record.data()).getHostAddress();
            addresses.add(transport + ":" + (bytes == 4 ? host : "[" + host + "]") + ":" + port);
        } catch (UnknownHostException e) {
            throw new IllegalStateException("an address of " + bytes + " bytes is always valid", e);
        }
    }

    /** Counters of the cache, by name. */
    public Map<String, Long> counters() {
        return cache.counters();
    }
}
