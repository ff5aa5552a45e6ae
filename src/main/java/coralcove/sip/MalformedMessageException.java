package coralcove.sip;

/** Thrown when the bytes read are not a valid SIP message. */
public final class MalformedMessageException extends Exception {
    private static final long serialVersionUID = 1;
    private final transient SipMessage partialMessage;

    /**
     * {@code partialMessage} holds the part that could be parsed, so that a request can be answered
     * with 400; null if there is none.
     */
    public MalformedMessageException(String reason, SipMessage partialMessage) {
        super(reason);
        this.partialMessage = partialMessage;
    }

    /** The part of the message that could be parsed, or null. */
    public SipMessage partialMessage() {
        return partialMessage;
    }
}
