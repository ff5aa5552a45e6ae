package coralcove.numbers;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Which table is in service, and which old ones are still needed: a session keeps the table it
 * began with until it ends. At most a stated number is kept; past it the oldest goes, and its
 * sessions that have no far end yet begin again with the table in service, while those that have
 * one keep it. One thread owns it.
 */
public final class Tables {
    private static final class Kept {
        final NumberTable table;
        int sessions;

        Kept(NumberTable table) {
            this.table = table;
        }
    }

    private final int most;
    private final Map<Long, Kept> kept = new LinkedHashMap<>();
    private Kept current;

    /** Keeps at most {@code most} tables, the one in service counted. */
    public Tables(int most, NumberTable first) {
        if (most < 1) {
            throw new IllegalArgumentException("at least the table in service is kept");
        }
        this.most = most;
        current = new Kept(first);
        kept.put(first.version(), current);
    }

    public NumberTable current() {
        return current.table;
    }

    /** Tables kept, the one in service counted. */
    public int count() {
        return kept.size();
    }

    /** Sessions that hold a table. */
    public int sessions() {
        return kept.values().stream().mapToInt(k -> k.sessions).sum();
    }

    /** A session begins, with the table in service. */
    public NumberTable enter() {
        current.sessions++;
        return current.table;
    }

    /** A session that began with this version has ended. */
    public void leave(long version) {
        Kept it = kept.get(version);
        if (it != null && --it.sessions == 0 && it != current) {
            kept.remove(version);
        }
    }

    /** Whether a session may go on with this version. */
    public boolean has(long version) {
        return kept.containsKey(version);
    }

    /**
     * Puts a table in service; the versions given back are let go although sessions hold them. A
     * version that is not after the one in service is an {@link IllegalArgumentException}, and
     * nothing changes.
     */
    public List<Long> replace(NumberTable table) {
        if (table.version() <= current.table.version()) {
            throw new IllegalArgumentException(
                    "version "
                            + table.version()
                            + " is not after "
                            + current.table.version()
                            + ", which is in service");
        }
        if (current.sessions == 0) {
            kept.remove(current.table.version());
        }
        current = new Kept(table);
        kept.put(table.version(), current);
        List<Long> gone = new ArrayList<>();
        for (Iterator<Long> oldest = kept.keySet().iterator();
                kept.size() > most && oldest.hasNext(); ) {
            gone.add(oldest.next());
            oldest.remove();
        }
        return gone;
    }
}
