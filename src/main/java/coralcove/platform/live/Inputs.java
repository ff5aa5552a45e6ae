package coralcove.platform.live;

import java.util.ArrayDeque;

/**
 * What the sockets have read and the core has not looked at yet. Exchanges' answers and the
 * program's own acts come before what callers send, so that a flood of set-ups puts no answer off.
 * At a bound the reading thread waits, and the kernel holds the sender back: nothing that was read
 * is lost.
 */
final class Inputs {
    /** Bytes waiting from callers, and from exchanges: some ten thousand messages. */
    private static final long MOST_BYTES = 2L << 20;

    /** Inputs waiting of each kind, also those without bytes. */
    private static final int MOST = 20_000;

    /** Milliseconds that a reading thread waits at a bound before it looks again. */
    private static final long BOUND_WAIT = 50;

    /**
     * One input: what it does to the core, how many bytes it holds, and whether it may be held
     * back.
     */
    record Input(Runnable act, int bytes, boolean caller) {}

    private final ArrayDeque<Input> first = new ArrayDeque<>();
    private final ArrayDeque<Input> callers = new ArrayDeque<>();
    private long firstBytes;
    private long callerBytes;
    private boolean closed;

    /** From exchanges, the bulletin, peers and signals. */
    void first(int bytes, Runnable act) {
        put(new Input(act, bytes, false));
    }

    void caller(int bytes, Runnable act) {
        put(new Input(act, bytes, true));
    }

    private synchronized void put(Input input) {
        try {
            while (!closed && full(input)) {
                wait(BOUND_WAIT);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return;
        }
        (input.caller ? callers : first).add(input);
        callerBytes += input.caller ? input.bytes : 0;
        firstBytes += input.caller ? 0 : input.bytes;
        notifyAll();
    }

    private boolean full(Input input) {
        return input.caller
                ? callerBytes > MOST_BYTES || callers.size() >= MOST
                : firstBytes > MOST_BYTES || first.size() >= MOST;
    }

    /** The next input, waited for at most so many µs; null where none came. */
    synchronized Input next(long micros) throws InterruptedException {
        if (micros > 0 && first.isEmpty() && callers.isEmpty()) {
            wait(micros / 1000, (int) (micros % 1000) * 1000);
        }
        boolean wasFull =
                callerBytes > MOST_BYTES
                        || firstBytes > MOST_BYTES
                        || callers.size() >= MOST
                        || first.size() >= MOST;
        Input input = first.isEmpty() ? callers.poll() : first.poll();
        if (input != null) {
            callerBytes -= input.caller ? input.bytes : 0;
            firstBytes -= input.caller ? 0 : input.bytes;
            if (wasFull) {
                notifyAll();
            }
        }
        return input;
    }

    synchronized void close() {
        closed = true;
        notifyAll();
    }
}
