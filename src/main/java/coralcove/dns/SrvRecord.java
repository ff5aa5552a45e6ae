package coralcove.dns;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.TreeMap;
import java.util.random.RandomGenerator;

/**
 * An SRV record (RFC 2782). An empty target is the root name, which means that the service is not
 * available.
 */
public record SrvRecord(int priority, int weight, int port, String target) {
    /** Decodes record data without name compression. */
    public static SrvRecord decode(byte[] data) throws MalformedDnsException {
        if (data.length < 7) {
            throw new MalformedDnsException("SRV record of " + data.length + " bytes is too short");
        }
        return new SrvRecord(
                uint16(data, 0),
                uint16(data, 2),
                uint16(data, 4),
                DnsMessage.uncompressedName(data, 6));
    }

    private static int uint16(byte[] data, int offset) {
        return (data[offset] & 255) << 8 | data[offset + 1] & 255;
    }

    /** The record data in wire format. */
    public byte[] encode() {
        byte[] name = DnsMessage.uncompressedName(target);
        byte[] data = new byte[6 + name.length];
        int[] fields = {priority, weight, port};
        for (int i = 0; i < fields.length; i++) {
            data[2 * i] = (byte) (fields[i] >> 8);
            data[2 * i + 1] = (byte) fields[i];
        }
        System.arraycopy(name, 0, data, 6, name.length);
        return data;
    }

    /**
     * Groups the records by priority, lowest value first, and puts each group in a random order
     * weighted as RFC 2782 describes: the probability of a record to come next is its share of the
     * weights, and records of weight 0 have a very small one.
     */
    public static List<List<SrvRecord>> selectionOrder(
            List<SrvRecord> records, RandomGenerator random) {
        TreeMap<Integer, List<SrvRecord>> byPriority = new TreeMap<>();
        // Sort first, so that the result does not depend on the order in the response.
        records.stream()
                .distinct()
                .sorted(
                        Comparator.comparingInt(SrvRecord::weight)
                                .thenComparing(SrvRecord::target)
                                .thenComparingInt(SrvRecord::port))
                .forEach(
                        record ->
                                byPriority
                                        .computeIfAbsent(
                                                record.priority, priority -> new ArrayList<>())
                                        .add(record));
        List<List<SrvRecord>> groups = new ArrayList<>();
        for (List<SrvRecord> remaining : byPriority.values()) {
            List<SrvRecord> ordered = new ArrayList<>();
            while (!remaining.isEmpty()) {
                long weightSum = remaining.stream().mapToLong(SrvRecord::weight).sum();
                long draw = random.nextLong(weightSum + 1);
                int next = 0;
                while (draw > remaining.get(next).weight) {
                    draw -= remaining.get(next).weight;
                    next++;
                }
                ordered.add(remaining.remove(next));
            }
            groups.add(ordered);
        }
        return groups;
    }
}
