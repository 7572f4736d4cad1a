package wallmoor.summaries;

import java.util.Arrays;
import java.util.BitSet;

/**
 * A bit-sliced index of Bloom filters of one size. It has a row for each bit position of the filters, and in each row
 * one bit (a column) for each filter. Looking up a key in 10,000 filters takes the AND of 12 rows instead of 10,000
 * look-ups.
 */
final class BitSlicedBloomIndex {
    private final long[][] rows;
    private final BitSet usedColumns = new BitSet();
    private int[] slots = new int[64];

    BitSlicedBloomIndex(int bits) {
        rows = new long[bits][];
    }

    /** Adds the filter of a slot and returns its column. */
    int add(int slot, KeyBloomFilter filter) {
        int column = usedColumns.nextClearBit(0);
        usedColumns.set(column);
        if (column >= slots.length) {
            slots = Arrays.copyOf(slots, slots.length * 2);
        }
        slots[column] = slot;
        addKeys(column, filter);
        return column;
    }

    /** Adds the keys of a filter to a column. */
    void addKeys(int column, KeyBloomFilter filter) {
        long[] words = filter.words();
        for (int w = 0; w < words.length; w++) {
            for (long remaining = words[w]; remaining != 0; remaining &= remaining - 1) {
                int position = (w << 6) + Long.numberOfTrailingZeros(remaining);
                long[] row = rows[position];
                if (row == null || row.length <= column >> 6) {
                    int requiredWords = (column >> 6) + 1;
                    row = row == null ? new long[requiredWords]
                            : Arrays.copyOf(row, Math.max(requiredWords, row.length + row.length / 4));
                    rows[position] = row;
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
        usedColumns.clear(column);
    }

    /** Adds the slots whose filter might contain the key with this hash. */
    void collectSlots(long hash, BitSet result) {
        var positions = new int[KeyBloomFilter.HASH_FUNCTIONS];
        var count = new int[1];
        KeyBloomFilter.forEachBitPosition(hash, rows.length, p -> positions[count[0]++] = (int) p);
        int words = Integer.MAX_VALUE;
        for (int p : positions) {
            words = Math.min(words, rows[p] == null ? 0 : rows[p].length);
        }
        for (int w = 0; w < words; w++) {
            long matches = -1;
            for (int i = 0; i < positions.length && matches != 0; i++) {
                matches &= rows[positions[i]][w];
            }
            for (; matches != 0; matches &= matches - 1) {
                result.set(slots[(w << 6) + Long.numberOfTrailingZeros(matches)]);
            }
        }
    }

    /** Returns the approximate memory of the index in bytes. */
    long bytes() {
        long bytes = 8L * rows.length + 4L * slots.length;
        for (long[] row : rows) {
            bytes += row == null ? 0 : 16 + 8L * row.length;
        }
        return bytes;
    }
}
