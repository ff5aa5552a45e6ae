package coralcove.dns;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import coralcove.Kept;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/** The resolver against the stand-in server in virtual time, with each of its faults. */
class ResolverTest {
    private static final Resolver.Server FIRST = new Resolver.Server("s1", 53);
    private static final Resolver.Server SECOND = new Resolver.Server("s2", 53);
    private static final String SUFFIX = "e164.arpa";

    private record Event(long at, long order, Runnable act) {}

    /** Both in one virtual time; the trace leaves ids and ports out, which are chance. */
    private static final class Net implements Resolver.Out {
        final StringBuilder told = new StringBuilder();
        final PriorityQueue<Event> events =
                new PriorityQueue<>(
                        (a, b) ->
                                a.at != b.at
                                        ? Long.compare(a.at, b.at)
                                        : Long.compare(a.order, b.order));
        final Resolver resolver;
        final DnsStandIn first = server();
        final DnsStandIn second = server();
        byte[] lastSent;
        int lastSocket;
        long now;
        long order;

        Net(int tries) {
            resolver =
                    new Resolver(
                            new Resolver.Settings(List.of(FIRST, SECOND), 200_000, tries, 16, 4),
                            new SplittableRandom(3));
        }

        static DnsStandIn server() {
            return new DnsStandIn(
                    SUFFIX, Map.of("8190123", "81410001")::get, 300, 4000, new SplittableRandom(1));
        }

        void at(long time, Runnable act) {
            events.add(new Event(time, order++, act));
        }

        void say(String what) {
            told.append(now / 1000).append(" ms  ").append(what).append('\n');
        }

        Net ask(String digits) {
            resolver.ask(now, Enum.name(digits, SUFFIX), DnsMessage.NAPTR, digits, this);
            return run(now + 2_000_000);
        }

        Net run(long until) {
            while (true) {
                long next =
                        Math.min(
                                resolver.due(),
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
                }
            }
        }

        @Override
        public void datagram(int socket, Resolver.Server to, byte[] bytes) {
            say("asks " + to.host());
            lastSent = bytes;
            lastSocket = socket;
            (to.equals(FIRST) ? first : second)
                    .ask(bytes, false)
                    .forEach(
                            packet ->
                                    at(
                                            now + packet.delay(),
                                            () ->
                                                    resolver.datagram(
                                                            now,
                                                            socket,
                                                            to,
                                                            packet.bytes(),
                                                            this)));
        }

        @Override
        public void stream(long key, Resolver.Server to, byte[] bytes) {
            say("asks " + to.host() + " over a stream");
            (to.equals(FIRST) ? first : second)
                    .ask(bytes, true)
                    .forEach(
                            packet ->
                                    at(
                                            now + packet.delay(),
                                            () -> resolver.stream(now, key, packet.bytes(), this)));
        }

        @Override
        public void close(long key) {
            say("closes the stream");
        }

        @Override
        public void done(Object owner, Resolver.Result result) {
            try {
                say(
                        owner
                                + ": "
                                + (result.answer() == null
                                        ? "failed, " + result.failure()
                                        : Enum.ported(result.answer(), (String) owner)));
            } catch (BadDns e) {
                say(owner + ": bad, " + e.getMessage());
            }
        }
    }

    @Test
    void eachFaultOfTheServerEndsAQuestionOnceAndInTime() {
        StringBuilder all = new StringBuilder();
        for (DnsStandIn.Fault fault : DnsStandIn.Fault.values()) {
            Net net = new Net(3);
            net.first.misbehave(fault, 500_000);
            net.ask("8190123").ask("8190999");
            all.append("== the first server: ")
                    .append(fault)
                    .append('\n')
                    .append(net.told)
                    .append(net.resolver.counts())
                    .append('\n');
            assertThat(net.resolver.out()).isZero();
        }
        assertThat(all.toString()).isEqualTo(Kept.trace("resolver-faults"));
    }

    /**
     * An answer with another id, from another server, to another port or to another question is not
     * heard.
     */
    @Test
    void forgedAnswersAreNotHeard() throws Exception {
        Net net = new Net(1);
        net.first.misbehave(DnsStandIn.Fault.DEAD, 0);
        net.resolver.ask(0, Enum.name("8190123", SUFFIX), DnsMessage.NAPTR, "8190123", net);
        DnsMessage asked = DnsMessage.read(net.lastSent);
        byte[] forged = Net.server().ask(net.lastSent, false).get(0).bytes();
        net.resolver.datagram(1, net.lastSocket, SECOND, forged, net);
        net.resolver.datagram(1, net.lastSocket + 1, FIRST, forged, net);
        byte[] other =
                DnsMessage.question(asked.id() + 1, asked.name(), asked.type())
                        .answer(0, List.of(), List.of())
                        .bytes();
        net.resolver.datagram(1, net.lastSocket, FIRST, other, net);
        net.resolver.datagram(1, net.lastSocket, FIRST, net.lastSent, net);
        net.resolver.datagram(1, net.lastSocket, FIRST, new byte[] {1}, net);
        assertThat(net.resolver.out()).isEqualTo(1);
        net.resolver.datagram(2, net.lastSocket, FIRST, forged, net);
        net.resolver.datagram(2, net.lastSocket, FIRST, forged, net);
        assertThat(net.told.toString())
                .isEqualTo("0 ms  asks s1\n0 ms  8190123: Ported[routing=81410001, life=300]\n");
        assertThat(net.resolver.counts().toString())
                .isEqualTo("{answered=1, other-question=1, sent=1, unasked=5}");
    }

    @Test
    void tooManyQuestionsEndAtOnce() {
        Net net = new Net(1);
        net.first.misbehave(DnsStandIn.Fault.DEAD, 0);
        for (int i = 0; i < 6; i++) {
            net.resolver.ask(0, "x" + i, DnsMessage.NAPTR, "x" + i, net);
        }
        assertThat(net.told.toString())
                .endsWith(
                        "x4: failed, too many questions out\n"
                                + "0 ms  x5: failed, too many questions out\n");
    }

    @Test
    void expressionsAndRoutingNumbers() throws Exception {
        StringBuilder told = new StringBuilder();
        for (String regexp :
                List.of(
                        "!^.*$!tel:+8190;npdi;rn=+8141!",
                        "!^\\+81(.*)$!tel:+81\\1;npdi;rn=\\1!",
                        "!^(.*)$!tel:\\1;rn=4100;rn-context=+81!",
                        "!^.*$!tel:+819;npdi!",
                        "!^.*$!sip:x@y!",
                        "!^.*$!tel:+8;rn=x!",
                        "!^(.*$!tel:+1!",
                        "no",
                        "!!!",
                        "!^.*$!tel:\\9!")) {
            DnsMessage question = DnsMessage.question(1, "n", DnsMessage.NAPTR);
            DnsMessage answer =
                    DnsMessage.read(
                            question.answer(
                                            0,
                                            List.of(
                                                    new DnsMessage.Resource(
                                                            "n",
                                                            DnsMessage.NAPTR,
                                                            60,
                                                            new Naptr(
                                                                            1,
                                                                            1,
                                                                            "u",
                                                                            "E2U+pstn:tel",
                                                                            regexp,
                                                                            "")
                                                                    .bytes())),
                                            List.of())
                                    .bytes());
            try {
                told.append(regexp).append("  ").append(Enum.ported(answer, "81901")).append('\n');
            } catch (BadDns e) {
                told.append(regexp).append("  ").append(e.getMessage()).append('\n');
            }
        }
        assertThat(told.toString()).isEqualTo(Kept.trace("enum"));
    }

    /** Any bytes are read or refused, never more. */
    @Test
    void anyBytesAreReadOrRefused() throws Exception {
        SplittableRandom chance = new SplittableRandom(9);
        byte[] good =
                Net.server()
                        .ask(
                                DnsMessage.question(
                                                7, Enum.name("8190123", SUFFIX), DnsMessage.NAPTR)
                                        .bytes(),
                                false)
                        .get(0)
                        .bytes();
        assertThat(DnsMessage.read(good).bytes()).isEqualTo(good);
        int bad = 0;
        for (int i = 0; i < 200_000; i++) {
            byte[] bytes = java.util.Arrays.copyOf(good, chance.nextInt(good.length + 1));
            for (int j = chance.nextInt(4); j > 0 && bytes.length > 0; j--) {
                bytes[chance.nextInt(bytes.length)] = (byte) chance.nextInt(256);
            }
            try {
                Enum.ported(DnsMessage.read(bytes), "8190123");
            } catch (BadDns e) {
                bad++;
            }
        }
        assertThat(bad).isBetween(100_000, 199_999);
        assertThatThrownBy(() -> DnsMessage.read(new byte[0])).hasMessage("cut short at byte 0");
    }
}
