package coralcove.sip;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.SplittableRandom;

/**
 * The fuzz target for the parser and the stream framer, with the entry point that Jazzer calls. For
 * any bytes: only {@link MalformedMessageException} is thrown, a valid message is the same after
 * encoding and parsing, and a stream yields the same messages wherever it is split.
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
        } catch (MalformedMessageException e) {
            if (e.getMessage().isEmpty()) {
                throw new IllegalStateException("malformed message without a reason");
            }
            return;
        }
        try {
            byte[] bytes = message.encode();
            if (message.encodedLength() != bytes.length) {
                throw new IllegalStateException(
                        "encoded length is "
                                + bytes.length
                                + " but reported as "
                                + message.encodedLength());
            }
            if (bytes.length <= SipParser.MAX_MESSAGE_BYTES) {
                SipMessage again = SipParser.parse(bytes, 0, bytes.length);
                if (!Arrays.equals(again.encode(), bytes)) {
                    throw new IllegalStateException("a message differs after encoding and parsing");
                }
            }
            message.cseqNumber();
            message.toTag();
            SipUri.parse(message.header("Contact", message.uri()));
            ParameterizedValue.parse(message.header("Reason", ""));
        } catch (MalformedMessageException e) {
            throw new IllegalStateException(
                    "an encoded message cannot be parsed: " + e.getMessage());
        }
    }

    private static void checkFramer(byte[] data) {
        List<byte[]> messages = new ArrayList<>();
        List<byte[]> messagesOfChunks = new ArrayList<>();
        boolean invalid = frame(data, data.length, messages);
        int chunkBytes = data.length == 0 ? 1 : 1 + (data[data.length - 1] & 0x1f);
        boolean invalidInChunks = frame(data, chunkBytes, messagesOfChunks);
        boolean equal = invalid == invalidInChunks && messages.size() == messagesOfChunks.size();
        for (int i = 0; equal && i < messages.size(); i++) {
            equal = Arrays.equals(messages.get(i), messagesOfChunks.get(i));
        }
        if (!equal) {
            throw new IllegalStateException(
                    "a stream split every " + chunkBytes + " bytes yields other messages");
        }
    }

    /** Frames the data in chunks of {@code step} bytes; returns whether the stream is invalid. */
    private static boolean frame(byte[] data, int step, List<byte[]> found) {
        StreamFramer framer = new StreamFramer();
        try {
            for (int at = 0; at < data.length; at += step) {
                framer.feed(data, at, Math.min(step, data.length - at), found::add);
            }
            return false;
        } catch (MalformedMessageException e) {
            return true;
        }
    }

    /** A randomly mutated copy of {@code original}. */
    static byte[] mutate(byte[] original, SplittableRandom random) {
        byte[] bytes =
                Arrays.copyOf(original, Math.max(0, original.length + random.nextInt(9) - 4));
        String delimiters = "\r\n \t:;,<>\"\\@=/0\u0000[]";
        for (int i = random.nextInt(8); i > 0 && bytes.length > 0; i--) {
            int at = random.nextInt(bytes.length);
            bytes[at] =
                    (byte)
                            (random.nextBoolean()
                                    ? delimiters.charAt(random.nextInt(delimiters.length()))
                                    : random.nextInt(256));
            int to = random.nextInt(bytes.length);
            int length = Math.min(random.nextInt(40), bytes.length - Math.max(at, to));
            if (random.nextInt(3) == 0) {
                System.arraycopy(bytes, at, bytes, to, length);
            }
        }
        return bytes;
    }

    /** Fuzzes without Jazzer: mutates the torture messages for the given number of seconds. */
    public static void main(String[] args) throws java.io.IOException {
        long end = System.nanoTime() + Long.parseLong(args[0]) * 1_000_000_000L;
        List<byte[]> corpus = corpus();
        SplittableRandom random = new SplittableRandom(System.nanoTime());
        long runs = 0;
        while (System.nanoTime() < end) {
            byte[] data = mutate(corpus.get(random.nextInt(corpus.size())), random);
            try {
                fuzzerTestOneInput(data);
            } catch (RuntimeException e) {
                System.out.println(new String(data, StandardCharsets.ISO_8859_1));
                throw e;
            }
            runs++;
        }
        System.out.println(runs + " inputs, no failure");
    }

    /** The torture messages in wire format. */
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
