package coralcove.bench;

import coralcove.sip.MalformedMessageException;
import coralcove.sip.SipMessage;
import coralcove.sip.SipParser;
import coralcove.sip.TimerWheel;
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
 * Benchmarks parsing and encoding of an INVITE as routers send it, and timers with 100,000 running.
 * Not run with the tests.
 */
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.NANOSECONDS)
@Warmup(iterations = 2, time = 1)
@Measurement(iterations = 3, time = 1)
@Fork(1)
public class SipBench {
    private static final int TIMER_COUNT = 100_000;

    /** One INVITE. */
    @State(Scope.Benchmark)
    public static class Invite {
        byte[] bytes;
        SipMessage message;

        @Setup
        public void make() throws MalformedMessageException {
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
    public SipMessage parse(Invite invite) throws MalformedMessageException {
        return SipParser.parse(invite.bytes, 0, invite.bytes.length);
    }

    @Benchmark
    public String parseAndFindTransaction(Invite invite) throws MalformedMessageException {
        SipMessage message = SipParser.parse(invite.bytes, 0, invite.bytes.length);
        return Via.parse(message.header("Via")).branch() + message.fromTag();
    }

    @Benchmark
    public byte[] write(Invite invite) {
        return invite.message.encode();
    }

    /**
     * 100,000 timers that expire within 32 s. Each step sets one and cancels another, as a
     * transaction that receives its response does.
     */
    @State(Scope.Benchmark)
    public static class RunningTimers {
        final SplittableRandom random = new SplittableRandom(1);
        final TimerWheel wheel = new TimerWheel();
        final TimerWheel.Timer[] timers = new TimerWheel.Timer[TIMER_COUNT];
        final PriorityQueue<long[]> heap = new PriorityQueue<>((a, b) -> Long.compare(a[0], b[0]));
        final long[][] entries = new long[TIMER_COUNT][];
        ScheduledThreadPoolExecutor pool;
        final ScheduledFuture<?>[] futures = new ScheduledFuture<?>[TIMER_COUNT];
        int index;
        long now = 1_700_000_000_000_000L;

        @Setup
        public void fill() {
            pool = new ScheduledThreadPoolExecutor(1);
            pool.setRemoveOnCancelPolicy(true);
            for (int i = 0; i < TIMER_COUNT; i++) {
                long expiry = now + 20_000_000 + random.nextLong(32_000_000);
                timers[i] = wheel.schedule(expiry, (n, o) -> {});
                entries[i] = new long[] {expiry};
                heap.add(entries[i]);
                futures[i] = pool.schedule(() -> {}, expiry - now, TimeUnit.MICROSECONDS);
            }
        }

        @TearDown
        public void close() {
            pool.shutdownNow();
        }

        long next() {
            index = index + 1 == TIMER_COUNT ? 0 : index + 1;
            return now + 20_000_000 + random.nextLong(32_000_000);
        }
    }

    @Benchmark
    public void timersWheel(RunningTimers state) {
        long expiry = state.next();
        state.wheel.cancel(state.timers[state.index]);
        state.timers[state.index] = state.wheel.schedule(expiry, (n, o) -> {});
    }

    /**
     * A binary heap can only find a timer to cancel by a linear search, so the usual implementation
     * marks it as cancelled and leaves it in the heap.
     */
    @Benchmark
    public void timersHeap(RunningTimers state) {
        long expiry = state.next();
        state.entries[state.index] = new long[] {expiry};
        state.heap.add(state.entries[state.index]);
        state.heap.poll();
    }

    @Benchmark
    public void timersExecutor(RunningTimers state) {
        long expiry = state.next();
        state.futures[state.index].cancel(false);
        state.futures[state.index] =
                state.pool.schedule(() -> {}, expiry - state.now, TimeUnit.MICROSECONDS);
    }
}
