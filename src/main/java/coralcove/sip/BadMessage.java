package coralcove.sip;

/**
 * What was read is no SIP message; {@code partial} is what could be read of a request, to answer
 * 400, or null.
 */
public final class BadMessage extends Exception {
    private static final long serialVersionUID = 1;
    private final transient SipMessage partialMessage;

    public BadMessage(String reason, SipMessage partial) {
        super(reason);
        this.partialMessage = partial;
    }

    public SipMessage partialMessage() {
        return partialMessage;
    }
}
