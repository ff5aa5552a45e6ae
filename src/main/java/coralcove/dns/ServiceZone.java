package coralcove.dns;

import coralcove.dns.DnsMessage.Resource;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.ConcurrentHashMap;

/**
 * A stand-in's zone of services: SRV records, the addresses of their targets beside them, and
 * aliases.
 */
public final class ServiceZone implements DnsStandIn.Zone {
    private final String domain;
    private final long life;
    private final Map<String, List<Resource>> records = new ConcurrentHashMap<>();
    private boolean beside = true;

    /** {@code life} of all records in seconds. */
    public ServiceZone(String domain, long life) {
        this.domain = domain;
        this.life = life;
    }

    /** Whether addresses come along with services. */
    public ServiceZone beside(boolean on) {
        beside = on;
        return this;
    }

    public ServiceZone srv(String name, int priority, int weight, String target, int port) {
        return add(name, DnsMessage.SRV, new Srv(priority, weight, port, target).bytes());
    }

    public ServiceZone a(String name, int... bytes) {
        byte[] data = new byte[bytes.length];
        for (int i = 0; i < bytes.length; i++) {
            data[i] = (byte) bytes[i];
        }
        return add(name, bytes.length == 4 ? DnsMessage.A : DnsMessage.AAAA, data);
    }

    public ServiceZone alias(String name, String target) {
        return add(name, DnsMessage.CNAME, DnsMessage.plainName(target));
    }

    /** What is said of a name from now on: this service alone. */
    public ServiceZone only(String name, String target, int port) {
        records.put(
                name,
                List.of(
                        new Resource(
                                name, DnsMessage.SRV, life, new Srv(1, 1, port, target).bytes())));
        return this;
    }

    /** Takes all records of a name away. */
    public ServiceZone remove(String name) {
        records.remove(name);
        return this;
    }

    private ServiceZone add(String name, int type, byte[] data) {
        records.computeIfAbsent(name, n -> new ArrayList<>())
                .add(new Resource(name, type, life, data));
        return this;
    }

    private List<Resource> of(String name, int type) {
        return records.getOrDefault(name, List.of()).stream()
                .filter(r -> r.type() == type)
                .toList();
    }

    @Override
    public DnsMessage answer(DnsMessage question) {
        List<Resource> answers = new ArrayList<>();
        Set<String> seen = new TreeSet<>();
        String name = question.name();
        while (seen.add(name)
                && of(name, question.type()).isEmpty()
                && !of(name, DnsMessage.CNAME).isEmpty()) {
            answers.addAll(of(name, DnsMessage.CNAME));
            try {
                name = DnsMessage.plainName(of(name, DnsMessage.CNAME).get(0).data(), 0);
            } catch (BadDns e) {
                throw new IllegalStateException("this zone's own record", e);
            }
        }
        answers.addAll(of(name, question.type()));
        if (answers.isEmpty()) {
            byte[] soa = new byte[22];
            soa[21] = (byte) Math.min(60, life);
            return question.answer(
                    records.containsKey(question.name())
                            ? DnsMessage.NO_ERROR
                            : DnsMessage.NO_SUCH_NAME,
                    List.of(),
                    List.of(new Resource(domain, DnsMessage.SOA, Math.min(60, life), soa)));
        }
        List<Resource> along = new ArrayList<>();
        for (Resource each : beside ? answers : List.<Resource>of()) {
            if (each.type() == DnsMessage.SRV) {
                try {
                    String target = Srv.read(each.data()).target();
                    along.addAll(of(target, DnsMessage.A));
                    along.addAll(of(target, DnsMessage.AAAA));
                } catch (BadDns e) {
                    throw new IllegalStateException("this zone's own record", e);
                }
            }
        }
        return question.answer(DnsMessage.NO_ERROR, answers, List.of()).with(along);
    }
}
