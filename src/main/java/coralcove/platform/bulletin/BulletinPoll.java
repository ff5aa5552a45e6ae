package coralcove.platform.bulletin;

import java.io.IOException;
import java.io.InputStream;
import java.net.HttpURLConnection;
import java.net.URI;
import java.util.concurrent.TimeUnit;

/**
 * Asks the bulletin for later events, one question at a time, on a thread of its own. A break, a stop or an answer that
 * cannot be read is asked again: what was told counts as told then, so it is soon.
 */
public final class BulletinPoll implements Runnable {
    /** Milliseconds that one question waits for news. The shorter, the sooner a silent bulletin is noticed. */
    private static final int PATIENCE = 1_000;
    /** Milliseconds past that in which the answer must come, and for the connection. */
    private static final int GRACE = 400;
    /** Milliseconds before a failed question is put again, doubling up to the longest. */
    private static final int AGAIN_FIRST = 50;
    private static final int AGAIN_LONGEST = 400;
    /** Bytes of the largest answer: the whole list of a thousand exchanges. */
    private static final int MOST_BYTES = 512 << 10;

    /** Hears what was told, on the poll's thread. */
    public interface Listener {
        void told(Bulletin bulletin);

        void failed(String reason);
    }

    private final Listener listener;
    private volatile String address;
    private volatile boolean closed;
    private volatile HttpURLConnection asked;
    private long last;

    public BulletinPoll(String address, long last, Listener listener) {
        this.address = address;
        this.last = last;
        this.listener = listener;
    }

    /** From now on another address is asked: the question that waits at the old one is dropped. The numbers go on. */
    public void address(String now) {
        if (!now.equals(address)) {
            address = now;
            HttpURLConnection waiting = asked;
            if (waiting != null) {
                waiting.disconnect();
            }
        }
    }

    public void close() {
        closed = true;
    }

    @Override
    public void run() {
        int again = AGAIN_FIRST;
        while (!closed) {
            try {
                Bulletin bulletin = Bulletin.read(ask());
                if (!bulletin.events().isEmpty()) {
                    listener.told(bulletin);
                }
                last = Math.max(last, bulletin.last());
                again = AGAIN_FIRST;
            } catch (IOException | RuntimeException e) {
                listener.failed(String.valueOf(e.getMessage()));
                try {
                    TimeUnit.MILLISECONDS.sleep(again);
                } catch (InterruptedException stop) {
                    return;
                }
                again = Math.min(AGAIN_LONGEST, 2 * again);
            }
        }
    }

    private byte[] ask() throws IOException {
        URI uri = URI.create("http://" + address + "/bulletins?after=" + last + "&patience=" + PATIENCE);
        HttpURLConnection http = (HttpURLConnection) uri.toURL().openConnection();
        http.setConnectTimeout(GRACE);
        http.setReadTimeout(PATIENCE + GRACE);
        asked = http;
        boolean whole = false;
        try (InputStream in = http.getInputStream()) {
            if (http.getResponseCode() != HttpURLConnection.HTTP_OK) {
                throw new IOException("bulletin: status " + http.getResponseCode());
            }
            byte[] body = in.readNBytes(MOST_BYTES + 1);
            if (body.length > MOST_BYTES) {
                throw new IOException("bulletin: longer than " + MOST_BYTES + " bytes");
            }
            whole = true;
            return body;
        } finally {
            asked = null;
            if (!whole) {
                http.disconnect();
            }
        }
    }
}
