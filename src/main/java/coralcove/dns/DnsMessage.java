package coralcove.dns;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;

/**
 * A DNS message (RFC 1035 section 4) with its encoder and decoder. Names are held as text in lower
 * case without the final dot. Only the fields that a stub resolver needs are decoded; the data of
 * most records remains bytes. {@code questionName} and {@code questionType} are the single entry of
 * the question section.
 */
public record DnsMessage(
        int id,
        boolean response,
        boolean truncated,
        int responseCode,
        String questionName,
        int questionType,
        List<ResourceRecord> answers,
        List<ResourceRecord> authority,
        List<ResourceRecord> additional) {
    /** A resource record; {@code ttl} in seconds. Names in the data are not compressed. */
    public record ResourceRecord(String name, int type, long ttl, byte[] data) {}

    public static final int SOA = 6;
    public static final int CNAME = 5;
    public static final int A = 1;
    public static final int AAAA = 28;
    public static final int SRV = 33;
    public static final int NAPTR = 35;
    public static final int NO_ERROR = 0;
    public static final int SERVER_FAILURE = 2;
    public static final int NAME_ERROR = 3;
    private static final int CLASS_IN = 1;

    /** Limits on the octets of a name and of a label (RFC 1035 section 2.3.4). */
    private static final int MAX_NAME_LENGTH = 255;

    private static final int MAX_LABEL_LENGTH = 63;

    /**
     * Maximum number of records in a message; a message with more is treated as an attack and
     * rejected.
     */
    private static final int MAX_RECORDS = 400;

    /** TTLs with the top bit set count as 0 (RFC 2181 section 8). */
    private static final long MAX_TTL_SECONDS = 0x7fff_ffffL;

    /** A query with recursion desired. */
    public static DnsMessage query(int id, String name, int type) {
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

    /** A response to this query. */
    public DnsMessage reply(
            int replyCode, List<ResourceRecord> replyAnswers, List<ResourceRecord> replyAuthority) {
        return new DnsMessage(
                id,
                true,
                false,
                replyCode,
                questionName,
                questionType,
                replyAnswers,
                replyAuthority,
                List.of());
    }

    /** A copy of this message with these records in its additional section. */
    public DnsMessage withAdditional(List<ResourceRecord> additionalRecords) {
        return new DnsMessage(
                id,
                response,
                truncated,
                responseCode,
                questionName,
                questionType,
                answers,
                authority,
                additionalRecords);
    }

    /**
     * A truncated response without records, which makes the client query again over TCP (RFC 1035
     * section 4.2.1).
     */
    public DnsMessage asTruncated() {
        return new DnsMessage(
                id,
                true,
                true,
                responseCode,
                questionName,
                questionType,
                List.of(),
                List.of(),
                List.of());
    }

    /** The wire format of this message. Names are not compressed. */
    public byte[] encode() {
        Writer out = new Writer();
        out.uint16(id);
        out.uint16(
                (response ? 0x8000 : 0)
                        | (truncated ? 0x0200 : 0)
                        | 0x0100
                        | (response ? 0x0080 : 0)
                        | responseCode);
        out.uint16(1);
        out.uint16(answers.size());
        out.uint16(authority.size());
        out.uint16(additional.size());
        out.name(questionName);
        out.uint16(questionType);
        out.uint16(CLASS_IN);
        answers.forEach(out::resourceRecord);
        authority.forEach(out::resourceRecord);
        additional.forEach(out::resourceRecord);
        return out.bytes.toByteArray();
    }

    private static final class Writer {
        final ByteArrayOutputStream bytes = new ByteArrayOutputStream(128);

        void uint16(int value) {
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

        void resourceRecord(ResourceRecord resource) {
            name(resource.name);
            uint16(resource.type);
            uint16(CLASS_IN);
            uint16((int) (resource.ttl >> 16));
            uint16((int) resource.ttl);
            uint16(resource.data.length);
            bytes.writeBytes(resource.data);
        }
    }

    /** Decodes a message of one question of class IN. */
    public static DnsMessage decode(byte[] bytes) throws MalformedDnsException {
        Reader in = new Reader(bytes);
        int id = in.uint16();
        int flags = in.uint16();
        int questions = in.uint16();
        int answers = in.uint16();
        int authority = in.uint16();
        int additional = in.uint16();
        if (questions != 1) {
            throw new MalformedDnsException("message with " + questions + " questions");
        }
        if (answers + authority + additional > MAX_RECORDS) {
            throw new MalformedDnsException(
                    "message with " + (answers + authority + additional) + " records");
        }
        String name = in.name();
        int type = in.uint16();
        if (in.uint16() != CLASS_IN) {
            throw new MalformedDnsException("question class is not IN");
        }
        return new DnsMessage(
                id,
                (flags & 0x8000) != 0,
                (flags & 0x0200) != 0,
                flags & 15,
                name,
                type,
                in.resourceRecords(answers),
                in.resourceRecords(authority),
                in.resourceRecords(additional));
    }

    private static final class Reader {
        private final byte[] bytes;
        private int position;

        Reader(byte[] bytes) {
            this.bytes = bytes;
        }

        int uint8() throws MalformedDnsException {
            if (position >= bytes.length) {
                throw new MalformedDnsException("message truncated at byte " + position);
            }
            return bytes[position++] & 255;
        }

        int uint16() throws MalformedDnsException {
            return uint8() << 8 | uint8();
        }

        /**
         * Reads a name. A compression pointer must point before the start of the name or the
         * previous pointer target, so that pointers cannot form a loop.
         */
        String name() throws MalformedDnsException {
            StringBuilder name = new StringBuilder();
            int endOfName = -1;
            int lowestPosition = position;
            while (true) {
                int length = uint8();
                if (length == 0) {
                    break;
                }
                if (length >= 0xc0) {
                    int target = (length & 0x3f) << 8 | uint8();
                    if (target >= lowestPosition) {
                        throw new MalformedDnsException(
                                "compression pointer to byte "
                                        + target
                                        + " does not point backwards");
                    }
                    endOfName = endOfName < 0 ? position : endOfName;
                    lowestPosition = target;
                    position = target;
                    continue;
                }
                if (length > MAX_LABEL_LENGTH || position + length > bytes.length) {
                    throw new MalformedDnsException(
                            "label of " + length + " bytes at byte " + position + " is too long");
                }
                if (name.length() + length + 1 > MAX_NAME_LENGTH) {
                    throw new MalformedDnsException(
                            "name longer than " + MAX_NAME_LENGTH + " bytes");
                }
                name.append(name.length() == 0 ? "" : ".");
                name.append(
                        new String(bytes, position, length, StandardCharsets.ISO_8859_1)
                                .toLowerCase(Locale.ROOT));
                position += length;
            }
            position = endOfName < 0 ? position : endOfName;
            return name.toString();
        }

        /** Reads record data; compressed names in it are expanded. */
        byte[] recordData(int type, int length) throws MalformedDnsException {
            int end = position + length;
            int nameOffset = type == SRV ? 6 : 0;
            if (type != CNAME && type != SRV || length < nameOffset + 1) {
                byte[] data = Arrays.copyOfRange(bytes, position, end);
                position = end;
                return data;
            }
            byte[] fixedFields = Arrays.copyOfRange(bytes, position, position + nameOffset);
            position += nameOffset;
            byte[] name = uncompressedName(name());
            if (position != end) {
                throw new MalformedDnsException(
                        "name in record data of "
                                + length
                                + " bytes ends "
                                + (position - end)
                                + " bytes past its end");
            }
            byte[] data = Arrays.copyOf(fixedFields, nameOffset + name.length);
            System.arraycopy(name, 0, data, nameOffset, name.length);
            return data;
        }

        List<ResourceRecord> resourceRecords(int count) throws MalformedDnsException {
            List<ResourceRecord> records = new ArrayList<>(count);
            for (int i = 0; i < count; i++) {
                String name = name();
                int type = uint16();
                uint16();
                long ttl = (long) uint16() << 16 | uint16();
                int length = uint16();
                if (position + length > bytes.length) {
                    throw new MalformedDnsException(
                            "record data of "
                                    + length
                                    + " bytes exceeds the remaining "
                                    + (bytes.length - position)
                                    + " bytes");
                }
                byte[] data = recordData(type, length);
                records.add(new ResourceRecord(name, type, ttl > MAX_TTL_SECONDS ? 0 : ttl, data));
            }
            return records;
        }
    }

    /** Decodes an uncompressed name in record data, beginning at byte {@code offset}. */
    public static String uncompressedName(byte[] data, int offset) throws MalformedDnsException {
        Reader in = new Reader(data);
        in.position = offset;
        return in.name();
    }

    /** The wire format of a name, without compression. */
    public static byte[] uncompressedName(String name) {
        Writer out = new Writer();
        out.name(name);
        return out.bytes.toByteArray();
    }

    /**
     * Seconds for which the absence of a record may be cached (RFC 2308 section 5); 0 if the
     * message has no SOA record.
     */
    public long negativeTtl() {
        for (ResourceRecord resource : authority) {
            if (resource.type == SOA && resource.data.length >= 20) {
                long minimumTtl = 0;
                for (int i = resource.data.length - 4; i < resource.data.length; i++) {
                    minimumTtl = minimumTtl << 8 | resource.data[i] & 255;
                }
                return Math.min(resource.ttl, minimumTtl);
            }
        }
        return 0;
    }
}
