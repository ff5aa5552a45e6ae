package coralcove.platform;

import coralcove.platform.caller.CallerMessage;
import coralcove.sip.SipMessage;

/**
 * The outputs of the core, carried out in order on the sockets. Connections of callers and to
 * exchanges are identified by numbers.
 */
public interface Actions {
    /** Sends a message on a caller's connection. */
    void sendToCaller(long caller, CallerMessage message);

    /** Whether input was read from a caller's connection that the core was not passed yet. */
    boolean hasQueuedInput(long caller);

    /** Closes a caller's connection once everything written before has been sent. */
    void closeCaller(long caller);

    /**
     * Opens a connection to an exchange; the result is passed to {@link
     * RouterCore#exchangeConnectionUp} or {@link RouterCore#exchangeConnectionDown}.
     */
    void connectToExchange(long connection, String address);

    /** Sends a message on a connection to an exchange. */
    void sendToExchange(long connection, SipMessage message);

    /** Closes a connection to an exchange; no event of it is reported any more. */
    void closeExchangeConnection(long connection);

    /** Broadcasts a message to the peer routers. */
    void sendToPeers(byte[] body);

    /** Logs an event; {@code session} is the call id or empty. */
    void log(String event, String session, String detail);

    /** Stops accepting callers' connections; open ones continue. */
    void stopAccepting();

    /** Ends the program once everything written before has been sent. */
    void exit();
}
