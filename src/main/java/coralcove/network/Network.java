package coralcove.network;

import coralcove.sip.SipCore;
import coralcove.sip.SipMessage;
import coralcove.sip.SipOutput;
import coralcove.sip.TransportAddress;

/**
 * Runs cores and carries their messages: over real sockets and the system clock, or over a seeded
 * network in virtual time. The cores are the same classes in both.
 */
public interface Network {
    /** An action on a core, run on the core's own thread. */
    interface NodeAction {
        void run(long now, SipOutput out);
    }

    /** Observes every message that an observed node sends or receives. Times are in µs. */
    interface MessageObserver {
        /** A message was sent ({@code out}) to {@code peer} or received from it. */
        void onMessage(long now, String node, boolean out, TransportAddress peer, byte[] bytes);

        /**
         * The same for networks that pass message objects without encoding them. The message must
         * not be retained.
         */
        default void onMessage(
                long now, String node, boolean out, TransportAddress peer, SipMessage message) {
            onMessage(now, node, out, peer, message.encode());
        }

        /** A stream of an observed node broke, or could not be opened ({@code refused}). */
        void onStreamFailure(long now, String node, TransportAddress peer, boolean refused);
    }

    /**
     * Starts a core as the node {@code name}, reachable over UDP and TCP at {@code self}. If {@code
     * observed}, the observer is informed of its messages.
     */
    void addNode(String name, TransportAddress self, SipCore core, boolean observed);

    /**
     * Ends a node abruptly, as killing its process would: it sends nothing more, and messages for
     * it are lost.
     */
    void killNode(String name);

    /**
     * Runs {@code action} on the thread of the node {@code name}; does nothing if there is no such
     * node.
     */
    void runOnNode(String name, NodeAction action);

    /**
     * Starts a network partition between two nodes in both directions, or ends it if {@code
     * partitioned} is false.
     */
    void setPartitioned(String one, String other, boolean partitioned);

    /** Runs {@code action} at {@code time} (µs), outside any core. */
    void schedule(long time, Runnable action);

    /** The current time in µs. */
    long now();

    /** Runs until the time {@code end}. */
    void run(long end);
}
