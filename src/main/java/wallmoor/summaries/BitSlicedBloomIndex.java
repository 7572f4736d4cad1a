package wallmoor.summaries;

import java.util.Arrays;
import java.util.BitSet;

/**
 * Filters of one size side by side: a row for each place in them, a bit of it for each filter. Whether any of 10,000
 * filters has a key is then twelve rows ANDed, not 10,000 filters tried.
 */
final class BitSlicedBloomIndex {
    private final long[][] rows;
    private final BitSet used = new BitSet();
    private int[] slots = new int[64];

    BitSlicedBloomIndex(int bits) {
        rows = new long[bits][];
    }

    /** Lays a slot's filter beside the others; returns its column. */
    int add(int slot, KeyBloomFilter filter) {
        int column = used.nextClearBit(0);
        used.set(column);
        if (column >= slots.length) {
            slots = Arrays.copyOf(slots, slots.length * 2);
        }
        slots[column] = slot;
        set(column, filter);
        return column;
    }

    /** Adds a filter's keys to a column. */
    void set(int column, KeyBloomFilter filter) {
        long[] words = filter.words();
        for (int w = 0; w < words.length; w++) {
            for (long left = words[w]; left != 0; left &= left - 1) {
                int place = (w << 6) + Long.numberOfTrailingZeros(left);
                long[] row = rows[place];
                if (row == null || row.length <= column >> 6) {
                    int wanted = (column >> 6) + 1;
                    row = row == null ? new long[wanted]
                            : Arrays.copyOf(row, Math.max(wanted, row.length + row.length / 4));
                    rows[place] = row;
                }
                row[column >> 6] |= 1L << column;
            }
        }
    }

    void remove(int column) {
        for (long[] row : rows) {
            if (row != null && row.length > column >> 6) {
                row[column >> 6] &= ~(1L << column);
            }
        }
        used.clear(column);
    }

    /** Sets the slots whose filter may have the key. */
    void may(long hash, BitSet to) {
        var places = new int[KeyBloomFilter.PLACES];
        var at = new int[1];
        KeyBloomFilter.places(hash, rows.length, p -> places[at[0]++] = (int) p);
        int words = Integer.MAX_VALUE;
        for (int p : places) {
            words = Math.min(words, rows[p] == null ? 0 : rows[p].length);
        }
        for (int w = 0; w < words; w++) {
            long all = -1;
            for (int i = 0; i < places.length && all != 0; i++) {
                all &= rows[places[i]][w];
            }
            for (; all != 0; all &= all - 1) {
                to.set(slots[(w << 6) + Long.numberOfTrailingZeros(all)]);
            }
        }
    }

    long bytes() {
        long bytes = 8L * rows.length + 4L * slots.length;
        for (long[] row : rows) {
            bytes += row == null ? 0 : 16 + 8L * row.length;
        }
        return bytes;
    }
}
