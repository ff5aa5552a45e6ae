package coralcove.numbers;

import java.util.Arrays;
import java.util.List;
import java.util.Map;

/**
 * One version of all that is known of numbers; it never changes. The rules make a number of what
 * was dialled, the trie finds the longest prefix, calendars open and close. Tables made by {@link
 * #edited} share what did not change.
 */
public final class NumberTable {
    /**
     * What is dialled becomes a number by the first rule that fits: it begins with {@code begins},
     * or has {@code least} to {@code most} digits where that is null; what it begins with is
     * replaced by {@code put}.
     */
    public record Rule(String begins, int least, int most, String put) {
        boolean fits(String dialled) {
            return begins != null
                    ? dialled.startsWith(begins)
                    : dialled.length() >= least
                            && dialled.length() <= most
                            && !dialled.startsWith("+");
        }

        String apply(String dialled) {
            return put + (begins == null ? dialled : dialled.substring(begins.length()));
        }

        @Override
        public String toString() {
            return (begins != null ? begins : least + "-" + most + " digits") + " -> " + put;
        }
    }

    /** One edit: a prefix and where it goes now, null where it goes away. */
    public record Change(long prefix, Destination to) {}

    /**
     * What can be dialled: digits, a plus at the start, and visual separators (RFC 3966 section
     * 5.1.1).
     */
    private static final String SEPARATORS = "-.() ";

    private final long version;
    private final List<Rule> rules;
    private final Map<String, Hours> calendars;
    private final PrefixTrie trie;

    /** Place i is of value i; places past {@link #known} belong to newer tables. */
    private final Destination[] destinations;

    private final int known;

    public NumberTable(
            long version,
            List<Rule> rules,
            Map<String, Hours> calendars,
            PrefixTrie trie,
            Destination[] destinations,
            int known) {
        this.version = version;
        this.rules = rules;
        this.calendars = calendars;
        this.trie = trie;
        this.destinations = destinations;
        this.known = known;
    }

    public long version() {
        return version;
    }

    public List<Rule> rules() {
        return rules;
    }

    public Map<String, Hours> calendars() {
        return calendars;
    }

    public PrefixTrie trie() {
        return trie;
    }

    public int destinations() {
        return known - 1;
    }

    public Destination destination(int value) {
        return destinations[value];
    }

    /** The rule that makes a number of what was dialled, null if none is needed. */
    public Rule rule(String dialled) {
        return ruleOf(plain(dialled));
    }

    private Rule ruleOf(String plain) {
        if (plain.startsWith("+")) {
            return null;
        }
        for (Rule rule : rules) {
            if (rule.fits(plain)) {
                return rule;
            }
        }
        return null;
    }

    /**
     * The number meant by what was dialled; an {@link IllegalArgumentException} says why it can be
     * none.
     */
    public long number(String dialled) {
        String plain = plain(dialled);
        Rule rule = ruleOf(plain);
        String full = rule == null ? plain : rule.apply(plain);
        String digits = full.startsWith("+") ? full.substring(1) : full;
        if (digits.isEmpty()) {
            throw new IllegalArgumentException("has no digits");
        }
        return Digits.pack(digits);
    }

    private static String plain(String dialled) {
        StringBuilder plain = new StringBuilder(dialled.length());
        for (int i = 0; i < dialled.length(); i++) {
            if (SEPARATORS.indexOf(dialled.charAt(i)) < 0) {
                plain.append(dialled.charAt(i));
            }
        }
        return plain.toString();
    }

    /**
     * The next table: these edits and nothing else. What was not there before is no error to take
     * away.
     */
    public NumberTable edited(long newVersion, List<Change> changes) {
        if (newVersion <= version) {
            throw new IllegalArgumentException(
                    "version " + newVersion + " is not after " + version);
        }
        PrefixTrie next = trie;
        // Copied, not written behind: some thousand references at most unless each prefix goes its
        // own way.
        Destination[] all = Arrays.copyOf(destinations, known + changes.size());
        int used = known;
        for (Change change : changes) {
            if (change.to == null) {
                next = next.without(change.prefix);
            } else {
                all[used] = change.to;
                next = next.with(change.prefix, used++);
            }
        }
        return new NumberTable(
                newVersion,
                rules,
                calendars,
                next.worthPacking() ? next.packed() : next,
                all,
                used);
    }
}
