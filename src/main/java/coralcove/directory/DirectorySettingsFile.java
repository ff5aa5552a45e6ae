package coralcove.directory;

import coralcove.config.AddressSettings;
import coralcove.config.BadConfig;
import coralcove.config.TomlSettings;
import coralcove.sip.TransportAddress;

/** The settings file of the simulated directory. */
public record DirectorySettingsFile(
        TransportAddress listenAddress, SimulatedDirectory.NotificationDelays delays) {
    /** Reads a settings file. */
    public static DirectorySettingsFile read(TomlSettings toml) throws BadConfig {
        TomlSettings.Table directory = toml.table("directory");
        DirectorySettingsFile file =
                new DirectorySettingsFile(
                        AddressSettings.read(directory, "listen"),
                        new SimulatedDirectory.NotificationDelays(
                                directory.microsFromMillis("notice_ms", 0, 60_000, 1000),
                                directory.microsFromMillis("silence_ms", 1500, 120_000, 8000),
                                directory.microsFromMillis("add_ms", 0, 60_000, 800)));
        toml.rejectUnknownKeys();
        return file;
    }
}
