package coralcove.platform.live;

/**
 * Signals that come before there is a router are kept for it: a later configuration, or that it is
 * to go.
 */
final class EarlySignals {
    private Runnable drain;
    private Runnable reload;
    private boolean drained;
    private boolean reloaded;

    void drain() {
        Runnable act;
        synchronized (this) {
            drained = true;
            act = drain;
        }
        if (act != null) {
            act.run();
        }
    }

    void reload() {
        Runnable act;
        synchronized (this) {
            reloaded = true;
            act = reload;
        }
        if (act != null) {
            act.run();
        }
    }

    /** There is one now; what came before is done first. */
    void to(Runnable drainNow, Runnable reloadNow) {
        boolean reloadFirst;
        boolean drainFirst;
        synchronized (this) {
            drain = drainNow;
            reload = reloadNow;
            reloadFirst = reloaded;
            drainFirst = drained;
        }
        if (reloadFirst) {
            reloadNow.run();
        }
        if (drainFirst) {
            drainNow.run();
        }
    }
}
