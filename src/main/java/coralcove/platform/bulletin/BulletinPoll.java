package coralcove.platform.bulletin;

import java.io.IOException;
import java.net.InetSocketAddress;

/**
 * Asks the bulletin for later events, one question at a time, on a thread of its own. A break, a
 * stop or an answer that cannot be read is asked again: what was told counts as told then, so it is
 * soon.
 */
public final class BulletinPoll implements Runnable {
    /**
     * Milliseconds that one question waits for news. The shorter, the sooner a silent bulletin is
     * noticed.
     */
    private static final int PATIENCE = 1_000;

    /**
     * The same for the first question and after one that failed: what was missed is wanted now, and
     * not in a second.
     */
    private static final int NO_PATIENCE = 1;

    /** Milliseconds past that in which the whole answer must have come, with the connection. */
    private static final int GRACE = 400;

    /** Milliseconds before a failed question is put again, doubling up to the longest. */
    private static final int AGAIN_FIRST = 50;

    private static final int AGAIN_LONGEST = 200;

    /** Hears what was told, on the poll's thread. */
    public interface Listener {
        /** An answer came; it holds no event where there was none. */
        void told(Bulletin bulletin);

        void failed(String reason);
    }

    private final Listener listener;
    private final BulletinConnection connection = new BulletinConnection();
    private InetSocketAddress address;
    private boolean closed;
    private long last;

    public BulletinPoll(InetSocketAddress address, long last, Listener listener) {
        this.address = address;
        this.last = last;
        this.listener = listener;
    }

    /**
     * From now on another address is asked: the question that waits at the old one is dropped. The
     * numbers go on.
     */
    public synchronized void address(InetSocketAddress now) {
        if (!now.equals(address)) {
            address = now;
            connection.close();
            notifyAll();
        }
    }

    public synchronized void close() {
        closed = true;
        connection.close();
        notifyAll();
    }

    private synchronized InetSocketAddress next() {
        return closed ? null : address;
    }

    @Override
    public void run() {
        int again = AGAIN_FIRST;
        int patience = NO_PATIENCE;
        while (true) {
            InetSocketAddress asked = next();
            if (asked == null) {
                return;
            }
            try {
                Bulletin bulletin =
                        Bulletin.read(
                                connection.get(
                                        asked,
                                        "/bulletins?after=" + last + "&patience=" + patience,
                                        patience + GRACE,
                                        () -> asked.equals(next())));
                listener.told(bulletin);
                last = Math.max(last, bulletin.last());
                again = AGAIN_FIRST;
                patience = PATIENCE;
            } catch (IOException | RuntimeException e) {
                patience = NO_PATIENCE;
                if (!failed(asked, String.valueOf(e.getMessage()), again)) {
                    return;
                }
                again = Math.min(AGAIN_LONGEST, 2 * again);
            }
        }
    }

    /**
     * Waits before the next question, but not where another address is to be asked; false where the
     * thread is to end.
     */
    private synchronized boolean failed(InetSocketAddress asked, String reason, int millis) {
        if (closed || !asked.equals(address)) {
            return true;
        }
        listener.failed(reason);
        try {
            wait(millis);
            return true;
        } catch (InterruptedException stop) {
            return false;
        }
    }
}
