package coralcove.experiment;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.stream.Stream;
import java.util.zip.CRC32C;

/** Identifies this build of the program, so that results of different builds are not mixed. */
public final class ProgramVersion {
    /** Release number. */
    public static final String RELEASE = "0.2.0";

    private ProgramVersion() {}

    /**
     * Returns the release number and a checksum of the running code: of the JAR, or of all class
     * files where the build was not packaged.
     */
    public static String current() {
        try {
            Path source =
                    Path.of(
                            ProgramVersion.class
                                    .getProtectionDomain()
                                    .getCodeSource()
                                    .getLocation()
                                    .toURI());
            CRC32C checksum = new CRC32C();
            List<Path> files;
            try (Stream<Path> tree = Files.walk(source)) {
                files = tree.filter(Files::isRegularFile).sorted().toList();
            }
            for (Path file : files) {
                checksum.update(Files.readAllBytes(file));
            }
            return RELEASE + "+" + String.format("%08x", checksum.getValue());
        } catch (java.net.URISyntaxException e) {
            return RELEASE;
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}
