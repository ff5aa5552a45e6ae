package coralcove.dns;

/** Bytes that are no DNS message; the message says why. */
public final class BadDns extends Exception {
    private static final long serialVersionUID = 1;

    BadDns(String reason) {
        super(reason);
    }
}
