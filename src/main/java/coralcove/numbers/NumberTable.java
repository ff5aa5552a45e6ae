package coralcove.numbers;

import java.util.Arrays;
import java.util.List;
import java.util.Map;

/**
 * One immutable version of the number table: dialling rules normalize what was dialled, the trie
 * finds the longest matching prefix, and calendars say when something is open. Tables made by
 * {@link #withChanges} share what did not change.
 */
public final class NumberTable {
    /**
     * A rule that turns a dialled string into a full number; the first one that matches is applied.
     * It matches strings that begin with {@code prefix} or, if that is null, strings of {@code
     * minDigits} to {@code maxDigits} digits. The prefix is replaced by {@code replacement}.
     */
    public record DialingRule(String prefix, int minDigits, int maxDigits, String replacement) {
        boolean matches(String dialled) {
            return prefix != null
                    ? dialled.startsWith(prefix)
                    : dialled.length() >= minDigits
                            && dialled.length() <= maxDigits
                            && !dialled.startsWith("+");
        }

        String apply(String dialled) {
            return replacement + (prefix == null ? dialled : dialled.substring(prefix.length()));
        }

        @Override
        public String toString() {
            return (prefix != null ? prefix : minDigits + "-" + maxDigits + " digits")
                    + " -> "
                    + replacement;
        }
    }

    /** A change of one prefix: its new destination, or null if the prefix is removed. */
    public record PrefixChange(long prefix, Destination destination) {}

    /** Characters in a dialled string that are ignored (RFC 3966 section 5.1.1). */
    private static final String VISUAL_SEPARATORS = "-.() ";

    private final long version;
    private final List<DialingRule> rules;
    private final Map<String, OpeningHours> calendars;
    private final PrefixTrie trie;

    /**
     * Indexed by the trie's values; entries from {@link #destinationsEnd} on belong to newer
     * tables.
     */
    private final Destination[] destinationsByValue;

    private final int destinationsEnd;

    /**
     * {@code destinations} is indexed by the trie's values; those below {@code destinationsEnd}
     * belong to this table.
     */
    public NumberTable(
            long version,
            List<DialingRule> rules,
            Map<String, OpeningHours> calendars,
            PrefixTrie trie,
            Destination[] destinations,
            int destinationsEnd) {
        this.version = version;
        this.rules = rules;
        this.calendars = calendars;
        this.trie = trie;
        this.destinationsByValue = destinations;
        this.destinationsEnd = destinationsEnd;
    }

    public long version() {
        return version;
    }

    public List<DialingRule> rules() {
        return rules;
    }

    public Map<String, OpeningHours> calendars() {
        return calendars;
    }

    public PrefixTrie trie() {
        return trie;
    }

    /** The number of distinct destinations; their values run from 1 to this. */
    public int destinationCount() {
        return destinationsEnd - 1;
    }

    /** The destination that belongs to a value of the trie. */
    public Destination destination(int value) {
        return destinationsByValue[value];
    }

    /** The rule that applies to a dialled string, null if none does. */
    public DialingRule ruleFor(String dialled) {
        return firstMatchingRule(withoutSeparators(dialled));
    }

    private DialingRule firstMatchingRule(String stripped) {
        if (stripped.startsWith("+")) {
            return null;
        }
        for (DialingRule rule : rules) {
            if (rule.matches(stripped)) {
                return rule;
            }
        }
        return null;
    }

    /**
     * The packed number ({@link Digits}) that a dialled string stands for.
     *
     * @throws IllegalArgumentException with the reason if the string is not a number
     */
    public long toNumber(String dialled) {
        String stripped = withoutSeparators(dialled);
        DialingRule rule = firstMatchingRule(stripped);
        String full = rule == null ? stripped : rule.apply(stripped);
        String digits = full.startsWith("+") ? full.substring(1) : full;
        if (digits.isEmpty()) {
            throw new IllegalArgumentException("has no digits");
        }
        return Digits.pack(digits);
    }

    private static String withoutSeparators(String dialled) {
        StringBuilder stripped = new StringBuilder(dialled.length());
        for (int i = 0; i < dialled.length(); i++) {
            if (VISUAL_SEPARATORS.indexOf(dialled.charAt(i)) < 0) {
                stripped.append(dialled.charAt(i));
            }
        }
        return stripped.toString();
    }

    /**
     * The next version: this table with these changes. Removing a prefix that does not exist is not
     * an error.
     */
    public NumberTable withChanges(long newVersion, List<PrefixChange> changes) {
        if (newVersion <= version) {
            throw new IllegalArgumentException(
                    "version " + newVersion + " is not after " + version);
        }
        PrefixTrie newTrie = trie;
        // Copied rather than appended to the shared array: a few thousand references at most,
        // unless nearly every prefix has a destination of its own.
        Destination[] newDestinations =
                Arrays.copyOf(destinationsByValue, destinationsEnd + changes.size());
        int used = destinationsEnd;
        for (PrefixChange change : changes) {
            if (change.destination == null) {
                newTrie = newTrie.without(change.prefix);
            } else {
                newDestinations[used] = change.destination;
                newTrie = newTrie.with(change.prefix, used++);
            }
        }
        return new NumberTable(
                newVersion,
                rules,
                calendars,
                newTrie.shouldPack() ? newTrie.packed() : newTrie,
                newDestinations,
                used);
    }
}
