package coralcove.edge;

import coralcove.numbers.NumberTable;
import coralcove.numbers.PortabilityCache;
import coralcove.numbers.TableVersions;

/**
 * What one router needs to find the far ends of dialled numbers: its number tables, its cache of
 * ported numbers, and a client of the portability server. The answer to a query is delivered by
 * {@link EdgeCore#portabilityAnswered}.
 */
public final class NumberAnalysisContext {
    /** Sends queries to the portability server. */
    public interface PortabilityClient {
        /**
         * Queries the server about a number. Every query ends with one call of {@link
         * EdgeCore#portabilityAnswered} on the router's own thread.
         */
        void query(long now, long number);
    }

    final TableVersions numberTables;
    final PortabilityCache porting;
    final PortabilityClient portabilityClient;

    /** Holds at most {@code maxTables} tables, including the one in service. */
    public NumberAnalysisContext(
            int maxTables,
            NumberTable first,
            PortabilityCache.Settings settings,
            PortabilityClient portabilityClient) {
        numberTables = new TableVersions(maxTables, first);
        porting = new PortabilityCache(settings);
        this.portabilityClient = portabilityClient;
    }

    /** Number of tables held now. */
    public int tableCount() {
        return numberTables.retainedCount();
    }

    /**
     * Four counts: answered from memory, queries sent, answered from entries past their lifetime,
     * and calls sent to the donor exchange.
     */
    public long[] portabilityCounts() {
        return porting.counters();
    }
}
