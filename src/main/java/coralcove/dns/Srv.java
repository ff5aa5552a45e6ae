package coralcove.dns;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.TreeMap;
import java.util.random.RandomGenerator;

/** One SRV record (RFC 2782); a target of "" is the root: the service is decidedly not there. */
public record Srv(int priority, int weight, int port, String target) {
    public static Srv read(byte[] data) throws BadDns {
        if (data.length < 7) {
            throw new BadDns("an SRV record of " + data.length + " bytes");
        }
        return new Srv(two(data, 0), two(data, 2), two(data, 4), DnsMessage.plainName(data, 6));
    }

    private static int two(byte[] data, int at) {
        return (data[at] & 255) << 8 | data[at + 1] & 255;
    }

    public byte[] bytes() {
        byte[] name = DnsMessage.plainName(target);
        byte[] data = new byte[6 + name.length];
        int[] numbers = {priority, weight, port};
        for (int i = 0; i < numbers.length; i++) {
            data[2 * i] = (byte) (numbers[i] >> 8);
            data[2 * i + 1] = (byte) numbers[i];
        }
        System.arraycopy(name, 0, data, 6, name.length);
        return data;
    }

    /**
     * Groups of equal priority, the lowest first, each in an order drawn by weight as RFC 2782 has
     * it: a record's chance to be next is its weight's share, and those of weight 0 have a very
     * small one.
     */
    public static List<List<Srv>> order(List<Srv> records, RandomGenerator chance) {
        TreeMap<Integer, List<Srv>> byPriority = new TreeMap<>();
        // Equal records in equal order, whatever order the server put them in.
        records.stream()
                .distinct()
                .sorted(
                        Comparator.comparingInt(Srv::weight)
                                .thenComparing(Srv::target)
                                .thenComparingInt(Srv::port))
                .forEach(
                        each ->
                                byPriority
                                        .computeIfAbsent(each.priority, p -> new ArrayList<>())
                                        .add(each));
        List<List<Srv>> groups = new ArrayList<>();
        for (List<Srv> left : byPriority.values()) {
            List<Srv> drawn = new ArrayList<>();
            while (!left.isEmpty()) {
                long sum = left.stream().mapToLong(Srv::weight).sum();
                long at = chance.nextLong(sum + 1);
                int next = 0;
                while (at > left.get(next).weight) {
                    at -= left.get(next).weight;
                    next++;
                }
                drawn.add(left.remove(next));
            }
            groups.add(drawn);
        }
        return groups;
    }
}
