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
 * What must outlive a program, entry by entry, on disk in an H2 MVStore; each entry with a form and
 * a checksum of its own. A store that cannot be opened is put aside, an entry that is not sound is
 * left, a disk that is full ends the writing: its owner goes on in each case, and says what it
 * left. One thread owns it.
 */
public final class EntryStore<K, T> implements AutoCloseable {
    /** How an entry is written and read; {@code in} gives null where an entry is not sound. */
    public record Form<K, T>(
            String kind, Function<T, K> key, Function<T, byte[]> out, Function<byte[], T> in) {}

    /** Stores put aside at most; past it the oldest name is used again. */
    private static final int MOST_ASIDE = 5;

    private final Path path;
    private final Form<K, T> form;
    private final Consumer<String> said;
    private MVStore store;
    private MVMap<K, byte[]> entries;
    private int left;

    /** Opened or made; {@code said} hears what was left and why. */
    public EntryStore(Path path, Form<K, T> form, Consumer<String> said) {
        this.path = path;
        this.form = form;
        this.said = said;
        try {
            open();
        } catch (MVStoreException e) {
            aside(e.getMessage());
        }
    }

    private void open() {
        store = Stores.open(path);
        entries = store.openMap(form.kind());
    }

    /**
     * A store that cannot be read is kept for whoever wants to look at it, and an empty one begun.
     */
    private void aside(String why) {
        closeNow();
        try {
            Path to = path;
            for (int i = 1; i <= MOST_ASIDE; i++) {
                to = path.resolveSibling(path.getFileName() + ".bad-" + i);
                if (!Files.exists(to)) {
                    break;
                }
            }
            Files.move(path, to, StandardCopyOption.REPLACE_EXISTING);
            said.accept("store put aside as " + to.getFileName() + ": " + Stores.reason(why));
            open();
        } catch (IOException | MVStoreException e) {
            broken(e.getMessage());
        }
    }

    private void broken(String why) {
        closeNow();
        store = null;
        entries = null;
        said.accept("store is not used: " + Stores.reason(why));
    }

    private void closeNow() {
        if (store != null) {
            store.closeImmediately();
        }
    }

    /** Whether anything is still written. */
    public boolean works() {
        return store != null;
    }

    /** All sound entries, by key. */
    public List<T> read() {
        List<T> them = new ArrayList<>();
        if (entries == null) {
            return them;
        }
        try {
            for (Map.Entry<K, byte[]> each : entries.entrySet()) {
                T sound = form.in().apply(each.getValue());
                if (sound != null && form.key().apply(sound).equals(each.getKey())) {
                    them.add(sound);
                } else {
                    left++;
                }
            }
        } catch (MVStoreException e) {
            aside(e.getMessage());
        }
        if (left > 0) {
            said.accept(left + " entries left: another form or a wrong checksum");
        }
        return them;
    }

    /** Entries that were not sound when they were read. */
    public int left() {
        return left;
    }

    /** Writes what has changed, all or nothing: a kill between leaves the last whole commit. */
    public void write(List<T> them) {
        if (entries == null) {
            return;
        }
        try {
            for (T each : them) {
                byte[] entry = form.out().apply(each);
                if (!Arrays.equals(entry, entries.get(form.key().apply(each)))) {
                    entries.put(form.key().apply(each), entry);
                }
            }
            store.commit();
        } catch (MVStoreException e) {
            broken(e.getMessage());
        }
    }

    /** Writes these and takes all others away, all or nothing. */
    public void replace(List<T> them) {
        if (entries == null) {
            return;
        }
        try {
            Set<K> kept = new HashSet<>();
            them.forEach(each -> kept.add(form.key().apply(each)));
            for (K key : List.copyOf(entries.keySet())) {
                if (!kept.contains(key)) {
                    entries.remove(key);
                }
            }
        } catch (MVStoreException e) {
            broken(e.getMessage());
            return;
        }
        write(them);
    }

    @Override
    public void close() {
        if (store != null) {
            try {
                store.close();
            } catch (MVStoreException e) {
                said.accept("store was not closed: " + Stores.reason(e.getMessage()));
            }
        }
    }
}
