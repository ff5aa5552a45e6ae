package coralcove.numbers;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * The number table in service and the older versions still in use: a session uses the table it
 * began with until it ends. At most a given number of tables is retained; past that the oldest is
 * discarded. Its sessions that have no far end yet start again with the table in service, while
 * those that have one keep it. Not thread-safe.
 */
public final class TableVersions {
    /** A table and how many sessions use it. */
    private static final class RetainedTable {
        final NumberTable table;
        int sessionCount;

        RetainedTable(NumberTable table) {
            this.table = table;
        }
    }

    private final int maxTables;
    private final Map<Long, RetainedTable> retained = new LinkedHashMap<>();
    private RetainedTable current;

    /** Retains at most {@code maxTables} tables, including the one in service. */
    public TableVersions(int maxTables, NumberTable first) {
        if (maxTables < 1) {
            throw new IllegalArgumentException("the maximum number of tables must be at least 1");
        }
        this.maxTables = maxTables;
        current = new RetainedTable(first);
        retained.put(first.version(), current);
    }

    /** The table in service. */
    public NumberTable current() {
        return current.table;
    }

    /** The number of tables retained, including the one in service. */
    public int retainedCount() {
        return retained.size();
    }

    /** The number of sessions that use a retained table. */
    public int sessionCount() {
        return retained.values().stream().mapToInt(each -> each.sessionCount).sum();
    }

    /** Registers a new session as a user of the table in service, which is returned. */
    public NumberTable acquire() {
        current.sessionCount++;
        return current.table;
    }

    /**
     * Ends a session's use of the table with this version; an old table without users is discarded.
     */
    public void release(long version) {
        RetainedTable entry = retained.get(version);
        if (entry != null && --entry.sessionCount == 0 && entry != current) {
            retained.remove(version);
        }
    }

    /**
     * Whether the table with this version is still retained, so that its sessions may continue with
     * it.
     */
    public boolean isRetained(long version) {
        return retained.containsKey(version);
    }

    /**
     * Puts a table in service.
     *
     * @return the versions that were discarded although sessions still use them
     * @throws IllegalArgumentException if the version is not higher than the one in service;
     *     nothing changes then
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
        if (current.sessionCount == 0) {
            retained.remove(current.table.version());
        }
        current = new RetainedTable(table);
        retained.put(table.version(), current);
        List<Long> discarded = new ArrayList<>();
        for (Iterator<Long> oldest = retained.keySet().iterator();
                retained.size() > maxTables && oldest.hasNext(); ) {
            discarded.add(oldest.next());
            oldest.remove();
        }
        return discarded;
    }
}
