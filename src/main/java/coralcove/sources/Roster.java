package coralcove.sources;

import coralcove.Exchange;
import coralcove.Exchange.Phase;
import coralcove.sources.Belief.Why;
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
 * The roster as believed, made by one merge of what sources say: directories, DNS, and the lists
 * kept from before this router's start. Times and what was said go in; beliefs with their reasons
 * come out. docs/design/sources.md has the rules as one table. It holds no clock and no wire.
 */
public final class Roster {
    /** How much say a directory's list still has. */
    public enum Say {
        NONE,
        FRESH,
        OLD,
        VOID
    }

    /** Why a listing was not taken. */
    public enum Refusal {
        NONE,
        OTHER_EPOCH,
        OLDER_VERSION,
        TOO_LONG
    }

    /**
     * What a source has said of one machine, for the store and the command line; {@code since} on
     * the router's clock.
     */
    public record Said(String source, long id, Life life, long since, long renewed) {}

    /**
     * µs after its last renewal for which a list says who is missing: two and a half lives of a
     * subscription.
     */
    public static final long FRESH_FOR = 30_000_000;

    /**
     * µs after which a list that nobody renews yields to any that is renewed: as long as a
     * directory's repair takes.
     */
    public static final long OLD_FOR = 600_000_000;

    /**
     * Machines of one source at most, those that it misses included; a listing past that is refused
     * whole.
     */
    public static final int MOST = 10_000;

    /**
     * µs for which it is kept that a source misses a machine: by then no other has an older list of
     * it.
     */
    private static final long MISSED_FOR = 3_600_000_000L;

    /**
     * Addresses from DNS of one number that are remembered: the ones past it are forgotten, oldest
     * first.
     */
    private static final int MOST_ADDRESSES = 16;

    private static final class Directory {
        final String name;
        final Map<Long, Life> lines = new LinkedHashMap<>();

        /** When a machine that it lists no more was missed. */
        final Map<Long, Long> missed = new LinkedHashMap<>();

        String epoch = "";
        long version;
        long renewed = Long.MIN_VALUE;
        boolean whole;
        boolean wanted;
        Say saidLast = Say.NONE;
        boolean wholeLast;

        Directory(String name) {
            this.name = name;
        }

        Say say(long now) {
            if (renewed == Long.MIN_VALUE) {
                return Say.NONE;
            }
            long age = now - renewed;
            return age < FRESH_FOR ? Say.FRESH : age < OLD_FOR ? Say.OLD : Say.VOID;
        }
    }

    /**
     * The start of a machine and its moment on this router's clock: the first that was told holds.
     */
    private record Start(long start, long since) {}

    /** What DNS says of one number: the address in use, and the ids of all addresses seen. */
    private static final class Located {
        String address = "";
        final LinkedHashMap<String, Start> seen = new LinkedHashMap<>();
    }

    private final List<Directory> directories = new ArrayList<>();
    private final Map<Long, Start> starts = new HashMap<>();
    private final TreeMap<Integer, Located> located = new TreeMap<>();
    private final Map<Long, Belief> believed = new LinkedHashMap<>();
    private final Set<Long> touched = new TreeSet<>();
    private long dnsIds;

    public Roster(List<String> names) {
        names.forEach(name -> directories.add(new Directory(name)));
    }

    // ---- what sources say

    /** A subscription at a directory has begun anew: the next listing may be of any epoch. */
    public void begun(int source) {
        directories.get(source).epoch = "";
    }

    /**
     * A listing within a subscription. Its lines count in any order; versions only tell gaps and
     * who is missing.
     */
    public Refusal listed(long now, int source, Listing listing) {
        Directory from = directories.get(source);
        if (!from.epoch.isEmpty() && !from.epoch.equals(listing.epoch())) {
            return Refusal.OTHER_EPOCH;
        }
        if (!from.epoch.isEmpty() && listing.version() < from.version) {
            return Refusal.OLDER_VERSION;
        }
        long unknown =
                listing.lines().stream().filter(line -> !from.lines.containsKey(line.id())).count();
        if (from.lines.size()
                        - (listing.kind() == Listing.Kind.WHOLE ? from.missed.size() : 0)
                        + unknown
                > MOST) {
            return Refusal.TOO_LONG;
        }
        boolean first = from.epoch.isEmpty();
        from.epoch = listing.epoch();
        from.renewed = now;
        Set<Long> named = new TreeSet<>();
        for (Listing.Line line : listing.lines()) {
            named.add(line.id());
            take(now, from, line);
        }
        if (listing.kind() == Listing.Kind.CHANGES) {
            from.wanted |= first || listing.after() > from.version;
            from.whole &= !first;
        } else {
            from.wanted = false;
            from.whole = listing.kind() == Listing.Kind.WHOLE;
        }
        from.version = Math.max(first ? 0 : from.version, listing.version());
        if (from.whole && listing.kind() == Listing.Kind.WHOLE) {
            miss(now, from, named);
        }
        return Refusal.NONE;
    }

    private void take(long now, Directory from, Listing.Line line) {
        Life before = from.lines.get(line.id());
        Life after = before == null ? line.life() : before.join(line.life());
        Start start = starts.get(line.id());
        if (start == null || line.life().start() > start.start) {
            // An age, not a date: the clocks of two machines need not agree.
            long since = line.age() == Listing.LONG_AGO ? 0 : Math.max(1, now - line.age());
            starts.put(line.id(), new Start(line.life().start(), since));
        }
        if (!after.equals(before)) {
            from.lines.put(line.id(), after);
            touched.add(line.id());
        }
        if (after.phase() != Phase.GONE) {
            from.missed.remove(line.id());
        }
        if (after.silent()) {
            doubt(now, from, line.id(), after);
        }
    }

    /**
     * One source misses a machine that another lists: the other is asked what it has heard since.
     */
    private void doubt(long now, Directory from, long id, Life missed) {
        for (Directory other : directories) {
            Life theirs = other.lines.get(id);
            if (other != from
                    && theirs != null
                    && other.say(now) == Say.FRESH
                    && theirs.start() == missed.start()
                    && theirs.phase() != Phase.GONE
                    && theirs.beat() <= missed.quiet()) {
                other.wanted = true;
            }
        }
    }

    /**
     * Whoever a whole list does not name is missing, as of the last sign of life that this source
     * told of.
     */
    private void miss(long now, Directory from, Set<Long> named) {
        for (Map.Entry<Long, Life> each : from.lines.entrySet()) {
            if (!named.contains(each.getKey())
                    && from.missed.putIfAbsent(each.getKey(), now) == null) {
                each.setValue(each.getValue().missed());
                touched.add(each.getKey());
                doubt(now, from, each.getKey(), each.getValue());
            }
        }
        from.missed
                .entrySet()
                .removeIf(
                        each -> {
                            boolean over = now - each.getValue() >= MISSED_FOR;
                            if (over) {
                                from.lines.remove(each.getKey());
                                touched.add(each.getKey());
                            }
                            return over;
                        });
    }

    /** A directory said that its list still holds. */
    public void renewed(long now, int source) {
        directories.get(source).renewed = now;
    }

    /**
     * Whether a directory is to be asked for its whole list: after a gap, or since another
     * contradicts it.
     */
    public boolean wantsWhole(int source) {
        boolean wanted = directories.get(source).wanted;
        directories.get(source).wanted = false;
        return wanted;
    }

    /**
     * Where DNS says that the router of a number is; none where it says that there is no such
     * service. An answer past its life ({@code stale}) keeps what is in use and brings nothing new.
     */
    public void located(long now, int number, List<String> addresses, boolean stale) {
        Located it = located.computeIfAbsent(number, n -> new Located());
        if (addresses.contains(it.address) || stale) {
            return;
        }
        located.values().forEach(each -> touched.add(dnsId(each)));
        it.address = addresses.isEmpty() ? "" : addresses.get(0);
        if (!it.address.isEmpty()) {
            // A machine that nobody proves to be warm counts as cold from its first sight.
            Start known = it.seen.remove(it.address);
            it.seen.put(it.address, known == null ? new Start(--dnsIds, now) : known);
            if (it.seen.size() > MOST_ADDRESSES) {
                String eldest = it.seen.keySet().iterator().next();
                touched.add(it.seen.remove(eldest).start);
            }
            touched.add(dnsId(it));
        }
    }

    private static long dnsId(Located it) {
        return it.address.isEmpty() ? 0 : it.seen.get(it.address).start;
    }

    /**
     * What was kept before this router's start, of directories that are still asked. Told before
     * all else.
     */
    public int kept(long now, List<Said> them) {
        int taken = 0;
        for (Said each : them) {
            for (Directory from : directories) {
                if (from.name.equals(each.source) && from.lines.size() < MOST) {
                    from.lines.merge(each.id, each.life, Life::join);
                    // A moment still to come, as after a clock was set back: old at once, and cold
                    // from now.
                    long renewed = each.renewed > now ? now - FRESH_FOR : each.renewed;
                    from.renewed = Math.max(from.renewed, Math.min(renewed, now - FRESH_FOR));
                    Start start = starts.get(each.id);
                    if (start == null || each.life.start() > start.start) {
                        starts.put(
                                each.id, new Start(each.life.start(), Math.min(each.since, now)));
                    }
                    if (each.life.phase() == Phase.GONE) {
                        from.missed.putIfAbsent(each.id, now);
                    }
                    touched.add(each.id);
                    taken++;
                }
            }
        }
        return taken;
    }

    // ---- what is believed

    /**
     * What has changed since this was last asked, as the module is told it; what is believed no
     * more is GONE.
     */
    public List<Exchange> news(long now) {
        if (sayChanged(now)) {
            directories.forEach(from -> touched.addAll(from.lines.keySet()));
        }
        if (touched.isEmpty()) {
            return List.of();
        }
        // Whether DNS has a say on a number depends on what directories say of it.
        Set<Integer> numbers = new TreeSet<>();
        touched.forEach(id -> numbers.add(id < 0 ? Integer.MIN_VALUE : numberOf(id)));
        located.forEach(
                (number, it) -> {
                    if (numbers.contains(number)) {
                        touched.add(dnsId(it));
                    }
                });
        List<Exchange> news = new ArrayList<>();
        for (long id : touched) {
            Belief before = believed.get(id);
            Belief after = id == 0 ? null : id < 0 ? fromDns(now, id) : believe(now, id);
            if (after == null && before != null) {
                Exchange was = before.exchange();
                after =
                        new Belief(
                                new Exchange(id, was.number(), Phase.GONE, was.since()),
                                before.address(),
                                id < 0 ? Why.DNS_DROPPED : Why.OUTLIVED);
            }
            boolean neverTold =
                    before == null
                            && id < 0
                            && after != null
                            && after.exchange().phase() == Phase.GONE;
            if (after != null
                    && !neverTold
                    && (before == null || !before.exchange().equals(after.exchange()))) {
                news.add(after.exchange());
            }
            if (after != null
                    && after.exchange().phase() == Phase.GONE
                    && (id < 0 || nobodySays(id))) {
                believed.remove(id);
            } else if (after != null) {
                believed.put(id, after);
            }
        }
        touched.clear();
        return news;
    }

    private boolean nobodySays(long id) {
        return directories.stream().noneMatch(from -> from.lines.containsKey(id));
    }

    private int numberOf(long id) {
        for (Directory from : directories) {
            Life life = from.lines.get(id);
            if (life != null) {
                return life.number();
            }
        }
        return believed.containsKey(id) ? believed.get(id).exchange().number() : Integer.MIN_VALUE;
    }

    /** Whether some list has gone a step down or up since this was last asked. */
    private boolean sayChanged(long now) {
        boolean changed = false;
        for (Directory from : directories) {
            changed |= from.say(now) != from.saidLast || from.whole != from.wholeLast;
            from.saidLast = from.say(now);
            from.wholeLast = from.whole;
        }
        return changed;
    }

    /** The moment at which some list goes a step down, Long.MAX_VALUE for never. */
    public long due(long now) {
        long due = Long.MAX_VALUE;
        for (Directory from : directories) {
            Say say = from.say(now);
            long step = say == Say.FRESH ? FRESH_FOR : say == Say.OLD ? OLD_FOR : 0;
            due = step == 0 ? due : Math.min(due, from.renewed + step);
        }
        return due;
    }

    /** One machine by all that directories have said of it; null where none did. */
    private Belief believe(long now, long id) {
        Life life = null;
        boolean fresh = false;
        boolean onlyVoid = true;
        boolean whole = false;
        for (Directory from : directories) {
            Say say = from.say(now);
            Life said = from.lines.get(id);
            whole |= say == Say.FRESH && from.whole;
            if (said != null) {
                life = life == null ? said : life.join(said);
                fresh |= say == Say.FRESH;
                onlyVoid &= say == Say.VOID;
            }
        }
        if (life == null) {
            return null;
        }
        Why why =
                life.left()
                        ? Why.LEFT
                        : life.silent()
                                ? Why.SILENT
                                : onlyVoid && whole
                                        ? Why.OUTLIVED
                                        : life.drains()
                                                ? Why.DRAINS
                                                : fresh ? Why.LISTED : Why.LIST_OLD;
        Phase phase = why == Why.OUTLIVED ? Phase.GONE : life.phase();
        Start start = starts.get(id);
        long since = start != null && start.start == life.start() ? start.since : 0;
        return new Belief(new Exchange(id, life.number(), phase, since), life.address(), why);
    }

    /**
     * A machine that DNS names counts only while no directory knows its number, and never at a
     * place one called off.
     */
    private Belief fromDns(long now, long id) {
        for (Map.Entry<Integer, Located> each : located.entrySet()) {
            Located it = each.getValue();
            if (dnsId(it) != id) {
                continue;
            }
            Why why = Why.DNS_ONLY;
            for (Map.Entry<Integer, Located> other : located.entrySet()) {
                // A router serves one number: an address of two is a wildcard's, or a mistake, and
                // whose nobody knows.
                if (!other.getKey().equals(each.getKey())
                        && other.getValue().address.equals(it.address)) {
                    why = Why.DNS_SHARED;
                }
            }
            for (Directory from : directories) {
                for (Map.Entry<Long, Life> line : from.lines.entrySet()) {
                    Belief known =
                            line.getValue().number() == each.getKey()
                                    ? believe(now, line.getKey())
                                    : null;
                    if (known != null
                            && (known.exchange().phase() != Phase.GONE
                                    || known.address().equals(it.address))) {
                        why = Why.DNS_YIELDS;
                    }
                }
            }
            Phase phase = why == Why.DNS_ONLY ? Phase.READY : Phase.GONE;
            return new Belief(
                    new Exchange(id, each.getKey(), phase, it.seen.get(it.address).since),
                    it.address,
                    why);
        }
        return null;
    }

    /** What is believed of a machine; null where nothing is. */
    public Belief belief(long id) {
        return believed.get(id);
    }

    public Collection<Belief> beliefs() {
        return believed.values();
    }

    /**
     * Numbers of which some machine is known, gone ones too: a session to one is refused, not
     * unknown.
     */
    public Set<Integer> numbers() {
        Set<Integer> numbers = new TreeSet<>();
        believed.values().forEach(belief -> numbers.add(belief.exchange().number()));
        return numbers;
    }

    public Say say(long now, int source) {
        return directories.get(source).say(now);
    }

    /** All that directories have said, for the store and for who asks why. */
    public List<Said> said() {
        List<Said> all = new ArrayList<>();
        for (Directory from : directories) {
            from.lines.forEach(
                    (id, life) -> {
                        Start start = starts.get(id);
                        all.add(
                                new Said(
                                        from.name,
                                        id,
                                        life,
                                        start != null && start.start == life.start()
                                                ? start.since
                                                : 0,
                                        from.renewed));
                    });
        }
        return all;
    }
}
