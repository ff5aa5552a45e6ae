package coralcove.network;

import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Pairs of nodes between which nothing passes, by name, so that a node that is started again stays
 * cut off.
 */
final class Cuts {
    private final Set<String> pairs = ConcurrentHashMap.newKeySet();

    private static String pair(String one, String other) {
        return one.compareTo(other) < 0 ? one + "|" + other : other + "|" + one;
    }

    void set(String one, String other, boolean off) {
        if (off) {
            pairs.add(pair(one, other));
        } else {
            pairs.remove(pair(one, other));
        }
    }

    boolean between(String one, String other) {
        return !pairs.isEmpty() && pairs.contains(pair(one, other));
    }
}
