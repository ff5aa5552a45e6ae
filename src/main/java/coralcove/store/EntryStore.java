package coralcove.store;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Function;
import org.h2.mvstore.MVMap;
import org.h2.mvstore.MVStore;
import org.h2.mvstore.MVStoreException;

/**
 * Persistent entries on disk in an H2 MVStore; each entry has its own format version and checksum.
 * Faults never stop the owner and are reported as text: a store that cannot be opened is moved
 * aside, an invalid entry is skipped, and a full disk disables writing. To be used by one thread
 * only.
 *
 * @param <K> type of the keys
 * @param <T> type of the entries
 */
public final class EntryStore<K, T> implements AutoCloseable {
    /**
     * Format of the entries.
     *
     * @param kind name of the map in the store
     * @param key returns the key of an entry
     * @param encode encodes an entry
     * @param decode decodes an entry; returns null if it is invalid
     */
    public record Format<K, T>(
            String kind,
            Function<T, K> key,
            Function<T, byte[]> encode,
            Function<byte[], T> decode) {}

    /** Largest number of stores moved aside; after that the last name is used again. */
    private static final int MAX_BAD_COPIES = 5;

    private final Path path;
    private final Format<K, T> format;
    private final Consumer<String> reporter;
    private MVStore store;
    private MVMap<K, byte[]> entries;
    private int skipped;

    /**
     * Opens or creates a store.
     *
     * @param reporter receives a text for each fault
     */
    public EntryStore(Path path, Format<K, T> format, Consumer<String> reporter) {
        this.path = path;
        this.format = format;
        this.reporter = reporter;
        try {
            open();
        } catch (MVStoreException e) {
            moveAside(e.getMessage());
        }
    }

    private void open() {
        store = MvStores.open(path);
        entries = store.openMap(format.kind());
    }

    /**
     * Keeps a store that cannot be read under another name for inspection, and creates a new one.
     */
    private void moveAside(String reason) {
        closeImmediately();
        try {
            Path target = path;
            for (int i = 1; i <= MAX_BAD_COPIES; i++) {
                target = path.resolveSibling(path.getFileName() + ".bad-" + i);
                if (!Files.exists(target)) {
                    break;
                }
            }
            Files.move(path, target, StandardCopyOption.REPLACE_EXISTING);
            reporter.accept(
                    "store put aside as "
                            + target.getFileName()
                            + ": "
                            + MvStores.shortReason(reason));
            open();
        } catch (IOException | MVStoreException e) {
            disable(e.getMessage());
        }
    }

    private void disable(String reason) {
        closeImmediately();
        store = null;
        entries = null;
        reporter.accept("store is not used: " + MvStores.shortReason(reason));
    }

    private void closeImmediately() {
        if (store != null) {
            store.closeImmediately();
        }
    }

    /** Returns whether the store is usable, so that entries are written. */
    public boolean isUsable() {
        return store != null;
    }

    /** Returns all valid entries, in the order of their keys. */
    public List<T> read() {
        List<T> valid = new ArrayList<>();
        if (entries == null) {
            return valid;
        }
        try {
            for (Map.Entry<K, byte[]> stored : entries.entrySet()) {
                T entry = format.decode().apply(stored.getValue());
                if (entry != null && format.key().apply(entry).equals(stored.getKey())) {
                    valid.add(entry);
                } else {
                    skipped++;
                }
            }
        } catch (MVStoreException e) {
            moveAside(e.getMessage());
        }
        if (skipped > 0) {
            reporter.accept(skipped + " entries left: another form or a wrong checksum");
        }
        return valid;
    }

    /** Returns the number of invalid entries that were skipped by reading. */
    public int skippedCount() {
        return skipped;
    }

    /**
     * Writes, in one commit, those of the entries that differ from the stored ones. If the process
     * is killed meanwhile, the previous commit remains.
     */
    public void write(List<T> candidates) {
        if (entries == null) {
            return;
        }
        try {
            for (T entry : candidates) {
                byte[] bytes = format.encode().apply(entry);
                if (!Arrays.equals(bytes, entries.get(format.key().apply(entry)))) {
                    entries.put(format.key().apply(entry), bytes);
                }
            }
            store.commit();
        } catch (MVStoreException e) {
            disable(e.getMessage());
        }
    }

    /** Replaces all entries by these in one commit. */
    public void replace(List<T> replacements) {
        if (entries == null) {
            return;
        }
        try {
            Set<K> keys = new HashSet<>();
            replacements.forEach(entry -> keys.add(format.key().apply(entry)));
            for (K key : List.copyOf(entries.keySet())) {
                if (!keys.contains(key)) {
                    entries.remove(key);
                }
            }
        } catch (MVStoreException e) {
            disable(e.getMessage());
            return;
        }
        write(replacements);
    }

    @Override
    public void close() {
        if (store != null) {
            try {
                store.close();
            } catch (MVStoreException e) {
                reporter.accept("store was not closed: " + MvStores.shortReason(e.getMessage()));
            }
        }
    }
}
