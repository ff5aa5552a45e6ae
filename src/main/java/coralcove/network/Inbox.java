package coralcove.network;

import coralcove.overload.Gate;
import coralcove.sip.Hop;
import java.util.ArrayDeque;
import java.util.concurrent.TimeUnit;

/**
 * What one node has read and not looked at yet, in the order that {@link Gate} decides. Filled by
 * MINA's threads, emptied by the node's own. What an input is, is seen from its first bytes; it is
 * parsed when its turn comes.
 */
final class Inbox {
    /** One thing to look at: bytes that were read, or an act of the node itself. */
    record Input(Hop from, byte[] bytes, Network.Act act, Gate.Kind kind, long at) {}

    /**
     * Inputs and bytes waiting: 20,000 set-ups are four seconds' worth at 5,000 a second, and none
     * waits that long.
     */
    private static final Gate.Bounds BOUNDS =
            new Gate.Bounds(100_000, 50_000, 10_000, 20_000, 64L << 20);

    private final Gate gate = new Gate(BOUNDS);
    private final ArrayDeque<Input> answers = new ArrayDeque<>();
    private final ArrayDeque<Input> releases = new ArrayDeque<>();
    private final ArrayDeque<Input> news = new ArrayDeque<>();
    private final ArrayDeque<Input> setUps = new ArrayDeque<>();
    private long bytes;
    private long dropped;

    /** What a message is, by its first bytes. */
    static Gate.Kind kind(byte[] bytes) {
        return switch (bytes.length == 0 ? 0 : bytes[0]) {
            case 'S' -> bytes.length > 2 && bytes[1] == 'I' ? Gate.Kind.ANSWER : Gate.Kind.NEWS;
            case 'A', 'B', 'C' -> Gate.Kind.RELEASE;
            case 'I' -> Gate.Kind.SET_UP;
            default -> Gate.Kind.NEWS;
        };
    }

    synchronized void read(Hop from, byte[] message, long now) {
        Gate.Kind kind = kind(message);
        // A CANCEL must not overtake the INVITE that it is for, which may be among the set-ups that
        // wait.
        boolean behind = kind == Gate.Kind.RELEASE && message[0] == 'C' && !setUps.isEmpty();
        add(new Input(from, message, null, behind ? Gate.Kind.SET_UP : kind, now));
    }

    /** Acts of the node and its network are never dropped; there are few. */
    synchronized void act(Network.Act act, long now) {
        answers.add(new Input(null, null, act, Gate.Kind.ANSWER, now));
        notifyAll();
    }

    private void add(Input input) {
        ArrayDeque<Input> queue = queue(input.kind);
        if (gate.offer(input.kind, queue.size(), bytes) == Gate.Verdict.TAKE) {
            queue.add(input);
            bytes += input.bytes.length;
            notifyAll();
        } else {
            dropped++;
        }
    }

    private ArrayDeque<Input> queue(Gate.Kind kind) {
        return switch (kind) {
            case ANSWER -> answers;
            case RELEASE -> releases;
            case NEWS -> news;
            case SET_UP -> setUps;
        };
    }

    /** The next input, waited for until {@code micros} have passed; null where none came. */
    synchronized Input next(long micros) throws InterruptedException {
        Gate.Kind kind = gate.next(answers.size(), releases.size(), news.size(), setUps.size());
        if (kind == null && micros > 0) {
            TimeUnit.MICROSECONDS.timedWait(this, micros);
            kind = gate.next(answers.size(), releases.size(), news.size(), setUps.size());
        }
        Input input = kind == null ? null : queue(kind).poll();
        bytes -= input == null || input.bytes == null ? 0 : input.bytes.length;
        return input;
    }

    /**
     * The next answer that waits, null where none does: what was read before a timer ran out counts
     * before it.
     */
    synchronized Input answer() {
        Input input = answers.poll();
        bytes -= input == null || input.bytes == null ? 0 : input.bytes.length;
        return input;
    }

    /** Asked by the node's thread alone, as {@link Gate} keeps no lock. */
    synchronized Gate.Verdict look(long now, Input input, boolean repeat) {
        return gate.look(now, now - input.at, repeat);
    }

    synchronized long comeBack() {
        return gate.comeBack();
    }

    synchronized long dropped() {
        return dropped;
    }
}
