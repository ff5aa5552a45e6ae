package coralcove.numbers.file;

import coralcove.numbers.NumberTable;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.attribute.FileTime;
import java.util.function.Consumer;
import java.util.function.IntPredicate;

/**
 * Looks at a table's file, and at the file of changes if there is one, and makes the next table
 * when one has been written anew. It is asked on a thread that serves no sessions; a bad file is
 * told, and the table before stays.
 */
public final class TableWatch {
    private final Path table;
    private final Path changes;
    private final IntPredicate known;
    private final Consumer<String> trouble;
    private FileTime tableAt;
    private FileTime changesAt;
    private NumberTable newest;

    /** {@code changes} may be null. */
    public TableWatch(Path table, Path changes, IntPredicate known, Consumer<String> trouble) {
        this.table = table;
        this.changes = changes;
        this.known = known;
        this.trouble = trouble;
    }

    /** The first table; it must be good. */
    public NumberTable first() throws IOException, TableReader.Bad {
        tableAt = time(table);
        changesAt = time(changes);
        newest = TableReader.table(table, known);
        return newest;
    }

    /** A newer table if a file has changed and is good, null otherwise. */
    public NumberTable next() {
        NumberTable before = newest;
        try {
            FileTime at = time(table);
            if (at != null && !at.equals(tableAt)) {
                tableAt = at;
                NumberTable read = TableReader.table(table, known);
                if (read.version() <= newest.version()) {
                    trouble.accept(
                            table
                                    + ": version "
                                    + read.version()
                                    + " is not after "
                                    + newest.version());
                } else {
                    newest = read;
                }
            }
            FileTime edited = time(changes);
            if (edited != null && !edited.equals(changesAt)) {
                changesAt = edited;
                TableReader.Changes read = TableReader.changes(changes, newest, known);
                if (read.after() != newest.version()) {
                    trouble.accept(
                            changes
                                    + ": made for version "
                                    + read.after()
                                    + ", in service is "
                                    + newest.version());
                } else {
                    newest = newest.edited(read.version(), read.list());
                }
            }
        } catch (IOException | TableReader.Bad e) {
            trouble.accept(e.getMessage());
        }
        return newest == before ? null : newest;
    }

    private static FileTime time(Path path) throws IOException {
        return path != null && Files.exists(path) ? Files.getLastModifiedTime(path) : null;
    }
}
