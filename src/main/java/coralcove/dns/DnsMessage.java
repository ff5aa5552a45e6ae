package coralcove.dns;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;

/**
 * A DNS message (RFC 1035 section 4), read and written. Names are kept as text in lower case
 * without the last dot; only what a stub resolver looks at is understood, other record data stays
 * bytes.
 */
public record DnsMessage(
        int id,
        boolean response,
        boolean truncated,
        int code,
        String name,
        int type,
        List<Resource> answers,
        List<Resource> authority,
        List<Resource> additional) {
    /** One record; {@code life} in seconds. */
    public record Resource(String name, int type, long life, byte[] data) {}

    public static final int SOA = 6;
    public static final int CNAME = 5;
    public static final int A = 1;
    public static final int AAAA = 28;
    public static final int SRV = 33;
    public static final int NAPTR = 35;
    public static final int NO_ERROR = 0;
    public static final int SERVER_FAILURE = 2;
    public static final int NO_SUCH_NAME = 3;
    private static final int INTERNET = 1;

    /** Octets of a name and of a label at most (RFC 1035 section 2.3.4). */
    private static final int LONGEST_NAME = 255;

    private static final int LONGEST_LABEL = 63;

    /**
     * Records read of one message at most: past it the message is taken for an attack on the
     * reader.
     */
    private static final int MOST_RECORDS = 400;

    /** Seconds: lives with the top bit set count as 0 (RFC 2181 section 8). */
    private static final long LIFE_MOST = 0x7fff_ffffL;

    /** A question, recursion desired. */
    public static DnsMessage question(int id, String name, int type) {
        return new DnsMessage(
                id,
                false,
                false,
                NO_ERROR,
                name.toLowerCase(Locale.ROOT),
                type,
                List.of(),
                List.of(),
                List.of());
    }

    /** The answer to this question. */
    public DnsMessage answer(
            int withCode, List<Resource> withAnswers, List<Resource> withAuthority) {
        return new DnsMessage(
                id, true, false, withCode, name, type, withAnswers, withAuthority, List.of());
    }

    /** The same with these beside. */
    public DnsMessage with(List<Resource> beside) {
        return new DnsMessage(
                id, response, truncated, code, name, type, answers, authority, beside);
    }

    /** The same without records, to be asked again over TCP (RFC 1035 section 4.2.1). */
    public DnsMessage cut() {
        return new DnsMessage(id, true, true, code, name, type, List.of(), List.of(), List.of());
    }

    // ---- written

    public byte[] bytes() {
        Writer out = new Writer();
        out.two(id);
        out.two(
                (response ? 0x8000 : 0)
                        | (truncated ? 0x0200 : 0)
                        | 0x0100
                        | (response ? 0x0080 : 0)
                        | code);
        out.two(1);
        out.two(answers.size());
        out.two(authority.size());
        out.two(additional.size());
        out.name(name);
        out.two(type);
        out.two(INTERNET);
        answers.forEach(out::resource);
        authority.forEach(out::resource);
        additional.forEach(out::resource);
        return out.bytes.toByteArray();
    }

    private static final class Writer {
        final ByteArrayOutputStream bytes = new ByteArrayOutputStream(128);

        void two(int value) {
            bytes.write(value >> 8);
            bytes.write(value);
        }

        void name(String name) {
            for (String label : name.isEmpty() ? new String[0] : name.split("\\.")) {
                byte[] text = label.getBytes(StandardCharsets.ISO_8859_1);
                bytes.write(text.length);
                bytes.writeBytes(text);
            }
            bytes.write(0);
        }

        void resource(Resource it) {
            name(it.name);
            two(it.type);
            two(INTERNET);
            two((int) (it.life >> 16));
            two((int) it.life);
            two(it.data.length);
            bytes.writeBytes(it.data);
        }
    }

    // ---- read

    public static DnsMessage read(byte[] bytes) throws BadDns {
        Reader in = new Reader(bytes);
        int id = in.two();
        int flags = in.two();
        int questions = in.two();
        int answers = in.two();
        int authority = in.two();
        int additional = in.two();
        if (questions != 1) {
            throw new BadDns(questions + " questions");
        }
        if (answers + authority + additional > MOST_RECORDS) {
            throw new BadDns(answers + authority + additional + " records");
        }
        String name = in.name();
        int type = in.two();
        if (in.two() != INTERNET) {
            throw new BadDns("a class that is not IN");
        }
        return new DnsMessage(
                id,
                (flags & 0x8000) != 0,
                (flags & 0x0200) != 0,
                flags & 15,
                name,
                type,
                in.resources(answers),
                in.resources(authority),
                in.resources(additional));
    }

    private static final class Reader {
        private final byte[] bytes;
        private int at;

        Reader(byte[] bytes) {
            this.bytes = bytes;
        }

        int one() throws BadDns {
            if (at >= bytes.length) {
                throw new BadDns("cut short at byte " + at);
            }
            return bytes[at++] & 255;
        }

        int two() throws BadDns {
            return one() << 8 | one();
        }

        /**
         * A name; a pointer leads only to what stands before it, so that none goes round in a
         * circle.
         */
        String name() throws BadDns {
            StringBuilder name = new StringBuilder();
            int back = -1;
            int before = at;
            while (true) {
                int length = one();
                if (length == 0) {
                    break;
                }
                if (length >= 0xc0) {
                    int to = (length & 0x3f) << 8 | one();
                    if (to >= before) {
                        throw new BadDns("a pointer to byte " + to + " that is not before it");
                    }
                    back = back < 0 ? at : back;
                    before = to;
                    at = to;
                    continue;
                }
                if (length > LONGEST_LABEL || at + length > bytes.length) {
                    throw new BadDns("a label of " + length + " bytes at byte " + at);
                }
                if (name.length() + length + 1 > LONGEST_NAME) {
                    throw new BadDns("a name of more than " + LONGEST_NAME + " bytes");
                }
                name.append(name.length() == 0 ? "" : ".");
                name.append(
                        new String(bytes, at, length, StandardCharsets.ISO_8859_1)
                                .toLowerCase(Locale.ROOT));
                at += length;
            }
            at = back < 0 ? at : back;
            return name.toString();
        }

        /** Record data; names in it that may point back into the message are written out. */
        byte[] data(int type, int length) throws BadDns {
            int end = at + length;
            int before = type == SRV ? 6 : 0;
            if (type != CNAME && type != SRV || length < before + 1) {
                byte[] data = Arrays.copyOfRange(bytes, at, end);
                at = end;
                return data;
            }
            byte[] head = Arrays.copyOfRange(bytes, at, at + before);
            at += before;
            byte[] name = plainName(name());
            if (at != end) {
                throw new BadDns(
                        "record data of "
                                + length
                                + " bytes that ends "
                                + (at - end)
                                + " past its length");
            }
            byte[] data = Arrays.copyOf(head, before + name.length);
            System.arraycopy(name, 0, data, before, name.length);
            return data;
        }

        List<Resource> resources(int count) throws BadDns {
            List<Resource> list = new ArrayList<>(count);
            for (int i = 0; i < count; i++) {
                String name = name();
                int type = two();
                two();
                long life = (long) two() << 16 | two();
                int length = two();
                if (at + length > bytes.length) {
                    throw new BadDns(
                            "record data of "
                                    + length
                                    + " bytes where "
                                    + (bytes.length - at)
                                    + " are left");
                }
                byte[] data = data(type, length);
                list.add(new Resource(name, type, life > LIFE_MOST ? 0 : life, data));
            }
            return list;
        }
    }

    /** A name without pointers, as it stands in record data from {@code at} on. */
    public static String plainName(byte[] data, int at) throws BadDns {
        Reader in = new Reader(data);
        in.at = at;
        return in.name();
    }

    public static byte[] plainName(String name) {
        Writer out = new Writer();
        out.name(name);
        return out.bytes.toByteArray();
    }

    /**
     * The seconds for which it may be remembered that there is no such record (RFC 2308 section 5);
     * 0 if not told.
     */
    public long negativeLife() {
        for (Resource each : authority) {
            if (each.type == SOA && each.data.length >= 20) {
                long least = 0;
                for (int i = each.data.length - 4; i < each.data.length; i++) {
                    least = least << 8 | each.data[i] & 255;
                }
                return Math.min(each.life, least);
            }
        }
        return 0;
    }
}
