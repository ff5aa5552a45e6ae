package coralcove.numbers.file;

import coralcove.numbers.NumberTable;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.attribute.FileTime;
import java.util.function.Consumer;
import java.util.function.IntPredicate;

/**
 * Polls a number table's file, and optionally a file of changes, and builds the next table when one
 * of them has been rewritten. To be polled on a thread that serves no sessions. A file that is not
 * valid is reported, and the previous table stays.
 */
public final class TableFileWatcher {
    private final Path tableFile;
    private final Path changesFile;
    private final IntPredicate knownFarEnds;
    private final Consumer<String> problemListener;
    private FileTime tableModifiedAt;
    private FileTime changesModifiedAt;
    private NumberTable newest;

    /**
     * {@code changesFile} may be null; {@code problemListener} receives a message for each file
     * that is refused.
     */
    public TableFileWatcher(
            Path tableFile,
            Path changesFile,
            IntPredicate knownFarEnds,
            Consumer<String> problemListener) {
        this.tableFile = tableFile;
        this.changesFile = changesFile;
        this.knownFarEnds = knownFarEnds;
        this.problemListener = problemListener;
    }

    /** Reads the first table, which must be valid. */
    public NumberTable readInitial() throws IOException, TableReader.InvalidTableException {
        tableModifiedAt = modificationTime(tableFile);
        changesModifiedAt = modificationTime(changesFile);
        newest = TableReader.readTable(tableFile, knownFarEnds);
        return newest;
    }

    /** A newer table if a file has changed and is valid, null otherwise. */
    public NumberTable poll() {
        NumberTable previous = newest;
        try {
            FileTime tableTime = modificationTime(tableFile);
            if (tableTime != null && !tableTime.equals(tableModifiedAt)) {
                tableModifiedAt = tableTime;
                NumberTable read = TableReader.readTable(tableFile, knownFarEnds);
                if (read.version() <= newest.version()) {
                    problemListener.accept(
                            tableFile
                                    + ": version "
                                    + read.version()
                                    + " is not after "
                                    + newest.version());
                } else {
                    newest = read;
                }
            }
            FileTime changesTime = modificationTime(changesFile);
            if (changesTime != null && !changesTime.equals(changesModifiedAt)) {
                changesModifiedAt = changesTime;
                TableReader.TableChanges read =
                        TableReader.readChanges(changesFile, newest, knownFarEnds);
                if (read.baseVersion() != newest.version()) {
                    problemListener.accept(
                            changesFile
                                    + ": made for version "
                                    + read.baseVersion()
                                    + ", in service is "
                                    + newest.version());
                } else {
                    newest = newest.withChanges(read.version(), read.changes());
                }
            }
        } catch (IOException | TableReader.InvalidTableException e) {
            problemListener.accept(e.getMessage());
        }
        return newest == previous ? null : newest;
    }

    private static FileTime modificationTime(Path path) throws IOException {
        return path != null && Files.exists(path) ? Files.getLastModifiedTime(path) : null;
    }
}
