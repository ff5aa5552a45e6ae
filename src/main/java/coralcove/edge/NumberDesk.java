package coralcove.edge;

import coralcove.numbers.NumberTable;
import coralcove.numbers.Porting;
import coralcove.numbers.Tables;

/**
 * What one router needs to make far ends of dialled numbers: its tables, what it knows of moved
 * numbers, and the way to ask the portability server. The answer to a question comes by {@link
 * EdgeCore#ported}.
 */
public final class NumberDesk {
    /** Sends a question; each ends by {@link EdgeCore#ported} once, on the router's own thread. */
    public interface Asker {
        void ask(long now, long number);
    }

    final Tables tables;
    final Porting porting;
    final Asker asker;

    /** Keeps at most {@code mostTables}, the one in service counted. */
    public NumberDesk(int mostTables, NumberTable first, Porting.Settings settings, Asker asker) {
        tables = new Tables(mostTables, first);
        porting = new Porting(settings);
        this.asker = asker;
    }

    /** Tables kept now. */
    public int tables() {
        return tables.count();
    }

    /** Answered from memory, questions sent, answered past their lifetime, sent to the donor. */
    public long[] counts() {
        return porting.counts();
    }
}
