package coralcove.numbers;

import java.util.Arrays;

/**
 * Prefixes of numbers and a value above 0 for each; the longest that begins a number wins. A trie
 * with compressed paths in one int array, four ints a node, the children of a node side by side. It
 * never changes: an edit gives a new trie that shares all nodes but those on the way to the change,
 * which it writes behind the others. Readers of older tries are not disturbed; edits come from one
 * thread at a time.
 */
public final class PrefixTrie {
    /** What edits write to: the tries of one line share it, and only the newest may write on. */
    private static final class Store {
        int[] cells;
        int used;

        Store(int[] cells, int used) {
            this.cells = cells;
            this.used = used;
        }
    }

    /**
     * Ints of a node: its first child, which children and how many skipped digits, those digits,
     * its value.
     */
    private static final int NODE = 4;

    private static final int SKIPPED = 11;
    private static final int CHILDREN = (1 << SKIPPED) - 1;

    /** Digits that one node skips at most: 28 bits of an int. */
    private static final int MOST_SKIPPED = 7;

    /** The part of a store kept free for edits when it is made, and the least, in ints. */
    private static final int SPARE = 8;

    private static final int LEAST_SPARE = 1 << 12;

    /** Ints of a store at most: 2 GiB, some 60 million prefixes. */
    private static final int MOST_CELLS = 1 << 29;

    /**
     * Share of the store's ints that no longer belong to the newest trie from which it is worth
     * packing.
     */
    private static final double WASTE = 0.3;

    private final Store store;
    private final int[] cells;
    private final int root;
    private final int end;
    private final int size;

    /** Ints written for older tries only, so far as known. */
    private final int waste;

    private PrefixTrie(Store store, int root, int size, int waste) {
        this.store = store;
        this.cells = store.cells;
        this.root = root;
        this.end = store.used;
        this.size = size;
        this.waste = waste;
    }

    public static PrefixTrie empty() {
        return of(new long[0], new int[0], 0);
    }

    /**
     * Of the first {@code count} keys ({@link Digits}), which rise strictly, and their values. The
     * empty prefix is allowed; a key twice or out of order, or a value below 1, is an {@link
     * IllegalArgumentException}.
     */
    public static PrefixTrie of(long[] keys, int[] values, int count) {
        for (int i = 0; i < count; i++) {
            if (i > 0 && keys[i] <= keys[i - 1]) {
                throw new IllegalArgumentException(
                        "prefix " + Digits.text(keys[i]) + " is out of order or there twice");
            }
            if (values[i] < 1) {
                throw new IllegalArgumentException(
                        "prefix " + Digits.text(keys[i]) + " has value " + values[i]);
            }
        }
        Builder builder = new Builder(keys, values, count);
        builder.fill(0, 0, count, 0);
        int[] cells = Arrays.copyOf(builder.cells, spare(builder.used));
        return new PrefixTrie(new Store(cells, builder.used), 0, count, 0);
    }

    private static int spare(int used) {
        return (int) Math.min(MOST_CELLS, used + (long) Math.max(LEAST_SPARE, used / SPARE));
    }

    public int size() {
        return size;
    }

    /** Bytes that the nodes take, room for edits included. */
    public long bytes() {
        return 4L * cells.length;
    }

    public boolean worthPacking() {
        return waste > WASTE * end;
    }

    /** The same prefixes without what edits left behind, in a store of its own. */
    public PrefixTrie packed() {
        long[] keys = new long[size];
        int[] values = new int[size];
        int[] count = {0};
        each(
                (key, value) -> {
                    keys[count[0]] = key;
                    values[count[0]++] = value;
                });
        return of(keys, values, size);
    }

    /** The value of the longest prefix of {@code number}, 0 if none begins it. */
    public int find(long number) {
        return (int) longest(number);
    }

    /**
     * The longest prefix's length in the upper, its value in the lower 32 bits; 0 if none begins
     * the number.
     */
    public long longest(long number) {
        int[] all = cells;
        int node = root;
        int at = 0;
        long best = 0;
        while (true) {
            int meta = all[node + 1];
            int skip = meta >>> SKIPPED;
            if (skip > 0) {
                // A digit past the number's end is 0 and equals none that is skipped.
                if (Digits.part(number, at, skip) != all[node + 2]) {
                    return best;
                }
                at += skip;
            }
            if (all[node + 3] != 0) {
                best = (long) at << 32 | all[node + 3];
            }
            if (at == Digits.MOST) {
                return best;
            }
            int bit = 1 << Digits.at(number, at);
            // Bit 0, the end of the number, is never set.
            if ((meta & CHILDREN & bit) == 0) {
                return best;
            }
            node = all[node] + NODE * Integer.bitCount(meta & bit - 1);
            at++;
        }
    }

    /** The value of exactly this prefix, 0 if it has none. */
    public int get(long prefix) {
        long found = longest(prefix);
        return found >>> 32 == Digits.length(prefix) ? (int) found : 0;
    }

    /** What {@link #each} calls. */
    public interface Visitor {
        void prefix(long key, int value);
    }

    /** All prefixes in rising order. */
    public void each(Visitor visitor) {
        each(root, 0, 0, visitor);
    }

    private void each(int node, long key, int at, Visitor visitor) {
        int meta = cells[node + 1];
        int skip = meta >>> SKIPPED;
        long here = skip == 0 ? key : key | (long) cells[node + 2] << 4 * (Digits.MOST - at - skip);
        int depth = at + skip;
        if (cells[node + 3] != 0) {
            visitor.prefix(here, cells[node + 3]);
        }
        int child = cells[node];
        for (int digit = 1; digit <= 10; digit++) {
            if ((meta & 1 << digit) != 0) {
                each(
                        child,
                        here | (long) digit << 4 * (Digits.MOST - depth - 1),
                        depth + 1,
                        visitor);
                child += NODE;
            }
        }
    }

    // ---- edits

    /** With this value for this prefix, new or in place of the old one. */
    public PrefixTrie with(long prefix, int value) {
        if (value < 1) {
            throw new IllegalArgumentException("value " + value);
        }
        return edited(prefix, value);
    }

    /** Without this prefix; the same trie if it is not there. */
    public PrefixTrie without(long prefix) {
        return get(prefix) == 0 ? this : edited(prefix, 0);
    }

    private PrefixTrie edited(long prefix, int value) {
        // Another edit of this trie has written behind it: that line keeps the store, this one gets
        // its own.
        Store own = store.used == end ? store : new Store(Arrays.copyOf(cells, spare(end)), end);
        Edit edit = new Edit(own);
        int before = get(prefix);
        int[] top = edit.put(root, 0, prefix, Digits.length(prefix), value);
        int at = edit.write(top == null ? new int[NODE] : top);
        int change = (value != 0 ? 1 : 0) - (before != 0 ? 1 : 0);
        return new PrefixTrie(own, at, size + change, waste + edit.left + NODE);
    }

    /** One change: new nodes behind the old, from the changed one up to the root. */
    private static final class Edit {
        private final Store store;
        private int left;

        Edit(Store store) {
            this.store = store;
        }

        /** What a node becomes; null where nothing is left of it. */
        int[] put(int node, int at, long key, int length, int value) {
            int[] now = Arrays.copyOfRange(store.cells, node, node + NODE);
            int skip = now[1] >>> SKIPPED;
            int same = 0;
            while (same < skip
                    && at + same < length
                    && Digits.at(key, at + same) == (now[2] >>> 4 * (skip - same - 1) & 15)) {
                same++;
            }
            if (same < skip) {
                return value == 0 ? now : split(now, skip, same, at, key, length, value);
            }
            int depth = at + skip;
            if (depth == length) {
                now[3] = value;
                return tidy(now);
            }
            int digit = Digits.at(key, depth);
            int count = Integer.bitCount(now[1] & CHILDREN);
            int place = Integer.bitCount(now[1] & (1 << digit) - 1);
            boolean there = (now[1] & 1 << digit) != 0;
            int[] child =
                    there
                            ? put(now[0] + NODE * place, depth + 1, key, length, value)
                            : leaf(key, depth + 1, length, value);
            int[] block = new int[NODE * (count + (there ? 0 : 1) - (child == null ? 1 : 0))];
            System.arraycopy(store.cells, now[0], block, 0, NODE * place);
            int to = NODE * place;
            if (child != null) {
                System.arraycopy(child, 0, block, to, NODE);
                to += NODE;
            }
            int from = now[0] + NODE * (place + (there ? 1 : 0));
            System.arraycopy(store.cells, from, block, to, block.length - to);
            left += NODE * count;
            now[1] = child == null ? now[1] & ~(1 << digit) : now[1] | 1 << digit;
            now[0] = block.length == 0 ? 0 : write(block);
            return tidy(now);
        }

        /** A node whose skipped digits part from the key's after {@code same} of them. */
        private int[] split(
                int[] now, int skip, int same, int at, long key, int length, int value) {
            int[] top = new int[NODE];
            int digit = now[2] >>> 4 * (skip - same - 1) & 15;
            int rest = skip - same - 1;
            int[] lower = {
                now[0], now[1] & CHILDREN | rest << SKIPPED, now[2] & (1 << 4 * rest) - 1, now[3]
            };
            top[2] = now[2] >>> 4 * (skip - same);
            top[1] = same << SKIPPED | 1 << digit;
            if (at + same == length) {
                top[3] = value;
                top[0] = write(lower);
                return top;
            }
            int other = Digits.at(key, at + same);
            int[] leaf = leaf(key, at + same + 1, length, value);
            int[] block = new int[2 * NODE];
            System.arraycopy(lower, 0, block, digit < other ? 0 : NODE, NODE);
            System.arraycopy(leaf, 0, block, digit < other ? NODE : 0, NODE);
            top[1] |= 1 << other;
            top[0] = write(block);
            return top;
        }

        private int[] leaf(long key, int at, int length, int value) {
            int rest = length - at;
            if (rest <= MOST_SKIPPED) {
                return new int[] {
                    0, rest << SKIPPED, rest == 0 ? 0 : Digits.part(key, at, rest), value
                };
            }
            int child = write(leaf(key, at + MOST_SKIPPED + 1, length, value));
            return new int[] {
                child,
                MOST_SKIPPED << SKIPPED | 1 << Digits.at(key, at + MOST_SKIPPED),
                Digits.part(key, at, MOST_SKIPPED),
                0
            };
        }

        /**
         * A node without a value goes if it has no child, and is one with its child if it has one
         * only.
         */
        private int[] tidy(int[] now) {
            int children = now[1] & CHILDREN;
            if (now[3] != 0 || Integer.bitCount(children) > 1) {
                return now;
            }
            if (children == 0) {
                return null;
            }
            int skip = now[1] >>> SKIPPED;
            int below = store.cells[now[0] + 1] >>> SKIPPED;
            if (skip + 1 + below > MOST_SKIPPED) {
                return now;
            }
            int digit = Integer.numberOfTrailingZeros(children);
            left += NODE;
            return new int[] {
                store.cells[now[0]],
                store.cells[now[0] + 1] & CHILDREN | skip + 1 + below << SKIPPED,
                (now[2] << 4 | digit) << 4 * below | store.cells[now[0] + 2],
                store.cells[now[0] + 3]
            };
        }

        int write(int[] block) {
            if (store.used + block.length > store.cells.length) {
                if (store.used + block.length > MOST_CELLS) {
                    throw new IllegalStateException(
                            "a table of more than " + MOST_CELLS / NODE + " nodes");
                }
                // Older tries keep the array they know.
                store.cells = Arrays.copyOf(store.cells, spare(store.used + block.length));
            }
            System.arraycopy(block, 0, store.cells, store.used, block.length);
            store.used += block.length;
            return store.used - block.length;
        }
    }

    /**
     * Builds from sorted keys: the children of a node are given their places before they are
     * filled.
     */
    private static final class Builder {
        private final long[] keys;
        private final int[] values;
        private int[] cells;
        private int used = NODE;

        Builder(long[] keys, int[] values, int count) {
            this.keys = keys;
            this.values = values;
            cells = new int[Math.max(64, (int) Math.min(MOST_CELLS, count * 6L))];
        }

        void fill(int node, int from, int to, int at) {
            if (from == to) {
                return;
            }
            int skip = Math.min(MOST_SKIPPED, Digits.common(keys[from], keys[to - 1]) - at);
            int depth = at + skip;
            int first = from;
            if (Digits.length(keys[from]) == depth) {
                cells[node + 3] = values[from];
                first++;
            }
            int children = 0;
            for (int i = first; i < to; i = end(i, to, depth)) {
                children |= 1 << Digits.at(keys[i], depth);
            }
            int child = used;
            used += NODE * Integer.bitCount(children);
            if (used > cells.length) {
                cells = Arrays.copyOf(cells, (int) Math.min(MOST_CELLS, used * 3L / 2));
            }
            cells[node] = children == 0 ? 0 : child;
            cells[node + 1] = skip << SKIPPED | children;
            cells[node + 2] = skip == 0 ? 0 : Digits.part(keys[from], at, skip);
            for (int i = first; i < to; ) {
                int end = end(i, to, depth);
                fill(child, i, end, depth + 1);
                child += NODE;
                i = end;
            }
        }

        /** Past the last key in from..to that has the same digit at {@code depth} as the first. */
        private int end(int from, int to, int depth) {
            long past = Digits.head(keys[from], depth + 1) + (1L << 4 * (Digits.MOST - depth - 1));
            int found = Arrays.binarySearch(keys, from, to, past);
            return found < 0 ? -found - 1 : found;
        }
    }
}
