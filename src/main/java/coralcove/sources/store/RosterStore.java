package coralcove.sources.store;

import coralcove.sources.Life;
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
 * What directories have said, on a router's own disk, for its restart while no directory is up: one
 * entry a source and machine, a line of text behind its form's version and CRC-32C. Written on a
 * thread of its own, the newest only.
 */
public final class RosterStore implements AutoCloseable {
    private static final String FORM = "1";

    /**
     * Milliseconds between two writes: what a kill loses at most, and far under the time a
     * directory takes to return.
     */
    private static final long EVERY = 500;

    private static final int FIELDS = 13;

    private final EntryStore<String, Roster.Said> store;
    private final AtomicReference<List<Roster.Said>> newest = new AtomicReference<>();
    private final Thread writer = new Thread(this::write, "roster-store");

    public RosterStore(Path path, Consumer<String> said) {
        store =
                new EntryStore<>(
                        path,
                        new EntryStore.Form<>(
                                "roster",
                                each -> each.source() + " " + each.id(),
                                RosterStore::out,
                                RosterStore::in),
                        said);
    }

    /**
     * Takes what was kept before a start, and whom all that is said from now on is handed to; how
     * much counted.
     */
    public interface Resuming {
        int resume(List<Roster.Said> kept, Consumer<List<Roster.Said>> to);
    }

    /** Resumes from a store and keeps on writing to it, until the program ends. */
    public static void keep(Path path, String node, Resuming core) {
        Logger log = LoggerFactory.getLogger(node);
        RosterStore store = new RosterStore(path, said -> log.warn("roster: {}", said));
        int taken = core.resume(store.read(), store::keep);
        store.start();
        log.info("roster: {} lines of the last start resumed", taken);
    }

    /** All that is sound; read before {@link #start}. */
    public List<Roster.Said> read() {
        return store.read();
    }

    public void start() {
        writer.setDaemon(true);
        writer.start();
    }

    /** What is to be on disk from now on; told on the router's thread, and never waits. */
    public void keep(List<Roster.Said> all) {
        newest.set(all);
    }

    private void write() {
        try {
            while (true) {
                Thread.sleep(EVERY);
                flush();
            }
        } catch (InterruptedException e) {
            flush();
        }
    }

    private void flush() {
        List<Roster.Said> all = newest.getAndSet(null);
        if (all != null) {
            store.replace(all);
        }
    }

    private static byte[] out(Roster.Said it) {
        Life life = it.life();
        String text =
                String.join(
                        " ",
                        FORM,
                        it.source(),
                        Long.toString(it.id()),
                        Long.toString(life.start()),
                        Long.toString(life.beat()),
                        Boolean.toString(life.drains()),
                        Long.toString(life.quiet()),
                        Boolean.toString(life.left()),
                        Integer.toString(life.number()),
                        life.address(),
                        Long.toString(it.since()),
                        Long.toString(it.renewed()));
        return (text + " " + sum(text)).getBytes(StandardCharsets.UTF_8);
    }

    private static Roster.Said in(byte[] entry) {
        String text = new String(entry, StandardCharsets.UTF_8);
        String[] parts = text.split(" ");
        int last = text.lastIndexOf(' ');
        if (parts.length != FIELDS
                || !parts[0].equals(FORM)
                || !parts[12].equals(sum(text.substring(0, last)))) {
            return null;
        }
        Life life =
                new Life(
                        Long.parseLong(parts[3]),
                        Long.parseLong(parts[4]),
                        Boolean.parseBoolean(parts[5]),
                        Long.parseLong(parts[6]),
                        Boolean.parseBoolean(parts[7]),
                        Integer.parseInt(parts[8]),
                        parts[9]);
        return new Roster.Said(
                parts[1],
                Long.parseLong(parts[2]),
                life,
                Long.parseLong(parts[10]),
                Long.parseLong(parts[11]));
    }

    private static String sum(String text) {
        CRC32C sum = new CRC32C();
        sum.update(text.getBytes(StandardCharsets.UTF_8));
        return Long.toHexString(sum.getValue());
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
