package coralcove.platform.live;

/**
 * Remembers signals that arrive before the session router has been created, and passes them on once
 * it has been.
 */
final class PendingSignals {
    private Runnable drainAction;
    private Runnable reloadAction;
    private boolean drainRequested;
    private boolean reloadRequested;

    /** Handles a signal to drain. */
    void drain() {
        Runnable action;
        synchronized (this) {
            drainRequested = true;
            action = drainAction;
        }
        if (action != null) {
            action.run();
        }
    }

    /** Handles a signal to reload the configuration. */
    void reload() {
        Runnable action;
        synchronized (this) {
            reloadRequested = true;
            action = reloadAction;
        }
        if (action != null) {
            action.run();
        }
    }

    /** Sets the actions for later signals, and runs those for signals that arrived before. */
    void attach(Runnable onDrain, Runnable onReload) {
        boolean reloadPending;
        boolean drainPending;
        synchronized (this) {
            drainAction = onDrain;
            reloadAction = onReload;
            reloadPending = reloadRequested;
            drainPending = drainRequested;
        }
        if (reloadPending) {
            onReload.run();
        }
        if (drainPending) {
            onDrain.run();
        }
    }
}
