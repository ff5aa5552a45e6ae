package coralcove.directory;

import coralcove.config.AddressSettings;
import coralcove.config.BadConfig;
import coralcove.config.TomlSettings;
import coralcove.sip.Hop;

/** The settings file of the simulated directory. */
public record DirectoryFile(Hop listen, DirectoryCore.Late late) {
    /** Reads a settings file. */
    public static DirectoryFile of(TomlSettings toml) throws BadConfig {
        TomlSettings.Table directory = toml.table("directory");
        DirectoryFile file =
                new DirectoryFile(
                        AddressSettings.read(directory, "listen"),
                        new DirectoryCore.Late(
                                directory.microsFromMillis("notice_ms", 0, 60_000, 1000),
                                directory.microsFromMillis("silence_ms", 1500, 120_000, 8000),
                                directory.microsFromMillis("add_ms", 0, 60_000, 800)));
        toml.rejectUnknownKeys();
        return file;
    }
}
