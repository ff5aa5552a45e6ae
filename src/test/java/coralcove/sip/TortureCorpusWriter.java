package coralcove.sip;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;

/** Not a test: writes the torture messages as files, a corpus for a fuzzer to start from. */
public final class TortureCorpusWriter {
    private TortureCorpusWriter() {}

    public static void main(String[] args) throws IOException {
        Path folder = Files.createDirectories(Path.of(args[0]));
        List<byte[]> corpus = SipFuzz.corpus();
        for (int i = 0; i < corpus.size(); i++) {
            Files.write(folder.resolve("torture-" + i), corpus.get(i));
        }
    }
}
