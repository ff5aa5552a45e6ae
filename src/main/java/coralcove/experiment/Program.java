package coralcove.experiment;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.stream.Stream;
import java.util.zip.CRC32C;

/** Which build of the program this is: results of one are not to be mixed with those of another. */
public final class Program {
    public static final String VERSION = "0.2.0";

    private Program() {}

    /**
     * The version and a checksum of what runs: the jar, or all class files of a build that was not
     * packed.
     */
    public static String version() {
        try {
            Path source =
                    Path.of(
                            Program.class
                                    .getProtectionDomain()
                                    .getCodeSource()
                                    .getLocation()
                                    .toURI());
            CRC32C sum = new CRC32C();
            List<Path> files;
            try (Stream<Path> all = Files.walk(source)) {
                files = all.filter(Files::isRegularFile).sorted().toList();
            }
            for (Path file : files) {
                sum.update(Files.readAllBytes(file));
            }
            return VERSION + "+" + String.format("%08x", sum.getValue());
        } catch (java.net.URISyntaxException e) {
            return VERSION;
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}
