package coralcove.sources.store;

import coralcove.sources.Liveness;
import coralcove.sources.Roster;
import coralcove.store.EntryStore;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Consumer;
import java.util.zip.CRC32C;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Stores what directories have reported on the router's own disk, for a restart while no directory
 * is up. There is one entry for each source and exchange instance: a line of text that starts with
 * the format version and ends with its CRC-32C. Only the newest state is written, on a separate
 * thread.
 */
public final class RosterStore implements AutoCloseable {
    private static final String FORMAT_VERSION = "1";

    /**
     * Interval between two writes: the most that a kill loses, and far less than the time a
     * directory takes to come back.
     */
    private static final long WRITE_INTERVAL_MS = 500;

    private static final int FIELDS = 13;

    private final EntryStore<String, Roster.SourceReport> store;
    private final AtomicReference<List<Roster.SourceReport>> pendingReports =
            new AtomicReference<>();
    private final Thread writer = new Thread(this::writePeriodically, "roster-store");

    /** Opens or creates the store; {@code warnings} receives what could not be read or written. */
    public RosterStore(Path path, Consumer<String> warnings) {
        store =
                new EntryStore<>(
                        path,
                        new EntryStore.Format<>(
                                "roster",
                                report -> report.source() + " " + report.id(),
                                RosterStore::encode,
                                RosterStore::decode),
                        warnings);
    }

    /** A router whose roster can be restored from a store. */
    public interface RestorableRouter {
        /**
         * Restores the stored reports, and sends the complete set of reports to {@code sink} from
         * now on.
         *
         * @return the number of stored reports used
         */
        int restore(List<Roster.SourceReport> stored, Consumer<List<Roster.SourceReport>> sink);
    }

    /** Restores a router from the store at {@code path} and stores its reports until it exits. */
    public static void restoreAndStore(Path path, String node, RestorableRouter router) {
        Logger log = LoggerFactory.getLogger(node);
        RosterStore store = new RosterStore(path, warning -> log.warn("roster: {}", warning));
        int restored = router.restore(store.read(), store::save);
        store.start();
        log.info("roster: {} entries restored from the previous run", restored);
    }

    /** All valid entries; must be called before {@link #start}. */
    public List<Roster.SourceReport> read() {
        return store.read();
    }

    /** Starts the writer thread. */
    public void start() {
        writer.setDaemon(true);
        writer.start();
    }

    /** Sets what the store is to hold from now on. Called on the router's thread; never blocks. */
    public void save(List<Roster.SourceReport> reports) {
        pendingReports.set(reports);
    }

    private void writePeriodically() {
        try {
            while (true) {
                Thread.sleep(WRITE_INTERVAL_MS);
                flush();
            }
        } catch (InterruptedException e) {
            flush();
        }
    }

    private void flush() {
        List<Roster.SourceReport> reports = pendingReports.getAndSet(null);
        if (reports != null) {
            store.replace(reports);
        }
    }

    private static byte[] encode(Roster.SourceReport report) {
        Liveness liveness = report.liveness();
        String text =
                String.join(
                        " ",
                        FORMAT_VERSION,
                        report.source(),
                        Long.toString(report.id()),
                        Long.toString(liveness.startNumber()),
                        Long.toString(liveness.heartbeat()),
                        Boolean.toString(liveness.draining()),
                        Long.toString(liveness.silentAfter()),
                        Boolean.toString(liveness.left()),
                        Integer.toString(liveness.number()),
                        liveness.address(),
                        Long.toString(report.startedAt()),
                        Long.toString(report.renewedAt()));
        return (text + " " + checksum(text)).getBytes(StandardCharsets.UTF_8);
    }

    /** Null if the entry has another format version or a wrong checksum. */
    private static Roster.SourceReport decode(byte[] entry) {
        String text = new String(entry, StandardCharsets.UTF_8);
        String[] fields = text.split(" ");
        int checksumSeparator = text.lastIndexOf(' ');
        if (fields.length != FIELDS
                || !fields[0].equals(FORMAT_VERSION)
                || !fields[12].equals(checksum(text.substring(0, checksumSeparator)))) {
            return null;
        }
        Liveness liveness =
                new Liveness(
                        Long.parseLong(fields[3]),
                        Long.parseLong(fields[4]),
                        Boolean.parseBoolean(fields[5]),
                        Long.parseLong(fields[6]),
                        Boolean.parseBoolean(fields[7]),
                        Integer.parseInt(fields[8]),
                        fields[9]);
        return new Roster.SourceReport(
                fields[1],
                Long.parseLong(fields[2]),
                liveness,
                Long.parseLong(fields[10]),
                Long.parseLong(fields[11]));
    }

    private static String checksum(String text) {
        CRC32C crc = new CRC32C();
        crc.update(text.getBytes(StandardCharsets.UTF_8));
        return Long.toHexString(crc.getValue());
    }

    @Override
    public void close() {
        writer.interrupt();
        try {
            writer.join();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        store.close();
    }
}
