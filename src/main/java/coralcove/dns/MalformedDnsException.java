package coralcove.dns;

/** Thrown for bytes that are not a valid DNS message or record; the message gives the reason. */
public final class MalformedDnsException extends Exception {
    private static final long serialVersionUID = 1;

    MalformedDnsException(String reason) {
        super(reason);
    }
}
