package coralcove.planner.store;

import coralcove.GroupFacts;
import coralcove.planner.Frame;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import org.h2.mvstore.MVMap;
import org.h2.mvstore.MVStore;
import org.h2.mvstore.MVStoreException;

/**
 * What a planner has learnt, on disk in an H2 MVStore: one entry a group, each with the form's version and a checksum of its
 * own. A store that cannot be opened is put aside, an entry that is not sound is left, a disk that is full ends the
 * writing: the planner goes on in each case, and says what it left. One thread owns it.
 */
public final class FactStore implements AutoCloseable {
    /** Stores put aside at most; past it the oldest name is used again. */
    private static final int MOST_ASIDE = 5;

    private final Path path;
    private final Consumer<String> said;
    private MVStore store;
    private MVMap<Integer, byte[]> entries;
    private int left;

    /** Opens or makes it; {@code said} hears what was left and why. */
    public FactStore(Path path, Consumer<String> said) {
        this.path = path;
        this.said = said;
        try {
            open();
        } catch (MVStoreException e) {
            aside(e.getMessage());
        }
    }

    private void open() {
        store = new MVStore.Builder().fileName(path.toString()).autoCommitDisabled().open();
        entries = store.openMap("facts");
    }

    /** A store that cannot be read is kept for whoever wants to look at it, and an empty one begun. */
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
            said.accept("store put aside as " + to.getFileName() + ": " + first(why));
            open();
        } catch (IOException | MVStoreException e) {
            broken(e.getMessage());
        }
    }

    private static String first(String message) {
        return String.valueOf(message).lines().findFirst().orElse("").replaceAll(" \\[.*", "");
    }

    private void broken(String why) {
        closeNow();
        store = null;
        entries = null;
        said.accept("store is not used: " + first(why));
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

    /** All sound entries, by group. */
    public List<GroupFacts> read() {
        List<GroupFacts> facts = new ArrayList<>();
        if (entries == null) {
            return facts;
        }
        try {
            for (Map.Entry<Integer, byte[]> each : entries.entrySet()) {
                GroupFacts sound = sound(each.getValue());
                if (sound != null && sound.number() == each.getKey()) {
                    facts.add(sound);
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
        return facts;
    }

    /** Entries that were not sound when they were read. */
    public int left() {
        return left;
    }

    /** Writes what has changed, all or nothing: a kill between leaves the last whole commit. */
    public void write(List<GroupFacts> facts) {
        if (entries == null) {
            return;
        }
        try {
            for (GroupFacts each : facts) {
                entries.put(each.number(), bytes(each));
            }
            store.commit();
        } catch (MVStoreException e) {
            broken(e.getMessage());
        }
    }

    /** The frame has the form's version and the checksum. */
    private static byte[] bytes(GroupFacts facts) {
        return new Frame.Facts(List.of(facts)).bytes();
    }

    private static GroupFacts sound(byte[] entry) {
        if (entry.length < Frame.HEAD) {
            return null;
        }
        try {
            Frame read = Frame.read(Arrays.copyOfRange(entry, 4, entry.length));
            return read instanceof Frame.Facts facts && facts.groups().size() == 1 ? facts.groups().get(0) : null;
        } catch (Frame.Bad e) {
            return null;
        }
    }

    @Override
    public void close() {
        if (store != null) {
            try {
                store.close();
            } catch (MVStoreException e) {
                said.accept("store was not closed: " + first(e.getMessage()));
            }
        }
    }
}
