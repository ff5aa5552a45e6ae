package coralcove.bench;

import coralcove.sip.BadMessage;
import coralcove.sip.SipMessage;
import coralcove.sip.SipParser;
import coralcove.sip.Timers;
import coralcove.sip.Via;
import java.nio.charset.StandardCharsets;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.BenchmarkMode;
import org.openjdk.jmh.annotations.Fork;
import org.openjdk.jmh.annotations.Measurement;
import org.openjdk.jmh.annotations.Mode;
import org.openjdk.jmh.annotations.OutputTimeUnit;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.Setup;
import org.openjdk.jmh.annotations.State;
import org.openjdk.jmh.annotations.TearDown;
import org.openjdk.jmh.annotations.Warmup;

/**
 * Parse and write of an INVITE as the routers send it; timers at 100,000 standing. Not run by the
 * tests.
 */
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.NANOSECONDS)
@Warmup(iterations = 2, time = 1)
@Measurement(iterations = 3, time = 1)
@Fork(1)
public class SipBench {
    private static final int STANDING = 100_000;

    /** One INVITE. */
    @State(Scope.Benchmark)
    public static class Invite {
        byte[] bytes;
        SipMessage message;

        @Setup
        public void make() throws BadMessage {
            bytes =
                    ("INVITE sip:123456@127.0.0.1:5060 SIP/2.0\r\n"
                         + "Via: SIP/2.0/UDP 127.0.0.1:5062;rport;branch=z9hG4bKs1.77\r\n"
                         + "Max-Forwards: 69\r\n"
                         + "From: <sip:127.0.0.1:5062>;tag=s1a9\r\n"
                         + "To: <sip:123456@127.0.0.1:5060>\r\n"
                         + "Call-ID: s1-a9\r\n"
                         + "CSeq: 1 INVITE\r\n"
                         + "Contact: <sip:127.0.0.1:5062>\r\n"
                         + "X-Service: 0;value=1.0;width=1\r\n"
                         + "X-Far-End: 5\r\n"
                         + "X-Origin: 3\r\n"
                         + "Expires: 4\r\n"
                         + "X-Time-Left: 3148200\r\n"
                         + "Session-ID: 000000030000000193fd51efc1b84f00\r\n"
                         + "Supported: timer\r\n"
                         + "Session-Expires: 90;refresher=uac\r\n"
                         + "Min-SE: 90\r\n"
                         + "Route: <sip:5@127.0.0.1:5070;lr>\r\n"
                         + "Content-Length: 0\r\n\r\n")
                            .getBytes(StandardCharsets.UTF_8);
            message = SipParser.parse(bytes, 0, bytes.length);
        }
    }

    @Benchmark
    public SipMessage parse(Invite it) throws BadMessage {
        return SipParser.parse(it.bytes, 0, it.bytes.length);
    }

    @Benchmark
    public String parseAndFindTransaction(Invite it) throws BadMessage {
        SipMessage message = SipParser.parse(it.bytes, 0, it.bytes.length);
        return Via.of(message.header("Via")).branch() + message.fromTag();
    }

    @Benchmark
    public byte[] write(Invite it) {
        return it.message.bytes();
    }

    /**
     * 100,000 timers within 32 s; each step sets one and cancels another, as a transaction that is
     * answered does.
     */
    @State(Scope.Benchmark)
    public static class Standing {
        final SplittableRandom chance = new SplittableRandom(1);
        final Timers wheel = new Timers();
        final Timers.Timer[] timers = new Timers.Timer[STANDING];
        final PriorityQueue<long[]> heap = new PriorityQueue<>((a, b) -> Long.compare(a[0], b[0]));
        final long[][] entries = new long[STANDING][];
        ScheduledThreadPoolExecutor pool;
        final ScheduledFuture<?>[] futures = new ScheduledFuture<?>[STANDING];
        int at;
        long now = 1_700_000_000_000_000L;

        @Setup
        public void fill() {
            pool = new ScheduledThreadPoolExecutor(1);
            pool.setRemoveOnCancelPolicy(true);
            for (int i = 0; i < STANDING; i++) {
                long due = now + 20_000_000 + chance.nextLong(32_000_000);
                timers[i] = wheel.set(due, (n, o) -> {});
                entries[i] = new long[] {due};
                heap.add(entries[i]);
                futures[i] = pool.schedule(() -> {}, due - now, TimeUnit.MICROSECONDS);
            }
        }

        @TearDown
        public void close() {
            pool.shutdownNow();
        }

        long next() {
            at = at + 1 == STANDING ? 0 : at + 1;
            return now + 20_000_000 + chance.nextLong(32_000_000);
        }
    }

    @Benchmark
    public void timersWheel(Standing it) {
        long due = it.next();
        it.wheel.cancel(it.timers[it.at]);
        it.timers[it.at] = it.wheel.set(due, (n, o) -> {});
    }

    /**
     * A binary heap finds a timer to cancel by looking at all, so it marks it and lets it stand, as
     * is usual.
     */
    @Benchmark
    public void timersHeap(Standing it) {
        long due = it.next();
        it.entries[it.at] = new long[] {due};
        it.heap.add(it.entries[it.at]);
        it.heap.poll();
    }

    @Benchmark
    public void timersExecutor(Standing it) {
        long due = it.next();
        it.futures[it.at].cancel(false);
        it.futures[it.at] = it.pool.schedule(() -> {}, due - it.now, TimeUnit.MICROSECONDS);
    }
}
