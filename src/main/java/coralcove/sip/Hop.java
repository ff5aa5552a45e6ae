package coralcove.sip;

/** Where a message goes or came from: one transport address. */
public record Hop(boolean tcp, String host, int port) {
    public Hop over(boolean stream) {
        return stream == tcp ? this : new Hop(stream, host, port);
    }

    @Override
    public String toString() {
        return (tcp ? "tcp:" : "udp:") + host + ":" + port;
    }
}
