package coralcove.directory;

import coralcove.config.BadConfig;
import coralcove.config.Hops;
import coralcove.config.Toml;
import coralcove.sip.Hop;

/** The settings file of the simulated directory. */
public record DirectoryFile(Hop listen, DirectoryCore.Late late) {
    /** Reads a settings file. */
    public static DirectoryFile of(Toml toml) throws BadConfig {
        Toml.Table directory = toml.table("directory");
        DirectoryFile file =
                new DirectoryFile(
                        Hops.read(directory, "listen"),
                        new DirectoryCore.Late(
                                directory.millis("notice_ms", 0, 60_000, 1000),
                                directory.millis("silence_ms", 1500, 120_000, 8000),
                                directory.millis("add_ms", 0, 60_000, 800)));
        toml.nothingElse();
        return file;
    }
}
