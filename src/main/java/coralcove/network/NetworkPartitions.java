package coralcove.network;

import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Pairs of nodes that cannot reach each other. Pairs are stored by node name, so a restarted node
 * stays partitioned.
 */
final class NetworkPartitions {
    private final Set<String> partitionedPairs = ConcurrentHashMap.newKeySet();

    private static String pairKey(String one, String other) {
        return one.compareTo(other) < 0 ? one + "|" + other : other + "|" + one;
    }

    void setPartitioned(String one, String other, boolean partitioned) {
        if (partitioned) {
            partitionedPairs.add(pairKey(one, other));
        } else {
            partitionedPairs.remove(pairKey(one, other));
        }
    }

    boolean isPartitioned(String one, String other) {
        return !partitionedPairs.isEmpty() && partitionedPairs.contains(pairKey(one, other));
    }
}
