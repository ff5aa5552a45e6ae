package coralcove.sip;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.SplittableRandom;

/**
 * The fuzz target of parser and stream framing, in the form that Jazzer calls. What holds for any
 * bytes: only {@link BadMessage} is thrown, a good message is written and read again without a
 * loss, and a stream cut anywhere gives the same messages.
 */
public final class SipFuzz {
    private SipFuzz() {}

    public static void fuzzerTestOneInput(byte[] data) {
        checkParser(data);
        checkFramer(data);
    }

    private static void checkParser(byte[] data) {
        SipMessage message;
        try {
            message = SipParser.parse(data, 0, data.length);
        } catch (BadMessage e) {
            if (e.getMessage().isEmpty()) {
                throw new IllegalStateException("a bad message without a reason");
            }
            return;
        }
        try {
            byte[] bytes = message.bytes();
            if (message.encodedLength() != bytes.length) {
                throw new IllegalStateException(
                        "a message of " + bytes.length + " bytes says " + message.encodedLength());
            }
            if (bytes.length <= SipParser.MAX_MESSAGE_BYTES) {
                SipMessage again = SipParser.parse(bytes, 0, bytes.length);
                if (!Arrays.equals(again.bytes(), bytes)) {
                    throw new IllegalStateException("written and read again, a message differs");
                }
            }
            message.sequence();
            message.toTag();
            SipUri.of(message.header("Contact", message.uri()));
            Params.of(message.header("Reason", ""));
        } catch (BadMessage e) {
            throw new IllegalStateException("what was written cannot be read: " + e.getMessage());
        }
    }

    private static void checkFramer(byte[] data) {
        List<byte[]> whole = new ArrayList<>();
        List<byte[]> parts = new ArrayList<>();
        boolean bad = frame(data, data.length, whole);
        int cut = data.length == 0 ? 1 : 1 + (data[data.length - 1] & 0x1f);
        boolean badInParts = frame(data, cut, parts);
        boolean equal = bad == badInParts && whole.size() == parts.size();
        for (int i = 0; equal && i < whole.size(); i++) {
            equal = Arrays.equals(whole.get(i), parts.get(i));
        }
        if (!equal) {
            throw new IllegalStateException(
                    "a stream cut every " + cut + " bytes gives other messages");
        }
    }

    private static boolean frame(byte[] data, int step, List<byte[]> found) {
        StreamFramer framer = new StreamFramer();
        try {
            for (int at = 0; at < data.length; at += step) {
                framer.take(data, at, Math.min(step, data.length - at), found::add);
            }
            return false;
        } catch (BadMessage e) {
            return true;
        }
    }

    /** Bytes of {@code from}, changed here and there: the regression corpus is made of these. */
    static byte[] mutate(byte[] from, SplittableRandom chance) {
        byte[] bytes = Arrays.copyOf(from, Math.max(0, from.length + chance.nextInt(9) - 4));
        String odd = "\r\n \t:;,<>\"\\@=/0\u0000[]";
        for (int i = chance.nextInt(8); i > 0 && bytes.length > 0; i--) {
            int at = chance.nextInt(bytes.length);
            bytes[at] =
                    (byte)
                            (chance.nextBoolean()
                                    ? odd.charAt(chance.nextInt(odd.length()))
                                    : chance.nextInt(256));
            int to = chance.nextInt(bytes.length);
            int length = Math.min(chance.nextInt(40), bytes.length - Math.max(at, to));
            if (chance.nextInt(3) == 0) {
                System.arraycopy(bytes, at, bytes, to, length);
            }
        }
        return bytes;
    }

    /**
     * Runs without Jazzer: {@code main(seconds)} mutates the torture messages for so long and
     * counts.
     */
    public static void main(String[] args) throws java.io.IOException {
        long end = System.nanoTime() + Long.parseLong(args[0]) * 1_000_000_000L;
        List<byte[]> corpus = corpus();
        SplittableRandom chance = new SplittableRandom(System.nanoTime());
        long runs = 0;
        while (System.nanoTime() < end) {
            byte[] data = mutate(corpus.get(chance.nextInt(corpus.size())), chance);
            try {
                fuzzerTestOneInput(data);
            } catch (RuntimeException e) {
                System.out.println(new String(data, StandardCharsets.ISO_8859_1));
                throw e;
            }
            runs++;
        }
        System.out.println(runs + " inputs, no find");
    }

    static List<byte[]> corpus() throws java.io.IOException {
        List<byte[]> corpus = new ArrayList<>();
        try (java.io.InputStream in = SipFuzz.class.getResourceAsStream("/sip/torture.txt")) {
            for (String each :
                    new String(in.readAllBytes(), StandardCharsets.UTF_8).split("(?m)^=== .*\n")) {
                if (!each.isBlank()) {
                    corpus.add(TortureTest.toWireFormat(each));
                }
            }
        }
        return corpus;
    }
}
