package coralcove.sources;

import coralcove.Exchange;
import coralcove.Exchange.Phase;
import coralcove.sources.RosterEntry.Reason;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;

/**
 * The roster of exchanges, merged from the lists of directories, from DNS, and from the lists
 * stored before this router's start. It takes timed reports and yields roster entries with their
 * reasons; docs/design/sources.md tabulates the merge rules. It reads no clock and does no I/O.
 */
public final class Roster {
    /** How much a directory's list still counts, by the time since it was last renewed. */
    public enum ListAuthority {
        /** No list has been received. */
        NONE,
        /** Renewed recently: also proves who is missing. */
        FRESH,
        /** Counts fully for the exchanges it names, but is no proof of absence. */
        STALE,
        /** Yields to any complete list that is fresh. */
        EXPIRED
    }

    /** Why a listing was rejected. The names appear in the log and in counters. */
    public enum ListingRejection {
        NONE,
        OTHER_EPOCH,
        OLDER_VERSION,
        TOO_LONG
    }

    /**
     * What a source has reported about one exchange instance, for the store and the command line.
     * Times are in µs on the router's clock.
     *
     * @param source name of the source
     * @param id id of the exchange instance
     * @param liveness its liveness
     * @param startedAt time of its start; 0 for long ago
     * @param renewedAt time at which the source's list was last renewed
     */
    public record SourceReport(
            String source, long id, Liveness liveness, long startedAt, long renewedAt) {}

    /**
     * Time after its last renewal for which a list proves who is missing: two and a half lifetimes
     * of a subscription.
     */
    public static final long FRESH_FOR_MICROS = 30_000_000;

    /**
     * Time after its last renewal at which a list yields to any list that is renewed: as long as
     * the repair of a directory takes.
     */
    public static final long EXPIRES_AFTER_MICROS = 600_000_000;

    /**
     * Maximum exchange instances of one source, including those it misses; a listing that would
     * exceed it is rejected as a whole.
     */
    public static final int MAX_INSTANCES_PER_SOURCE = 10_000;

    /**
     * Time for which it is remembered that a source misses an exchange: by then no other source has
     * an older list that names it.
     */
    private static final long MISSING_RETENTION_MICROS = 3_600_000_000L;

    /** Maximum DNS addresses remembered for one number; beyond it the oldest is discarded. */
    private static final int MAX_ADDRESSES_PER_NUMBER = 16;

    /** What one directory has reported. */
    private static final class Directory {
        final String name;
        final Map<Long, Liveness> livenessById = new LinkedHashMap<>();

        /** Exchanges that a complete list no longer named, with the time this was first seen. */
        final Map<Long, Long> missingSince = new LinkedHashMap<>();

        /** Epoch of the current subscription; empty until its first listing. */
        String epoch = "";

        long version;
        long renewedAt = Long.MIN_VALUE;

        /** Whether the lines come from a complete list, with all changes since. */
        boolean complete;

        boolean completeListWanted;
        ListAuthority lastAuthority = ListAuthority.NONE;
        boolean lastComplete;

        Directory(String name) {
            this.name = name;
        }

        ListAuthority authority(long now) {
            if (renewedAt == Long.MIN_VALUE) {
                return ListAuthority.NONE;
            }
            long age = now - renewedAt;
            return age < FRESH_FOR_MICROS
                    ? ListAuthority.FRESH
                    : age < EXPIRES_AFTER_MICROS ? ListAuthority.STALE : ListAuthority.EXPIRED;
        }
    }

    /**
     * The start of an exchange instance: its start number and its time on this router's clock. The
     * first time reported for a start number is retained.
     */
    private record Start(long startNumber, long startedAt) {}

    /**
     * The DNS addresses of one number: the one in use, and the pseudo id (as start number) and
     * first-seen time of every address seen.
     */
    private static final class DnsRecord {
        String currentAddress = "";
        final LinkedHashMap<String, Start> seen = new LinkedHashMap<>();
    }

    private final List<Directory> directories = new ArrayList<>();
    private final Map<Long, Start> starts = new HashMap<>();
    private final TreeMap<Integer, DnsRecord> dnsRecords = new TreeMap<>();
    private final Map<Long, RosterEntry> entries = new LinkedHashMap<>();
    private final Set<Long> changedIds = new TreeSet<>();

    /** Last pseudo id given to a DNS address; these ids are negative. */
    private long lastDnsId;

    /**
     * {@code names} are the names of the directories; a source is referred to by its index here.
     */
    public Roster(List<String> names) {
        names.forEach(name -> directories.add(new Directory(name)));
    }

    // ---- reports of the sources

    /** A new subscription to a directory has started: its first listing may have any epoch. */
    public void subscriptionStarted(int source) {
        directories.get(source).epoch = "";
    }

    /**
     * Applies a listing received within a subscription. Its lines count in any order; versions only
     * reveal gaps and who is missing.
     */
    public ListingRejection applyListing(long now, int source, DirectoryListing listing) {
        Directory directory = directories.get(source);
        if (!directory.epoch.isEmpty() && !directory.epoch.equals(listing.epoch())) {
            return ListingRejection.OTHER_EPOCH;
        }
        if (!directory.epoch.isEmpty() && listing.version() < directory.version) {
            return ListingRejection.OLDER_VERSION;
        }
        long unknown =
                listing.entries().stream()
                        .filter(line -> !directory.livenessById.containsKey(line.id()))
                        .count();
        if (directory.livenessById.size()
                        - (listing.kind() == DirectoryListing.Kind.WHOLE
                                ? directory.missingSince.size()
                                : 0)
                        + unknown
                > MAX_INSTANCES_PER_SOURCE) {
            return ListingRejection.TOO_LONG;
        }
        boolean first = directory.epoch.isEmpty();
        directory.epoch = listing.epoch();
        directory.renewedAt = now;
        Set<Long> listedIds = new TreeSet<>();
        for (DirectoryListing.Entry line : listing.entries()) {
            listedIds.add(line.id());
            applyLine(now, directory, line);
        }
        if (listing.kind() == DirectoryListing.Kind.CHANGES) {
            directory.completeListWanted |= first || listing.afterVersion() > directory.version;
            directory.complete &= !first;
        } else {
            directory.completeListWanted = false;
            directory.complete = listing.kind() == DirectoryListing.Kind.WHOLE;
        }
        directory.version = Math.max(first ? 0 : directory.version, listing.version());
        if (directory.complete && listing.kind() == DirectoryListing.Kind.WHOLE) {
            markMissing(now, directory, listedIds);
        }
        return ListingRejection.NONE;
    }

    private void applyLine(long now, Directory directory, DirectoryListing.Entry line) {
        Liveness before = directory.livenessById.get(line.id());
        Liveness after = before == null ? line.liveness() : before.join(line.liveness());
        Start start = starts.get(line.id());
        if (start == null || line.liveness().startNumber() > start.startNumber) {
            // The listing gives an age, not a date: the clocks of two machines need not agree.
            long startedAt =
                    line.age() == DirectoryListing.LONG_AGO ? 0 : Math.max(1, now - line.age());
            starts.put(line.id(), new Start(line.liveness().startNumber(), startedAt));
        }
        if (!after.equals(before)) {
            directory.livenessById.put(line.id(), after);
            changedIds.add(line.id());
        }
        if (after.phase() != Phase.GONE) {
            directory.missingSince.remove(line.id());
        }
        if (after.isSilent()) {
            requestContradictingLists(now, directory, line.id(), after);
        }
    }

    /**
     * One directory reports an exchange silent: requests complete lists from the directories that
     * still list it, since they may have received a later heartbeat.
     */
    private void requestContradictingLists(
            long now, Directory reporter, long id, Liveness reported) {
        for (Directory other : directories) {
            Liveness known = other.livenessById.get(id);
            if (other != reporter
                    && known != null
                    && other.authority(now) == ListAuthority.FRESH
                    && known.startNumber() == reported.startNumber()
                    && known.phase() != Phase.GONE
                    && known.heartbeat() <= reported.silentAfter()) {
                other.completeListWanted = true;
            }
        }
    }

    /**
     * Marks every exchange that a complete list does not name as silent after the last heartbeat
     * that this directory reported.
     */
    private void markMissing(long now, Directory directory, Set<Long> listedIds) {
        for (Map.Entry<Long, Liveness> each : directory.livenessById.entrySet()) {
            if (!listedIds.contains(each.getKey())
                    && directory.missingSince.putIfAbsent(each.getKey(), now) == null) {
                each.setValue(each.getValue().markedSilent());
                changedIds.add(each.getKey());
                requestContradictingLists(now, directory, each.getKey(), each.getValue());
            }
        }
        directory
                .missingSince
                .entrySet()
                .removeIf(
                        each -> {
                            boolean expired = now - each.getValue() >= MISSING_RETENTION_MICROS;
                            if (expired) {
                                directory.livenessById.remove(each.getKey());
                                changedIds.add(each.getKey());
                            }
                            return expired;
                        });
    }

    /** A directory has confirmed that its last list is still current. */
    public void listRenewed(long now, int source) {
        directories.get(source).renewedAt = now;
    }

    /**
     * Whether a directory should be queried for its complete list, after a gap or because another
     * directory contradicts it. Clears the request.
     */
    public boolean pollCompleteListWanted(int source) {
        boolean wanted = directories.get(source).completeListWanted;
        directories.get(source).completeListWanted = false;
        return wanted;
    }

    /**
     * Applies a DNS answer about the router of a number; no addresses means that DNS knows no such
     * service. An answer past its lifetime ({@code stale}) keeps the address in use and adds none.
     */
    public void applyDnsAnswer(long now, int number, List<String> addresses, boolean stale) {
        DnsRecord dnsRecord = dnsRecords.computeIfAbsent(number, n -> new DnsRecord());
        if (addresses.contains(dnsRecord.currentAddress) || stale) {
            return;
        }
        dnsRecords.values().forEach(each -> changedIds.add(dnsId(each)));
        dnsRecord.currentAddress = addresses.isEmpty() ? "" : addresses.get(0);
        if (!dnsRecord.currentAddress.isEmpty()) {
            // Nothing proves that the exchange is warm, so it counts as cold from first sight.
            Start known = dnsRecord.seen.remove(dnsRecord.currentAddress);
            dnsRecord.seen.put(
                    dnsRecord.currentAddress, known == null ? new Start(--lastDnsId, now) : known);
            if (dnsRecord.seen.size() > MAX_ADDRESSES_PER_NUMBER) {
                String eldest = dnsRecord.seen.keySet().iterator().next();
                changedIds.add(dnsRecord.seen.remove(eldest).startNumber);
            }
            changedIds.add(dnsId(dnsRecord));
        }
    }

    /** The pseudo id of the address in use, or 0 if there is none. */
    private static long dnsId(DnsRecord dnsRecord) {
        return dnsRecord.currentAddress.isEmpty()
                ? 0
                : dnsRecord.seen.get(dnsRecord.currentAddress).startNumber;
    }

    /**
     * Restores the reports stored before this router's start, for directories that are still
     * configured. Must be called before any other report is applied.
     *
     * @return the number of reports used
     */
    public int restore(long now, List<SourceReport> reports) {
        int restored = 0;
        for (SourceReport report : reports) {
            for (Directory directory : directories) {
                if (directory.name.equals(report.source)
                        && directory.livenessById.size() < MAX_INSTANCES_PER_SOURCE) {
                    directory.livenessById.merge(report.id, report.liveness, Liveness::join);
                    // A time in the future means that the clock was set back: the list is stale at
                    // once, and its exchanges count as cold from now.
                    long renewedAt =
                            report.renewedAt > now ? now - FRESH_FOR_MICROS : report.renewedAt;
                    directory.renewedAt =
                            Math.max(
                                    directory.renewedAt,
                                    Math.min(renewedAt, now - FRESH_FOR_MICROS));
                    Start start = starts.get(report.id);
                    if (start == null || report.liveness.startNumber() > start.startNumber) {
                        starts.put(
                                report.id,
                                new Start(
                                        report.liveness.startNumber(),
                                        Math.min(report.startedAt, now)));
                    }
                    if (report.liveness.phase() == Phase.GONE) {
                        directory.missingSince.putIfAbsent(report.id, now);
                    }
                    changedIds.add(report.id);
                    restored++;
                }
            }
        }
        return restored;
    }

    // ---- the merged roster

    /**
     * Updates the roster and returns the exchanges whose state has changed since the last call;
     * those no longer in the roster are {@link Phase#GONE}.
     */
    public List<Exchange> pollChanges(long now) {
        if (authorityChanged(now)) {
            directories.forEach(directory -> changedIds.addAll(directory.livenessById.keySet()));
        }
        if (changedIds.isEmpty()) {
            return List.of();
        }
        // Whether DNS counts for a number depends on what directories report about it.
        Set<Integer> numbers = new TreeSet<>();
        changedIds.forEach(id -> numbers.add(id < 0 ? Integer.MIN_VALUE : numberOf(id)));
        dnsRecords.forEach(
                (number, dnsRecord) -> {
                    if (numbers.contains(number)) {
                        changedIds.add(dnsId(dnsRecord));
                    }
                });
        List<Exchange> changes = new ArrayList<>();
        for (long id : changedIds) {
            RosterEntry before = entries.get(id);
            RosterEntry after = id == 0 ? null : id < 0 ? mergeDns(now, id) : mergeLists(now, id);
            if (after == null && before != null) {
                Exchange old = before.exchange();
                after =
                        new RosterEntry(
                                new Exchange(id, old.number(), Phase.GONE, old.startedAt()),
                                before.routerAddress(),
                                id < 0 ? Reason.DNS_DROPPED : Reason.OUTLIVED);
            }
            boolean neverReported =
                    before == null
                            && id < 0
                            && after != null
                            && after.exchange().phase() == Phase.GONE;
            if (after != null
                    && !neverReported
                    && (before == null || !before.exchange().equals(after.exchange()))) {
                changes.add(after.exchange());
            }
            if (after != null
                    && after.exchange().phase() == Phase.GONE
                    && (id < 0 || isUnlisted(id))) {
                entries.remove(id);
            } else if (after != null) {
                entries.put(id, after);
            }
        }
        changedIds.clear();
        return changes;
    }

    private boolean isUnlisted(long id) {
        return directories.stream().noneMatch(directory -> directory.livenessById.containsKey(id));
    }

    private int numberOf(long id) {
        for (Directory directory : directories) {
            Liveness liveness = directory.livenessById.get(id);
            if (liveness != null) {
                return liveness.number();
            }
        }
        return entries.containsKey(id) ? entries.get(id).exchange().number() : Integer.MIN_VALUE;
    }

    /** Whether the authority or completeness of any list has changed since the last call. */
    private boolean authorityChanged(long now) {
        boolean changed = false;
        for (Directory directory : directories) {
            changed |=
                    directory.authority(now) != directory.lastAuthority
                            || directory.complete != directory.lastComplete;
            directory.lastAuthority = directory.authority(now);
            directory.lastComplete = directory.complete;
        }
        return changed;
    }

    /** The time at which some list next loses authority, or Long.MAX_VALUE for never. */
    public long nextAuthorityChange(long now) {
        long next = Long.MAX_VALUE;
        for (Directory directory : directories) {
            ListAuthority authority = directory.authority(now);
            long step =
                    authority == ListAuthority.FRESH
                            ? FRESH_FOR_MICROS
                            : authority == ListAuthority.STALE ? EXPIRES_AFTER_MICROS : 0;
            next = step == 0 ? next : Math.min(next, directory.renewedAt + step);
        }
        return next;
    }

    /** Merges all directories' reports about one exchange instance; null if there are none. */
    private RosterEntry mergeLists(long now, long id) {
        Liveness liveness = null;
        boolean fresh = false;
        boolean onlyExpired = true;
        boolean freshCompleteList = false;
        for (Directory directory : directories) {
            ListAuthority authority = directory.authority(now);
            Liveness reported = directory.livenessById.get(id);
            freshCompleteList |= authority == ListAuthority.FRESH && directory.complete;
            if (reported != null) {
                liveness = liveness == null ? reported : liveness.join(reported);
                fresh |= authority == ListAuthority.FRESH;
                onlyExpired &= authority == ListAuthority.EXPIRED;
            }
        }
        if (liveness == null) {
            return null;
        }
        Reason reason =
                liveness.left()
                        ? Reason.LEFT
                        : liveness.isSilent()
                                ? Reason.SILENT
                                : onlyExpired && freshCompleteList
                                        ? Reason.OUTLIVED
                                        : liveness.draining()
                                                ? Reason.DRAINS
                                                : fresh ? Reason.LISTED : Reason.LIST_OLD;
        Phase phase = reason == Reason.OUTLIVED ? Phase.GONE : liveness.phase();
        Start start = starts.get(id);
        long startedAt =
                start != null && start.startNumber == liveness.startNumber() ? start.startedAt : 0;
        return new RosterEntry(
                new Exchange(id, liveness.number(), phase, startedAt), liveness.address(), reason);
    }

    /**
     * The entry of a DNS address. It counts only while no directory lists an active exchange with
     * its number, and never at an address that a directory has reported gone.
     */
    private RosterEntry mergeDns(long now, long id) {
        for (Map.Entry<Integer, DnsRecord> each : dnsRecords.entrySet()) {
            DnsRecord dnsRecord = each.getValue();
            if (dnsId(dnsRecord) != id) {
                continue;
            }
            Reason reason = Reason.DNS_ONLY;
            for (Map.Entry<Integer, DnsRecord> other : dnsRecords.entrySet()) {
                // A router serves one number: an address of two numbers comes from a wildcard or a
                // mistake, and its owner is unknown.
                if (!other.getKey().equals(each.getKey())
                        && other.getValue().currentAddress.equals(dnsRecord.currentAddress)) {
                    reason = Reason.DNS_SHARED;
                }
            }
            for (Directory directory : directories) {
                for (Map.Entry<Long, Liveness> line : directory.livenessById.entrySet()) {
                    RosterEntry listed =
                            line.getValue().number() == each.getKey()
                                    ? mergeLists(now, line.getKey())
                                    : null;
                    if (listed != null
                            && (listed.exchange().phase() != Phase.GONE
                                    || listed.routerAddress().equals(dnsRecord.currentAddress))) {
                        reason = Reason.DNS_YIELDS;
                    }
                }
            }
            Phase phase = reason == Reason.DNS_ONLY ? Phase.READY : Phase.GONE;
            return new RosterEntry(
                    new Exchange(
                            id,
                            each.getKey(),
                            phase,
                            dnsRecord.seen.get(dnsRecord.currentAddress).startedAt),
                    dnsRecord.currentAddress,
                    reason);
        }
        return null;
    }

    /** The entry of one exchange instance, or null if it is not in the roster. */
    public RosterEntry entry(long id) {
        return entries.get(id);
    }

    /** All entries, including those of exchanges that are gone but still remembered. */
    public Collection<RosterEntry> entries() {
        return entries.values();
    }

    /**
     * The numbers of all known exchanges, including those that are gone: a session to one of them
     * is refused rather than answered as unknown.
     */
    public Set<Integer> numbers() {
        Set<Integer> numbers = new TreeSet<>();
        entries.values().forEach(entry -> numbers.add(entry.exchange().number()));
        return numbers;
    }

    /** How much the list of a directory counts at {@code now}. */
    public ListAuthority listAuthority(long now, int source) {
        return directories.get(source).authority(now);
    }

    /** Everything that directories have reported, for the store and for diagnosis. */
    public List<SourceReport> reports() {
        List<SourceReport> reports = new ArrayList<>();
        for (Directory directory : directories) {
            directory.livenessById.forEach(
                    (id, liveness) -> {
                        Start start = starts.get(id);
                        reports.add(
                                new SourceReport(
                                        directory.name,
                                        id,
                                        liveness,
                                        start != null && start.startNumber == liveness.startNumber()
                                                ? start.startedAt
                                                : 0,
                                        directory.renewedAt));
                    });
        }
        return reports;
    }
}
