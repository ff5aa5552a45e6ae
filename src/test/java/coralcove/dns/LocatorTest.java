package coralcove.dns;

import static org.assertj.core.api.Assertions.assertThat;

import coralcove.Kept;
import java.util.ArrayList;
import java.util.List;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/** SRV records through resolver, memory and locator before a stand-in server, in virtual time. */
class LocatorTest implements Resolver.Out, Locator.Out {
    private static final String NAME = "_sip._udp.ex7.example.org";

    private record Event(long at, long order, Runnable act) {}

    private final PriorityQueue<Event> events =
            new PriorityQueue<>(
                    (a, b) ->
                            a.at != b.at
                                    ? Long.compare(a.at, b.at)
                                    : Long.compare(a.order, b.order));
    private final ServiceZone zone = new ServiceZone("example.org", 20);
    private final DnsStandIn server = new DnsStandIn(zone, 4000, new SplittableRandom(1));
    private final Resolver resolver =
            new Resolver(
                    new Resolver.Settings(
                            List.of(new Resolver.Server("s", 53)), 500_000, 2, 16, 100),
                    new SplittableRandom(2));
    private final Lookups.Out questions =
            (name, type) -> {
                say("asks " + type + " " + name);
                resolver.ask(this.now, name, type, new Object[] {name, type}, this);
            };
    private final Locator locator =
            new Locator(
                    List.of(7),
                    n -> "ex" + n + ".example.org",
                    "udp",
                    new SplittableRandom(3),
                    questions,
                    this);
    private final StringBuilder trace = new StringBuilder();
    private final Lookups lookups = new Lookups();
    private long now = 1_000_000;
    private long order;

    private LocatorTest say(String what) {
        trace.append(now / 1_000_000).append(" s  ").append(what).append('\n');
        return this;
    }

    private LocatorTest run(long seconds) {
        long until = now + seconds * 1_000_000;
        while (true) {
            long next =
                    Math.min(
                            Math.min(resolver.due(), locator.due()),
                            events.isEmpty() ? Long.MAX_VALUE : events.peek().at);
            if (next > until) {
                now = until;
                return this;
            }
            now = Math.max(now, next);
            if (!events.isEmpty() && events.peek().at <= now) {
                events.poll().act.run();
            } else {
                resolver.tick(now, this);
                locator.tick(now);
            }
        }
    }

    private LocatorTest start() {
        locator.start(now);
        return run(1);
    }

    private void reads(String name) {
        assertThat(trace.toString()).isEqualTo(Kept.trace(name));
    }

    @Test
    void theBestPriorityThatHasAnAddressIsToldAndAskedForBeforeItsEnd() {
        zone.srv(NAME, 10, 1, "a.example.org", 5060)
                .srv(NAME, 20, 1, "b.example.org", 5062)
                .a("b.example.org", 10, 0, 0, 2)
                .a("b.example.org", 32, 1, 13, 184, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 1);
        start().say("the best target gets an address").zone.a("a.example.org", 10, 0, 0, 1);
        run(60).reads("locator-priorities");
    }

    @Test
    void addressesAreAskedForWhereNoneComeAlongAndAliasesAreFollowed() {
        zone.beside(false)
                .alias(NAME, "svc.example.org")
                .srv("svc.example.org", 1, 1, "a.example.org", 5060)
                .alias("a.example.org", "host.example.org")
                .a("host.example.org", 10, 0, 0, 1);
        start().reads("locator-aliases");
    }

    @Test
    void anAliasInACircleEnds() {
        zone.alias(NAME, "x.example.org")
                .alias("x.example.org", "y.example.org")
                .alias("y.example.org", NAME);
        start().reads("locator-circle");
    }

    @Test
    void aRootTargetAndAMissingNameSayThatNobodyIsThere() {
        zone.srv(NAME, 0, 0, "", 0);
        start().say("the name goes").zone.remove(NAME);
        run(30).reads("locator-nobody");
    }

    @Test
    void aDeadOrCuttingServerLeavesWhatIsKnownInUse() {
        zone.srv(NAME, 1, 1, "a.example.org", 5060).a("a.example.org", 10, 0, 0, 1);
        start().say("cuts, and takes no stream").server.misbehave(DnsStandIn.Fault.CUTS_ALL, 0);
        run(40).say("well again").server.misbehave(DnsStandIn.Fault.NONE, 0);
        run(20).reads("locator-cut");
    }

    @Test
    void twoHundredRecordsAreReadAndAFewOfThemUsed() {
        for (int i = 0; i < 200; i++) {
            zone.srv(NAME, 1, 1, "a" + i + ".example.org", 5060)
                    .a("a" + i + ".example.org", 10, 0, 0, i);
        }
        start();
        assertThat(trace.toString().lines().filter(line -> line.contains("located")).toList())
                .singleElement()
                .asString()
                .satisfies(line -> assertThat(line.split("udp:")).hasSize(9));
    }

    @Test
    void aHundredThousandCallersOfAnExpiredRecordMakeOneQuestion() {
        zone.a("a.example.org", 10, 0, 0, 1);
        List<Lookups.Worth> found = new ArrayList<>();
        int[] asked = {0};
        Lookups.Out out = (name, type) -> asked[0]++;
        lookups.ask(now, "a.example.org", DnsMessage.A, (at, f) -> found.add(f.worth()), out);
        DnsMessage answer = zone.answer(DnsMessage.question(1, "a.example.org", DnsMessage.A));
        lookups.answered(now, "a.example.org", DnsMessage.A, new Resolver.Result(answer, ""));
        now += 21_000_000;
        for (int i = 0; i < 100_000; i++) {
            lookups.ask(now, "a.example.org", DnsMessage.A, (at, f) -> found.add(f.worth()), out);
        }
        assertThat(asked[0]).isEqualTo(2);
        lookups.answered(
                now, "a.example.org", DnsMessage.A, new Resolver.Result(null, "no answer"));
        assertThat(found).hasSize(100_001);
        assertThat(found.subList(1, 100_001)).containsOnly(Lookups.Worth.STALE);
        lookups.ask(now + 1, "a.example.org", DnsMessage.A, (at, f) -> found.add(f.worth()), out);
        assertThat(asked[0]).as("a failure is remembered").isEqualTo(2);
        now += Lookups.STALE_FOR;
        lookups.ask(now, "a.example.org", DnsMessage.A, (at, f) -> found.add(f.worth()), out);
        lookups.answered(
                now, "a.example.org", DnsMessage.A, new Resolver.Result(null, "no answer"));
        assertThat(found.get(found.size() - 1)).isEqualTo(Lookups.Worth.NONE);
    }

    @Override
    public void located(long at, int number, List<String> addresses, boolean stale) {
        say("located " + number + " " + addresses + (stale ? " past its life" : ""));
    }

    @Override
    public void log(String event, String detail) {
        say(event + " " + detail);
    }

    @Override
    public void datagram(int socket, Resolver.Server to, byte[] bytes) {
        server.ask(bytes, false)
                .forEach(
                        packet ->
                                events.add(
                                        new Event(
                                                now + packet.delay(),
                                                order++,
                                                () ->
                                                        resolver.datagram(
                                                                now,
                                                                socket,
                                                                to,
                                                                packet.bytes(),
                                                                this))));
    }

    @Override
    public void stream(long key, Resolver.Server to, byte[] bytes) {
        server.ask(bytes, true)
                .forEach(
                        packet ->
                                events.add(
                                        new Event(
                                                now + packet.delay(),
                                                order++,
                                                () ->
                                                        resolver.stream(
                                                                now, key, packet.bytes(), this))));
    }

    @Override
    public void close(long key) {}

    @Override
    public void done(Object owner, Resolver.Result result) {
        Object[] asked = (Object[]) owner;
        locator.answered(now, (String) asked[0], (Integer) asked[1], result);
    }
}
