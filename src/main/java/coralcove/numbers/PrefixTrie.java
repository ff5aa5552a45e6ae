package coralcove.numbers;

import java.util.Arrays;

/**
 * An immutable map from number prefixes to positive values with longest-prefix match. It is a
 * radix-10 trie with compressed paths in one int array: four ints per node, the children of a node
 * adjacent. An edit returns a new trie that shares all nodes except those on the path to the
 * change, which are appended to the array. Older tries stay valid for their readers; only one
 * thread at a time may edit.
 */
public final class PrefixTrie {
    /**
     * The node array, shared by a trie and the tries edited from it; only the newest of them may
     * append.
     */
    private static final class Store {
        int[] cells;
        int used;

        Store(int[] cells, int used) {
            this.cells = cells;
            this.used = used;
        }
    }

    /**
     * Ints per node: index of the first child; number of skipped digits and bitmap of children; the
     * skipped digits; the value, 0 for none.
     */
    private static final int NODE_INTS = 4;

    /** The number of skipped digits is above the bitmap of children, which has bits 1 to 10. */
    private static final int SKIP_SHIFT = 11;

    private static final int CHILDREN_MASK = (1 << SKIP_SHIFT) - 1;

    /** Digits that one node can skip: 28 bits of an int. */
    private static final int MAX_SKIPPED_DIGITS = 7;

    /** A new array has at least 1 / SPARE_DIVISOR of its used size free for edits. */
    private static final int SPARE_DIVISOR = 8;

    /** The least room for edits in a new array. */
    private static final int MIN_SPARE_INTS = 1 << 12;

    /** The largest array: 2 GiB, some 60 million prefixes. */
    private static final int MAX_STORE_INTS = 1 << 29;

    /** Share of the array's ints not used by the newest trie above which it should be packed. */
    private static final double PACKING_WASTE_SHARE = 0.3;

    private final Store store;
    private final int[] cells;
    private final int root;

    /** The store's used size when this trie was made: if it has grown, a newer trie exists. */
    private final int end;

    private final int size;

    /** Ints used by older tries only, as far as counted. */
    private final int wastedInts;

    private PrefixTrie(Store store, int root, int size, int wastedInts) {
        this.store = store;
        this.cells = store.cells;
        this.root = root;
        this.end = store.used;
        this.size = size;
        this.wastedInts = wastedInts;
    }

    /** A trie without prefixes. */
    public static PrefixTrie empty() {
        return of(new long[0], new int[0], 0);
    }

    /**
     * Builds a trie from the first {@code count} keys ({@link Digits}), in strictly ascending
     * order, and their values. The empty prefix is allowed.
     *
     * @throws IllegalArgumentException if a key is repeated or out of order, or a value is below 1
     */
    public static PrefixTrie of(long[] keys, int[] values, int count) {
        for (int i = 0; i < count; i++) {
            if (i > 0 && keys[i] <= keys[i - 1]) {
                throw new IllegalArgumentException(
                        "prefix " + Digits.unpack(keys[i]) + " is out of order or there twice");
            }
            if (values[i] < 1) {
                throw new IllegalArgumentException(
                        "prefix " + Digits.unpack(keys[i]) + " has value " + values[i]);
            }
        }
        Builder builder = new Builder(keys, values, count);
        builder.fill(0, 0, count, 0);
        int[] cells = Arrays.copyOf(builder.cells, withSpareRoom(builder.used));
        return new PrefixTrie(new Store(cells, builder.used), 0, count, 0);
    }

    private static int withSpareRoom(int used) {
        return (int)
                Math.min(
                        MAX_STORE_INTS,
                        used + (long) Math.max(MIN_SPARE_INTS, used / SPARE_DIVISOR));
    }

    /** The number of prefixes. */
    public int size() {
        return size;
    }

    /** Memory of the node array in bytes, including the room for edits. */
    public long memoryBytes() {
        return 4L * cells.length;
    }

    /**
     * Whether so much of the array belongs only to older tries that {@link #packed} is worthwhile.
     */
    public boolean shouldPack() {
        return wastedInts > PACKING_WASTE_SHARE * end;
    }

    /** A copy with the same prefixes in an array of its own, without the nodes of older tries. */
    public PrefixTrie packed() {
        long[] keys = new long[size];
        int[] values = new int[size];
        int[] count = {0};
        forEach(
                (key, value) -> {
                    keys[count[0]] = key;
                    values[count[0]++] = value;
                });
        return of(keys, values, size);
    }

    /** The value of the longest prefix of {@code number}, 0 if no prefix matches. */
    public int longestPrefixValue(long number) {
        return (int) longestPrefix(number);
    }

    /**
     * The length of the longest matching prefix in the upper 32 bits and its value in the lower; 0
     * if no prefix matches.
     */
    public long longestPrefix(long number) {
        int[] nodes = cells;
        int node = root;
        int depth = 0;
        long best = 0;
        while (true) {
            int meta = nodes[node + 1];
            int skip = meta >>> SKIP_SHIFT;
            if (skip > 0) {
                // Past the number's end slice gives 0, which no skipped digit equals.
                if (Digits.slice(number, depth, skip) != nodes[node + 2]) {
                    return best;
                }
                depth += skip;
            }
            if (nodes[node + 3] != 0) {
                best = (long) depth << 32 | nodes[node + 3];
            }
            if (depth == Digits.MAX_LENGTH) {
                return best;
            }
            int bit = 1 << Digits.digitAt(number, depth);
            // Bit 0 stands for the end of the number and is never set.
            if ((meta & CHILDREN_MASK & bit) == 0) {
                return best;
            }
            node = nodes[node] + NODE_INTS * Integer.bitCount(meta & bit - 1);
            depth++;
        }
    }

    /** The value of exactly this prefix, 0 if the trie does not contain it. */
    public int get(long prefix) {
        long found = longestPrefix(prefix);
        return found >>> 32 == Digits.length(prefix) ? (int) found : 0;
    }

    /** Receives each prefix and its value. */
    public interface Visitor {
        void visit(long key, int value);
    }

    /** Calls the visitor with all prefixes in ascending order. */
    public void forEach(Visitor visitor) {
        forEach(root, 0, 0, visitor);
    }

    private void forEach(int node, long key, int at, Visitor visitor) {
        int meta = cells[node + 1];
        int skip = meta >>> SKIP_SHIFT;
        long prefix =
                skip == 0
                        ? key
                        : key | (long) cells[node + 2] << 4 * (Digits.MAX_LENGTH - at - skip);
        int depth = at + skip;
        if (cells[node + 3] != 0) {
            visitor.visit(prefix, cells[node + 3]);
        }
        int child = cells[node];
        for (int digit = 1; digit <= 10; digit++) {
            if ((meta & 1 << digit) != 0) {
                forEach(
                        child,
                        prefix | (long) digit << 4 * (Digits.MAX_LENGTH - depth - 1),
                        depth + 1,
                        visitor);
                child += NODE_INTS;
            }
        }
    }

    // Edits.

    /** A trie in which this prefix has this value, whether it existed before or not. */
    public PrefixTrie with(long prefix, int value) {
        if (value < 1) {
            throw new IllegalArgumentException("value " + value);
        }
        return withEdit(prefix, value);
    }

    /** A trie without this prefix; this trie itself if it does not contain the prefix. */
    public PrefixTrie without(long prefix) {
        return get(prefix) == 0 ? this : withEdit(prefix, 0);
    }

    private PrefixTrie withEdit(long prefix, int value) {
        // If another edit of this trie has already appended to the store, this edit gets a copy.
        Store target =
                store.used == end
                        ? store
                        : new Store(Arrays.copyOf(cells, withSpareRoom(end)), end);
        Edit edit = new Edit(target);
        int before = get(prefix);
        int[] top = edit.put(root, 0, prefix, Digits.length(prefix), value);
        int newRoot = edit.append(top == null ? new int[NODE_INTS] : top);
        int sizeChange = (value != 0 ? 1 : 0) - (before != 0 ? 1 : 0);
        return new PrefixTrie(
                target, newRoot, size + sizeChange, wastedInts + edit.replacedInts + NODE_INTS);
    }

    /** One change: appends new nodes from the changed one up to the root. */
    private static final class Edit {
        private final Store store;
        private int replacedInts;

        Edit(Store store) {
            this.store = store;
        }

        /**
         * Sets a key's value below a node, or removes the key if {@code value} is 0. Returns the
         * node's new ints, null if the node is gone.
         */
        int[] put(int node, int at, long key, int length, int value) {
            int[] copy = Arrays.copyOfRange(store.cells, node, node + NODE_INTS);
            int skip = copy[1] >>> SKIP_SHIFT;
            int same = 0;
            while (same < skip
                    && at + same < length
                    && Digits.digitAt(key, at + same) == (copy[2] >>> 4 * (skip - same - 1) & 15)) {
                same++;
            }
            if (same < skip) {
                return value == 0 ? copy : split(copy, skip, same, at, key, length, value);
            }
            int depth = at + skip;
            if (depth == length) {
                copy[3] = value;
                return collapse(copy);
            }
            int digit = Digits.digitAt(key, depth);
            int count = Integer.bitCount(copy[1] & CHILDREN_MASK);
            int position = Integer.bitCount(copy[1] & (1 << digit) - 1);
            boolean exists = (copy[1] & 1 << digit) != 0;
            int[] child =
                    exists
                            ? put(copy[0] + NODE_INTS * position, depth + 1, key, length, value)
                            : leaf(key, depth + 1, length, value);
            int[] block = new int[NODE_INTS * (count + (exists ? 0 : 1) - (child == null ? 1 : 0))];
            System.arraycopy(store.cells, copy[0], block, 0, NODE_INTS * position);
            int to = NODE_INTS * position;
            if (child != null) {
                System.arraycopy(child, 0, block, to, NODE_INTS);
                to += NODE_INTS;
            }
            int from = copy[0] + NODE_INTS * (position + (exists ? 1 : 0));
            System.arraycopy(store.cells, from, block, to, block.length - to);
            replacedInts += NODE_INTS * count;
            copy[1] = child == null ? copy[1] & ~(1 << digit) : copy[1] | 1 << digit;
            copy[0] = block.length == 0 ? 0 : append(block);
            return collapse(copy);
        }

        /**
         * Splits a node whose skipped digits differ from the key's after the first {@code same}
         * ones.
         */
        private int[] split(
                int[] copy, int skip, int same, int at, long key, int length, int value) {
            int[] top = new int[NODE_INTS];
            int digit = copy[2] >>> 4 * (skip - same - 1) & 15;
            int rest = skip - same - 1;
            int[] lower = {
                copy[0],
                copy[1] & CHILDREN_MASK | rest << SKIP_SHIFT,
                copy[2] & (1 << 4 * rest) - 1,
                copy[3]
            };
            top[2] = copy[2] >>> 4 * (skip - same);
            top[1] = same << SKIP_SHIFT | 1 << digit;
            if (at + same == length) {
                top[3] = value;
                top[0] = append(lower);
                return top;
            }
            int other = Digits.digitAt(key, at + same);
            int[] leaf = leaf(key, at + same + 1, length, value);
            int[] block = new int[2 * NODE_INTS];
            System.arraycopy(lower, 0, block, digit < other ? 0 : NODE_INTS, NODE_INTS);
            System.arraycopy(leaf, 0, block, digit < other ? NODE_INTS : 0, NODE_INTS);
            top[1] |= 1 << other;
            top[0] = append(block);
            return top;
        }

        /**
         * A new node for the rest of a key, with nodes below it if the rest is too long to be
         * skipped by one.
         */
        private int[] leaf(long key, int at, int length, int value) {
            int rest = length - at;
            if (rest <= MAX_SKIPPED_DIGITS) {
                return new int[] {
                    0, rest << SKIP_SHIFT, rest == 0 ? 0 : Digits.slice(key, at, rest), value
                };
            }
            int child = append(leaf(key, at + MAX_SKIPPED_DIGITS + 1, length, value));
            return new int[] {
                child,
                MAX_SKIPPED_DIGITS << SKIP_SHIFT
                        | 1 << Digits.digitAt(key, at + MAX_SKIPPED_DIGITS),
                Digits.slice(key, at, MAX_SKIPPED_DIGITS),
                0
            };
        }

        /**
         * Simplifies a node without a value: null if it has no child, merged with its child if it
         * has just one.
         */
        private int[] collapse(int[] copy) {
            int children = copy[1] & CHILDREN_MASK;
            if (copy[3] != 0 || Integer.bitCount(children) > 1) {
                return copy;
            }
            if (children == 0) {
                return null;
            }
            int skip = copy[1] >>> SKIP_SHIFT;
            int below = store.cells[copy[0] + 1] >>> SKIP_SHIFT;
            if (skip + 1 + below > MAX_SKIPPED_DIGITS) {
                return copy;
            }
            int digit = Integer.numberOfTrailingZeros(children);
            replacedInts += NODE_INTS;
            return new int[] {
                store.cells[copy[0]],
                store.cells[copy[0] + 1] & CHILDREN_MASK | skip + 1 + below << SKIP_SHIFT,
                (copy[2] << 4 | digit) << 4 * below | store.cells[copy[0] + 2],
                store.cells[copy[0] + 3]
            };
        }

        /** Appends nodes to the array and returns their index. */
        int append(int[] block) {
            if (store.used + block.length > store.cells.length) {
                if (store.used + block.length > MAX_STORE_INTS) {
                    throw new IllegalStateException(
                            "a table of more than " + MAX_STORE_INTS / NODE_INTS + " nodes");
                }
                // Older tries still refer to the previous array.
                store.cells = Arrays.copyOf(store.cells, withSpareRoom(store.used + block.length));
            }
            System.arraycopy(block, 0, store.cells, store.used, block.length);
            store.used += block.length;
            return store.used - block.length;
        }
    }

    /**
     * Builds a trie from sorted keys; adjacent space for a node's children is reserved before they
     * are filled.
     */
    private static final class Builder {
        private final long[] keys;
        private final int[] values;
        private int[] cells;
        private int used = NODE_INTS;

        Builder(long[] keys, int[] values, int count) {
            this.keys = keys;
            this.values = values;
            cells = new int[Math.max(64, (int) Math.min(MAX_STORE_INTS, count * 6L))];
        }

        /** Fills a node from the keys in from..to, whose first {@code at} digits lead to it. */
        void fill(int node, int from, int to, int at) {
            if (from == to) {
                return;
            }
            int skip =
                    Math.min(
                            MAX_SKIPPED_DIGITS,
                            Digits.commonPrefixLength(keys[from], keys[to - 1]) - at);
            int depth = at + skip;
            int first = from;
            if (Digits.length(keys[from]) == depth) {
                cells[node + 3] = values[from];
                first++;
            }
            int children = 0;
            for (int i = first; i < to; i = groupEnd(i, to, depth)) {
                children |= 1 << Digits.digitAt(keys[i], depth);
            }
            int child = used;
            used += NODE_INTS * Integer.bitCount(children);
            if (used > cells.length) {
                cells = Arrays.copyOf(cells, (int) Math.min(MAX_STORE_INTS, used * 3L / 2));
            }
            cells[node] = children == 0 ? 0 : child;
            cells[node + 1] = skip << SKIP_SHIFT | children;
            cells[node + 2] = skip == 0 ? 0 : Digits.slice(keys[from], at, skip);
            for (int i = first; i < to; ) {
                int end = groupEnd(i, to, depth);
                fill(child, i, end, depth + 1);
                child += NODE_INTS;
                i = end;
            }
        }

        /**
         * The index after the last key in from..to that has the same digit at {@code depth} as the
         * first.
         */
        private int groupEnd(int from, int to, int depth) {
            long past =
                    Digits.prefix(keys[from], depth + 1)
                            + (1L << 4 * (Digits.MAX_LENGTH - depth - 1));
            int found = Arrays.binarySearch(keys, from, to, past);
            return found < 0 ? -found - 1 : found;
        }
    }
}
