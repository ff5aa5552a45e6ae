package coralcove.sip;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;

/** Writes the torture messages as files, a seed corpus for a fuzzer. */
public final class TortureCorpusWriter {
    private TortureCorpusWriter() {}

    public static void main(String[] args) throws IOException {
        Path directory = Files.createDirectories(Path.of(args[0]));
        List<byte[]> corpus = SipFuzz.corpus();
        for (int i = 0; i < corpus.size(); i++) {
            Files.write(directory.resolve("torture-" + i), corpus.get(i));
        }
    }
}
