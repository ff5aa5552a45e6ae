package coralcove.dns;

import static org.assertj.core.api.Assertions.assertThat;

import coralcove.TraceFiles;
import java.util.ArrayList;
import java.util.List;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/** SRV lookups through resolver, cache and locator, with a simulated server in virtual time. */
class ServiceLocatorTest implements Resolver.Actions, ServiceLocator.Listener {
    private static final String SERVICE_NAME = "_sip._udp.ex7.example.org";

    private record Event(long time, long sequence, Runnable action) {}

    private final PriorityQueue<Event> events =
            new PriorityQueue<>(
                    (a, b) ->
                            a.time != b.time
                                    ? Long.compare(a.time, b.time)
                                    : Long.compare(a.sequence, b.sequence));
    private final ServiceZone zone = new ServiceZone("example.org", 20);
    private final SimulatedDnsServer server =
            new SimulatedDnsServer(zone, 4000, new SplittableRandom(1));
    private final Resolver resolver =
            new Resolver(
                    new Resolver.Settings(
                            List.of(new Resolver.Server("s", 53)), 500_000, 2, 16, 100),
                    new SplittableRandom(2));
    private final LookupCache.QuerySender querySender =
            (name, type) -> {
                appendToTrace("asks " + type + " " + name);
                resolver.query(this.now, name, type, new Object[] {name, type}, this);
            };
    private final ServiceLocator locator =
            new ServiceLocator(
                    List.of(7),
                    number -> "ex" + number + ".example.org",
                    "udp",
                    new SplittableRandom(3),
                    querySender,
                    this);
    private final StringBuilder trace = new StringBuilder();
    private final LookupCache cache = new LookupCache();
    private long now = 1_000_000;
    private long nextSequence;

    private ServiceLocatorTest appendToTrace(String line) {
        trace.append(now / 1_000_000).append(" s  ").append(line).append('\n');
        return this;
    }

    private ServiceLocatorTest runFor(long seconds) {
        long until = now + seconds * 1_000_000;
        while (true) {
            long next =
                    Math.min(
                            Math.min(resolver.nextTickAt(), locator.nextTickAt()),
                            events.isEmpty() ? Long.MAX_VALUE : events.peek().time);
            if (next > until) {
                now = until;
                return this;
            }
            now = Math.max(now, next);
            if (!events.isEmpty() && events.peek().time <= now) {
                events.poll().action.run();
            } else {
                resolver.tick(now, this);
                locator.tick(now);
            }
        }
    }

    private ServiceLocatorTest start() {
        locator.start(now);
        return runFor(1);
    }

    private void assertTrace(String name) {
        assertThat(trace.toString()).isEqualTo(TraceFiles.read(name));
    }

    @Test
    void reportsBestPriorityWithAddressAndRefreshesBeforeExpiry() {
        zone.addSrv(SERVICE_NAME, 10, 1, "a.example.org", 5060)
                .addSrv(SERVICE_NAME, 20, 1, "b.example.org", 5062)
                .addAddress("b.example.org", 10, 0, 0, 2)
                .addAddress("b.example.org", 32, 1, 13, 184, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 1);
        start().appendToTrace("the best target gets an address")
                .zone
                .addAddress("a.example.org", 10, 0, 0, 1);
        runFor(60).assertTrace("locator-priorities");
    }

    @Test
    void queriesMissingAddressesAndFollowsAliases() {
        zone.includeAdditional(false)
                .addCname(SERVICE_NAME, "svc.example.org")
                .addSrv("svc.example.org", 1, 1, "a.example.org", 5060)
                .addCname("a.example.org", "host.example.org")
                .addAddress("host.example.org", 10, 0, 0, 1);
        start().assertTrace("locator-aliases");
    }

    @Test
    void stopsAtAliasLoop() {
        zone.addCname(SERVICE_NAME, "x.example.org")
                .addCname("x.example.org", "y.example.org")
                .addCname("y.example.org", SERVICE_NAME);
        start().assertTrace("locator-circle");
    }

    @Test
    void reportsNoAddressForRootTargetOrMissingName() {
        zone.addSrv(SERVICE_NAME, 0, 0, "", 0);
        start().appendToTrace("the name goes").zone.removeAll(SERVICE_NAME);
        runFor(30).assertTrace("locator-nobody");
    }

    @Test
    void keepsKnownAddressesWhenServerFails() {
        zone.addSrv(SERVICE_NAME, 1, 1, "a.example.org", 5060)
                .addAddress("a.example.org", 10, 0, 0, 1);
        start().appendToTrace("cuts, and takes no stream")
                .server
                .injectFault(SimulatedDnsServer.Fault.TRUNCATED_WITHOUT_TCP, 0);
        runFor(40).appendToTrace("well again").server.injectFault(SimulatedDnsServer.Fault.NONE, 0);
        runFor(20).assertTrace("locator-cut");
    }

    @Test
    void usesFewOfTwoHundredRecords() {
        for (int i = 0; i < 200; i++) {
            zone.addSrv(SERVICE_NAME, 1, 1, "a" + i + ".example.org", 5060)
                    .addAddress("a" + i + ".example.org", 10, 0, 0, i);
        }
        start();
        assertThat(trace.toString().lines().filter(line -> line.contains("located")).toList())
                .singleElement()
                .asString()
                .satisfies(line -> assertThat(line.split("udp:")).hasSize(9));
    }

    @Test
    void sendsOneQueryForHundredThousandLookupsOfExpiredRecord() {
        zone.addAddress("a.example.org", 10, 0, 0, 1);
        List<LookupCache.Freshness> freshness = new ArrayList<>();
        int[] queryCount = {0};
        LookupCache.QuerySender countingSender = (name, type) -> queryCount[0]++;
        cache.lookUp(
                now,
                "a.example.org",
                DnsMessage.A,
                (completedAt, result) -> freshness.add(result.freshness()),
                countingSender);
        DnsMessage response = zone.answer(DnsMessage.query(1, "a.example.org", DnsMessage.A));
        cache.queryCompleted(now, "a.example.org", DnsMessage.A, new Resolver.Result(response, ""));
        now += 21_000_000;
        for (int i = 0; i < 100_000; i++) {
            cache.lookUp(
                    now,
                    "a.example.org",
                    DnsMessage.A,
                    (completedAt, result) -> freshness.add(result.freshness()),
                    countingSender);
        }
        assertThat(queryCount[0]).isEqualTo(2);
        cache.queryCompleted(
                now, "a.example.org", DnsMessage.A, new Resolver.Result(null, "no answer"));
        assertThat(freshness).hasSize(100_001);
        assertThat(freshness.subList(1, 100_001)).containsOnly(LookupCache.Freshness.STALE);
        cache.lookUp(
                now + 1,
                "a.example.org",
                DnsMessage.A,
                (completedAt, result) -> freshness.add(result.freshness()),
                countingSender);
        assertThat(queryCount[0]).as("a failure is remembered").isEqualTo(2);
        now += LookupCache.MAX_STALE_MICROS;
        cache.lookUp(
                now,
                "a.example.org",
                DnsMessage.A,
                (completedAt, result) -> freshness.add(result.freshness()),
                countingSender);
        cache.queryCompleted(
                now, "a.example.org", DnsMessage.A, new Resolver.Result(null, "no answer"));
        assertThat(freshness.get(freshness.size() - 1))
                .isEqualTo(LookupCache.Freshness.UNAVAILABLE);
    }

    @Override
    public void addressesFound(long at, int number, List<String> addresses, boolean stale) {
        appendToTrace("located " + number + " " + addresses + (stale ? " past its life" : ""));
    }

    @Override
    public void log(String event, String detail) {
        appendToTrace(event + " " + detail);
    }

    @Override
    public void sendDatagram(int socket, Resolver.Server to, byte[] bytes) {
        server.handleQuery(bytes, false)
                .forEach(
                        packet ->
                                events.add(
                                        new Event(
                                                now + packet.delay(),
                                                nextSequence++,
                                                () ->
                                                        resolver.datagramReceived(
                                                                now,
                                                                socket,
                                                                to,
                                                                packet.bytes(),
                                                                this))));
    }

    @Override
    public void sendOnStream(long key, Resolver.Server to, byte[] bytes) {
        server.handleQuery(bytes, true)
                .forEach(
                        packet ->
                                events.add(
                                        new Event(
                                                now + packet.delay(),
                                                nextSequence++,
                                                () ->
                                                        resolver.streamMessageReceived(
                                                                now, key, packet.bytes(), this))));
    }

    @Override
    public void closeStream(long key) {}

    @Override
    public void completed(Object owner, Resolver.Result result) {
        Object[] query = (Object[]) owner;
        locator.queryCompleted(now, (String) query[0], (Integer) query[1], result);
    }
}
