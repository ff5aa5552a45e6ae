package coralcove.network;

import coralcove.sip.Core;
import coralcove.sip.Hop;
import coralcove.sip.Out;
import coralcove.sip.SipMessage;

/**
 * Where cores run: sockets and a clock, or a seeded network in virtual time. Both run the same
 * classes.
 */
public interface Network {
    /** What a day does to a core at a moment, on the core's own thread. */
    interface Act {
        void run(long now, Out out);
    }

    /** Hears of every message that a tapped node sends or reads, with its time. */
    interface Tap {
        void message(long now, String node, boolean out, Hop peer, byte[] bytes);

        /** The same where messages cross as they are, without their text; it is not kept. */
        default void message(long now, String node, boolean out, Hop peer, SipMessage message) {
            message(now, node, out, peer, message.bytes());
        }

        /** A stream of a tapped node broke, or ({@code refused}) could not be opened. */
        void broken(long now, String node, Hop peer, boolean refused);
    }

    /**
     * Starts a core as the node {@code name}, reached over UDP and TCP at {@code self}'s address.
     */
    void add(String name, Hop self, Core core, boolean tapped);

    /** Ends a node as a kill does: nothing more of it is sent, and what comes for it is lost. */
    void kill(String name);

    void on(String name, Act act);

    /** From now on ({@code off}), or no longer, nothing passes between two nodes, either way. */
    void cut(String one, String other, boolean off);

    /** Runs {@code act} at a moment, outside any core. */
    void at(long time, Runnable act);

    long now();

    /** Goes on until {@code end}. */
    void run(long end);
}
