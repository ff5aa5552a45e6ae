package coralcove.judge;

import java.util.ArrayList;
import java.util.List;

/**
 * What the judge found of one rule: how often it was put to the test, how often broken, and the
 * first breaches.
 */
public final class Verdict {
    /** Breaches kept in words. */
    private static final int KEPT = 20;

    public final String rule;
    private long checked;
    private long broken;
    private final List<String> breaches = new ArrayList<>();

    Verdict(String rule) {
        this.rule = rule;
    }

    void check(boolean kept, long at, String node, String session, String what) {
        checked++;
        if (!kept) {
            broken++;
            if (breaches.size() < KEPT) {
                breaches.add(at + " " + node + " " + session + " " + rule + ": " + what);
            }
        }
    }

    public long checked() {
        return checked;
    }

    public long broken() {
        return broken;
    }

    public List<String> breaches() {
        return breaches;
    }
}
