package coralcove.dns;

import coralcove.dns.DnsMessage.Resource;
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
 * Keeps what DNS says of where each number's router is: SRV (RFC 2782), then the addresses of its
 * targets, from the additional data or asked for, IPv4 and IPv6. Records are asked for again
 * shortly before their end, at moments spread by chance. It tells addresses of the best priority
 * that has any; what they are worth is decided elsewhere.
 */
public final class Locator {
    /** What is told of a number; {@code stale}: nobody answers, and this is past its life. */
    public interface Out {
        void located(long now, int number, List<String> addresses, boolean stale);

        void log(String event, String detail);
    }

    /**
     * Targets of one number that are looked at, the best first; 200 records are read, and these of
     * them used.
     */
    private static final int MOST_TARGETS = 8;

    /** µs until a name is asked for again of which nobody knew anything. */
    private static final long AGAIN = 5_000_000;

    /**
     * µs between two questions for one name at the most: a day's life must not hide a move for a
     * day.
     */
    private static final long EVERY_MOST = 600_000_000;

    /**
     * Part of its life after which a record is looked at again, and what chance takes off it: in
     * its last tenth it is asked for anew while it still holds, so that none expires under a burst
     * of calls.
     */
    private static final double ASK_FROM = 0.99;

    private static final double ASK_SPREAD = 0.08;

    private static final class Watched {
        final int number;
        final String name;

        Watched(int number, String name) {
            this.number = number;
            this.name = name;
        }
    }

    /** One answer being completed with the addresses of its targets, group by group. */
    private final class Search {
        final Watched of;
        final List<List<Srv>> groups;
        final List<Resource> additional;
        final Map<Srv, List<String>> found = new LinkedHashMap<>();
        long life;
        boolean stale;
        boolean failed;
        int group;
        int open;

        Search(Watched of, List<List<Srv>> groups, Lookups.Found srv) {
            this.of = of;
            this.groups = groups;
            additional = srv.additional();
            life = srv.life();
            stale = srv.worth() == Lookups.Worth.STALE;
        }

        void next(long now) {
            while (true) {
                if (group >= groups.size()) {
                    done(now, List.of());
                    return;
                }
                List<Srv> targets =
                        groups.get(group)
                                .subList(0, Math.min(MOST_TARGETS, groups.get(group).size()));
                found.clear();
                // One more until all are asked, so that answers from memory do not end the group
                // early.
                open = 1;
                targets.forEach(each -> target(now, each));
                open--;
                if (open > 0 || ended(now)) {
                    return;
                }
            }
        }

        private void target(long now, Srv target) {
            List<String> addresses = new ArrayList<>();
            found.put(target, addresses);
            List<Resource> along =
                    additional.stream()
                            .filter(
                                    r ->
                                            r.name().equals(target.target())
                                                    && (r.type() == DnsMessage.A
                                                            || r.type() == DnsMessage.AAAA))
                            .toList();
            if (!along.isEmpty()) {
                along.forEach(r -> add(addresses, r, target.port()));
                life =
                        Math.min(
                                life,
                                along.stream().mapToLong(Resource::life).min().orElse(0)
                                        * 1_000_000);
                return;
            }
            for (int type : new int[] {DnsMessage.A, DnsMessage.AAAA}) {
                open++;
                lookups.ask(
                        now,
                        target.target(),
                        type,
                        (at, answer) -> {
                            answer.records().forEach(r -> add(addresses, r, target.port()));
                            stale |= answer.worth() == Lookups.Worth.STALE;
                            failed |= answer.worth() == Lookups.Worth.NONE;
                            life =
                                    answer.worth() == Lookups.Worth.FRESH
                                            ? Math.min(life, answer.life())
                                            : 0;
                            open--;
                            if (open == 0 && !ended(at)) {
                                next(at);
                            }
                        },
                        questions);
            }
        }

        /**
         * Whether this group has an address, so that the search has ended; else the next group is
         * up.
         */
        private boolean ended(long now) {
            List<String> all = found.values().stream().flatMap(List::stream).distinct().toList();
            group++;
            if (all.isEmpty()) {
                return false;
            }
            done(now, all);
            return true;
        }

        private void done(long now, List<String> addresses) {
            // Nothing found while somebody did not answer is no proof that there is nothing.
            if (!addresses.isEmpty() || !failed) {
                out.located(now, of.number, addresses, stale);
            }
            again(now, of, addresses.isEmpty() && failed || stale ? AGAIN : life);
        }
    }

    private final Lookups lookups = new Lookups();
    private final Lookups.Out questions;
    private final RandomGenerator chance;
    private final Out out;
    private final String transport;
    private final List<Watched> watched = new ArrayList<>();
    private final TreeMap<Long, List<Watched>> due = new TreeMap<>();

    /**
     * {@code transport} is udp or tcp; {@code names} gives a number's name, without the service
     * before it.
     */
    public Locator(
            List<Integer> numbers,
            IntFunction<String> names,
            String transport,
            RandomGenerator chance,
            Lookups.Out questions,
            Out out) {
        this.questions = questions;
        this.chance = chance;
        this.out = out;
        this.transport = transport;
        numbers.forEach(
                number ->
                        watched.add(
                                new Watched(
                                        number, "_sip._" + transport + "." + names.apply(number))));
    }

    public void start(long now) {
        watched.forEach(each -> arm(now, each));
    }

    private void arm(long at, Watched it) {
        due.computeIfAbsent(at, t -> new ArrayList<>()).add(it);
    }

    private void again(long now, Watched it, long life) {
        double part = ASK_FROM - ASK_SPREAD * chance.nextDouble();
        arm(now + Math.max(1_000_000, (long) (Math.min(EVERY_MOST, life) * part)), it);
    }

    public void tick(long now) {
        while (!due.isEmpty() && due.firstKey() <= now) {
            for (Watched each : due.pollFirstEntry().getValue()) {
                lookups.ask(
                        now,
                        each.name,
                        DnsMessage.SRV,
                        (at, found) -> srv(at, each, found),
                        questions);
            }
        }
    }

    public long due() {
        return due.isEmpty() ? Long.MAX_VALUE : due.firstKey();
    }

    public void answered(long now, String name, int type, Resolver.Result result) {
        lookups.answered(now, name, type, result);
    }

    private void srv(long now, Watched it, Lookups.Found found) {
        if (found.worth() == Lookups.Worth.NONE) {
            out.log("dns-none", it.name + ": " + found.why());
            again(now, it, AGAIN);
            return;
        }
        List<Srv> records = new ArrayList<>();
        for (Resource each : found.records()) {
            try {
                records.add(Srv.read(each.data()));
            } catch (BadDns e) {
                out.log("dns-bad", it.name + ": " + e.getMessage());
            }
        }
        boolean notThere =
                records.isEmpty() || records.size() == 1 && records.get(0).target().isEmpty();
        if (notThere) {
            out.located(now, it.number, List.of(), found.worth() == Lookups.Worth.STALE);
            again(now, it, found.life());
        } else {
            records.removeIf(each -> each.target().isEmpty());
            new Search(it, Srv.order(records, chance), found).next(now);
        }
    }

    private void add(List<String> addresses, Resource record, int port) {
        int bytes = record.type() == DnsMessage.A ? 4 : record.type() == DnsMessage.AAAA ? 16 : 0;
        if (bytes == 0 || record.data().length != bytes || port == 0) {
            return;
        }
        try {
            String host = InetAddress.getByAddress(record.data()).getHostAddress();
            addresses.add(transport + ":" + (bytes == 4 ? host : "[" + host + "]") + ":" + port);
        } catch (UnknownHostException e) {
            throw new IllegalStateException("an address of " + bytes + " bytes is one", e);
        }
    }

    public Map<String, Long> counts() {
        return lookups.counts();
    }
}
