package coralcove.dns;

import coralcove.dns.DnsMessage.ResourceRecord;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Zone of a simulated name server: SRV records, the addresses of their targets, and aliases
 * (CNAME).
 */
public final class ServiceZone implements SimulatedDnsServer.Zone {
    private final String domain;
    private final long ttl;
    private final Map<String, List<ResourceRecord>> records = new ConcurrentHashMap<>();
    private boolean includeAdditional = true;

    /** {@code ttl} of all records in seconds. */
    public ServiceZone(String domain, long ttl) {
        this.domain = domain;
        this.ttl = ttl;
    }

    /** Whether the addresses of SRV targets are sent in the additional section; on by default. */
    public ServiceZone includeAdditional(boolean include) {
        includeAdditional = include;
        return this;
    }

    /** Adds an SRV record. */
    public ServiceZone addSrv(String name, int priority, int weight, String target, int port) {
        return add(name, DnsMessage.SRV, new SrvRecord(priority, weight, port, target).encode());
    }

    /** Adds an A record (4 bytes) or an AAAA record (16 bytes). */
    public ServiceZone addAddress(String name, int... bytes) {
        byte[] data = new byte[bytes.length];
        for (int i = 0; i < bytes.length; i++) {
            data[i] = (byte) bytes[i];
        }
        return add(name, bytes.length == 4 ? DnsMessage.A : DnsMessage.AAAA, data);
    }

    /** Adds a CNAME record. */
    public ServiceZone addCname(String name, String target) {
        return add(name, DnsMessage.CNAME, DnsMessage.uncompressedName(target));
    }

    /** Replaces all records of a name by one SRV record. */
    public ServiceZone replaceWithSrv(String name, String target, int port) {
        records.put(
                name,
                List.of(
                        new ResourceRecord(
                                name,
                                DnsMessage.SRV,
                                ttl,
                                new SrvRecord(1, 1, port, target).encode())));
        return this;
    }

    /** Removes all records of a name. */
    public ServiceZone removeAll(String name) {
        records.remove(name);
        return this;
    }

    private ServiceZone add(String name, int type, byte[] data) {
        records.computeIfAbsent(name, n -> new ArrayList<>())
                .add(new ResourceRecord(name, type, ttl, data));
        return this;
    }

    private List<ResourceRecord> recordsOf(String name, int type) {
        return records.getOrDefault(name, List.of()).stream()
                .filter(r -> r.type() == type)
                .toList();
    }

    @Override
    public DnsMessage answer(DnsMessage query) {
        List<ResourceRecord> answers = new ArrayList<>();
        Set<String> visited = new TreeSet<>();
        String name = query.questionName();
        while (visited.add(name)
                && recordsOf(name, query.questionType()).isEmpty()
                && !recordsOf(name, DnsMessage.CNAME).isEmpty()) {
            answers.addAll(recordsOf(name, DnsMessage.CNAME));
            try {
                name =
                        DnsMessage.uncompressedName(
                                recordsOf(name, DnsMessage.CNAME).get(0).data(), 0);
            } catch (MalformedDnsException e) {
                throw new IllegalStateException("malformed record in the zone of this server", e);
            }
        }
        answers.addAll(recordsOf(name, query.questionType()));
        if (answers.isEmpty()) {
            byte[] soa = new byte[22];
            soa[21] = (byte) Math.min(60, ttl);
            return query.reply(
                    records.containsKey(query.questionName())
                            ? DnsMessage.NO_ERROR
                            : DnsMessage.NAME_ERROR,
                    List.of(),
                    List.of(new ResourceRecord(domain, DnsMessage.SOA, Math.min(60, ttl), soa)));
        }
        List<ResourceRecord> additional = new ArrayList<>();
        for (ResourceRecord resource : includeAdditional ? answers : List.<ResourceRecord>of()) {
            if (resource.type() == DnsMessage.SRV) {
                try {
                    String target = SrvRecord.decode(resource.data()).target();
                    additional.addAll(recordsOf(target, DnsMessage.A));
                    additional.addAll(recordsOf(target, DnsMessage.AAAA));
                } catch (MalformedDnsException e) {
                    throw new IllegalStateException(
                            "malformed record in the zone of this server", e);
                }
            }
        }
        return query.reply(DnsMessage.NO_ERROR, answers, List.of()).withAdditional(additional);
    }
}
