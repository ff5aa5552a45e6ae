package coralcove.judge;

import java.util.ArrayList;
import java.util.List;

/**
 * Result of one rule: how often it was checked, how often it was broken, and the first breaches.
 */
public final class RuleResult {
    /** Most breaches recorded with a description. */
    private static final int MAX_BREACHES = 20;

    public final String rule;
    private long checked;
    private long broken;
    private final List<String> breaches = new ArrayList<>();

    RuleResult(String rule) {
        this.rule = rule;
    }

    void check(boolean passed, long at, String node, String session, String description) {
        checked++;
        if (!passed) {
            broken++;
            if (breaches.size() < MAX_BREACHES) {
                breaches.add(at + " " + node + " " + session + " " + rule + ": " + description);
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
