package coralcove.dns;

import coralcove.dns.DnsMessage.Resource;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * What a stub resolver remembers: answers for their lives, that there is none (RFC 2308), and that
 * nobody answered. One question is in flight for any number that wait for it; an answer in use is
 * asked for again before its end; one past its end is used within a bound when nobody answers (RFC
 * 8767). Aliases are followed within a bound. No sockets, no clock.
 */
public final class Lookups {
    /** How good an answer is: within its life, past it, or there is none to be had. */
    public enum Worth {
        FRESH,
        STALE,
        NONE
    }

    /**
     * Records of the type asked for, none where there is no such name or data; {@code life} µs,
     * {@code why} where NONE.
     */
    public record Found(
            Worth worth,
            List<Resource> records,
            List<Resource> additional,
            long life,
            String why) {}

    /** Hears what was found, once. */
    public interface Waiter {
        void found(long now, Found found);
    }

    /** Asks a name server; its result comes by {@link #answered}. */
    public interface Out {
        void question(String name, int type);
    }

    private static final class Entry {
        List<Resource> records = List.of();
        List<Resource> additional = List.of();
        long from;
        long until = Long.MIN_VALUE;
        long failedAt = Long.MIN_VALUE;
        String why = "";
        List<Waiter> waiting;

        boolean known() {
            return until != Long.MIN_VALUE;
        }
    }

    /**
     * Names remembered at most; past it the one unused for longest is forgotten, unless it is being
     * asked for.
     */
    private static final int MOST = 20_000;

    /** Who may wait for one answer; past it a question has failed at once. */
    private static final int MOST_WAITING = 200_000;

    /** µs: lives shorter are taken for this, so that no server makes a router ask without end. */
    private static final long LIFE_LEAST = 1_000_000;

    /** µs: lives longer are taken for this: a day, since an exchange that moves must be found. */
    private static final long LIFE_MOST = 86_400_000_000L;

    /**
     * µs for which it is remembered that there is none, at most (RFC 2308 section 5 speaks of
     * hours).
     */
    private static final long NONE_MOST = 300_000_000;

    /**
     * µs past its life in which an answer may be used while nobody answers (RFC 8767: one to three
     * days).
     */
    public static final long STALE_FOR = 86_400_000_000L;

    /**
     * µs after a failure in which the servers are not asked again (RFC 2308 section 7: five minutes
     * at most).
     */
    private static final long FAILED_FOR = 5_000_000;

    /** Part of its life from which on an answer that is used is asked for again. */
    private static final double REFRESH_FROM = 0.9;

    /** Aliases followed of one name: more is a circle, or as good as one. */
    private static final int MOST_ALIASES = 8;

    private final LinkedHashMap<String, Entry> entries = new LinkedHashMap<>(64, 0.75f, true);
    private final Map<String, Long> counts = new TreeMap<>();
    private long waiting;

    private static String key(String name, int type) {
        return type + " " + name;
    }

    /** Looks up; the waiter is told at once where the answer is remembered. */
    public void ask(long now, String name, int type, Waiter waiter, Out out) {
        ask(now, name, type, 0, waiter, out);
    }

    private void ask(long now, String name, int type, int aliases, Waiter whole, Out out) {
        Waiter waiter = (at, found) -> follow(at, name, type, aliases, found, whole, out);
        Entry entry = entries.computeIfAbsent(key(name, type), k -> new Entry());
        if (now < entry.until) {
            count("remembered");
            long left = entry.until - now;
            if (entry.waiting == null
                    && now - entry.from >= REFRESH_FROM * (entry.until - entry.from)
                    && !rests(now, entry)) {
                count("ahead");
                entry.waiting = new ArrayList<>();
                out.question(name, type);
            }
            waiter.found(now, new Found(Worth.FRESH, entry.records, entry.additional, left, ""));
        } else if (entry.waiting == null && rests(now, entry)) {
            waiter.found(now, past(now, entry));
        } else if (waiting >= MOST_WAITING) {
            count("too-many-waiting");
            waiter.found(now, past(now, entry));
        } else {
            boolean first = entry.waiting == null;
            entry.waiting = first ? new ArrayList<>() : entry.waiting;
            entry.waiting.add(waiter);
            waiting++;
            if (first) {
                count("asked");
                bound();
                out.question(name, type);
            } else {
                count("joined");
            }
        }
    }

    /** Whether nobody answered a moment ago. */
    private static boolean rests(long now, Entry entry) {
        return entry.failedAt != Long.MIN_VALUE && now - entry.failedAt < FAILED_FOR;
    }

    private void bound() {
        var eldest = entries.entrySet().iterator();
        while (entries.size() > MOST && eldest.hasNext()) {
            if (eldest.next().getValue().waiting == null) {
                eldest.remove();
            }
        }
    }

    /** What there is when nobody answers. */
    private Found past(long now, Entry entry) {
        boolean usable = entry.known() && !entry.records.isEmpty() && now < entry.until + STALE_FOR;
        count(usable ? "stale" : "none");
        return usable
                ? new Found(Worth.STALE, entry.records, entry.additional, 0, entry.why)
                : new Found(
                        Worth.NONE,
                        List.of(),
                        List.of(),
                        0,
                        entry.why.isEmpty() ? "too many wait" : entry.why);
    }

    /** Where the answer ended in an alias that it does not resolve, the alias is asked for. */
    private void follow(
            long now, String name, int type, int aliases, Found found, Waiter waiter, Out out) {
        if (found.records.size() != 1
                || found.records.get(0).type() != DnsMessage.CNAME
                || type == DnsMessage.CNAME) {
            waiter.found(now, found);
            return;
        }
        String target;
        try {
            target = DnsMessage.plainName(found.records.get(0).data(), 0);
        } catch (BadDns e) {
            target = "";
        }
        if (aliases >= MOST_ALIASES || target.isEmpty() || target.equals(name)) {
            count("alias-circle");
            waiter.found(
                    now, new Found(Worth.NONE, List.of(), List.of(), 0, "aliases without end"));
            return;
        }
        ask(
                now,
                target,
                type,
                aliases + 1,
                (at, next) ->
                        waiter.found(
                                at,
                                new Found(
                                        next.worth == Worth.NONE
                                                ? Worth.NONE
                                                : next.worth == Worth.STALE
                                                                || found.worth == Worth.STALE
                                                        ? Worth.STALE
                                                        : Worth.FRESH,
                                        next.records,
                                        next.additional,
                                        Math.min(found.life, next.life),
                                        next.why)),
                out);
    }

    /** The result of a question that {@link Out} was asked for. */
    public void answered(long now, String name, int type, Resolver.Result result) {
        Entry entry = entries.get(key(name, type));
        if (entry == null || entry.waiting == null) {
            return;
        }
        List<Waiter> all = entry.waiting;
        entry.waiting = null;
        waiting -= all.size();
        DnsMessage answer = result.answer();
        if (answer == null) {
            entry.failedAt = now;
            entry.why = result.failure();
            all.forEach(
                    each ->
                            each.found(
                                    now,
                                    now < entry.until
                                            ? new Found(
                                                    Worth.FRESH,
                                                    entry.records,
                                                    entry.additional,
                                                    entry.until - now,
                                                    "")
                                            : past(now, entry)));
            return;
        }
        List<Resource> records = new ArrayList<>();
        long life = chain(answer, name, type, records);
        life =
                records.isEmpty()
                        ? Math.min(NONE_MOST, answer.negativeLife() * 1_000_000)
                        : Math.min(LIFE_MOST, life * 1_000_000);
        entry.records = List.copyOf(records);
        entry.additional = answer.additional();
        entry.from = now;
        entry.until = now + Math.max(LIFE_LEAST, life);
        entry.failedAt = Long.MIN_VALUE;
        Found found =
                new Found(Worth.FRESH, entry.records, entry.additional, entry.until - now, "");
        all.forEach(each -> each.found(now, found));
    }

    /**
     * The records at the end of the answer's aliases, or the last alias; the least life on the way,
     * in seconds.
     */
    private static long chain(DnsMessage answer, String name, int type, List<Resource> into) {
        Map<String, Resource> aliases = new HashMap<>();
        answer.answers().stream()
                .filter(r -> r.type() == DnsMessage.CNAME)
                .forEach(r -> aliases.put(r.name(), r));
        String at = name;
        long life = Long.MAX_VALUE / 1_000_000;
        Resource last = null;
        for (int i = 0; i <= MOST_ALIASES; i++) {
            for (Resource each : answer.answers()) {
                if (each.name().equals(at) && each.type() == type) {
                    into.add(each);
                    life = Math.min(life, each.life());
                }
            }
            Resource alias = aliases.get(at);
            if (!into.isEmpty() || alias == null) {
                break;
            }
            last = alias;
            life = Math.min(life, alias.life());
            try {
                at = DnsMessage.plainName(alias.data(), 0);
            } catch (BadDns e) {
                break;
            }
        }
        if (into.isEmpty() && last != null) {
            into.add(last);
        }
        return life;
    }

    public Map<String, Long> counts() {
        return counts;
    }

    private void count(String what) {
        counts.merge(what, 1L, Long::sum);
    }
}
