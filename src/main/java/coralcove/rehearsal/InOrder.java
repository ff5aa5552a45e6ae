package coralcove.rehearsal;

import coralcove.judge.Witness;
import coralcove.network.LiveNetwork;
import coralcove.network.Network;
import coralcove.sip.Hop;
import java.util.PriorityQueue;
import java.util.concurrent.ConcurrentLinkedQueue;

/**
 * Hears a live capture from many threads and passes it on from one, in order of time: what is older
 * than {@link #BEHIND} has no earlier message still to come.
 */
final class InOrder implements Network.Tap, Witness, AutoCloseable {
    /**
     * µs: longer than a thread is kept from handing on what it has stamped, on a loaded machine.
     */
    private static final long BEHIND = 2_000_000;

    private record Seen(
            long at,
            long order,
            String node,
            boolean out,
            Hop peer,
            byte[] bytes,
            boolean refused,
            Runnable mark) {}

    private final Network.Tap audience;
    private final Witness judge;
    private final ConcurrentLinkedQueue<Seen> incoming = new ConcurrentLinkedQueue<>();
    private final PriorityQueue<Seen> waiting =
            new PriorityQueue<>(
                    (a, b) ->
                            a.at != b.at
                                    ? Long.compare(a.at, b.at)
                                    : Long.compare(a.order, b.order));
    private final Thread thread = new Thread(this::run, "capture");
    private volatile boolean closed;
    private long orders;
    private long last;
    private long outOfOrder;

    InOrder(Network.Tap audience, Witness judge) {
        this.audience = audience;
        this.judge = judge;
        thread.start();
    }

    @Override
    public void message(long now, String node, boolean out, Hop peer, byte[] bytes) {
        incoming.add(new Seen(now, 0, node, out, peer, bytes, false, null));
    }

    @Override
    public void broken(long now, String node, Hop peer, boolean refused) {
        incoming.add(new Seen(now, 0, node, false, peer, null, refused, null));
    }

    @Override
    public void killed(String node) {
        mark(LiveNetwork.clock(), () -> judge.killed(node));
    }

    @Override
    public void started(int number, long since) {
        mark(since, () -> judge.started(number, since));
    }

    /** Something that happens to the judge itself at this place in the order. */
    private void mark(long at, Runnable mark) {
        incoming.add(new Seen(at, 0, "", false, null, null, false, mark));
    }

    private void run() {
        while (!closed || !incoming.isEmpty()) {
            pass(LiveNetwork.clock() - BEHIND);
            try {
                Thread.sleep(closed ? 0 : 20);
            } catch (InterruptedException e) {
                // Closing: what is left is passed on below.
                closed = true;
            }
        }
        pass(Long.MAX_VALUE);
    }

    private void pass(long until) {
        for (Seen seen = incoming.poll(); seen != null; seen = incoming.poll()) {
            waiting.add(
                    new Seen(
                            seen.at,
                            orders++,
                            seen.node,
                            seen.out,
                            seen.peer,
                            seen.bytes,
                            seen.refused,
                            seen.mark));
        }
        while (!waiting.isEmpty() && waiting.peek().at <= until) {
            Seen seen = waiting.poll();
            outOfOrder += seen.at < last ? 1 : 0;
            last = Math.max(last, seen.at);
            tell(seen);
        }
    }

    private void tell(Seen seen) {
        if (seen.mark != null) {
            seen.mark.run();
        } else if (seen.bytes == null) {
            audience.broken(seen.at, seen.node, seen.peer, seen.refused);
        } else {
            audience.message(seen.at, seen.node, seen.out, seen.peer, seen.bytes);
        }
    }

    @Override
    public void close() {
        closed = true;
        try {
            thread.join();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        if (outOfOrder > 0) {
            System.err.println(
                    "coralcove: "
                            + outOfOrder
                            + " captured messages came too late to be put in order");
            outOfOrder = 0;
        }
    }
}
