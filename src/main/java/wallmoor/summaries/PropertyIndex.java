package wallmoor.summaries;

import java.util.Arrays;
import java.util.BitSet;
import java.util.HashMap;
import java.util.Map;

/**
 * The index of one property over the summaries of all sites. A look-up may return a site that cannot match, but never
 * misses one that can.
 */
final class PropertyIndex {
    private final BitSet indexedSlots = new BitSet();
    private final Map<Integer, BitSlicedBloomIndex> filters = new HashMap<>();
    private int[] filterBits = new int[0];
    private int[] columns = new int[0];
    private double[] smallestNumbers = new double[0];
    private double[] largestNumbers = new double[0];

    void put(int slot, PropertySummary p) {
        KeyBloomFilter filter = p.filter;
        if (p.values != null) {
            filter = KeyBloomFilter.ofBits(KeyBloomFilter.bitsFor(p.values.size(), 1 << 20));
            for (String v : p.values) {
                filter.add(KeyNormalizer.hash(v));
            }
        }
        ensureCapacity(slot);
        if (indexedSlots.get(slot) && filterBits[slot] == filter.bits()) {
            filters.get(filterBits[slot]).addKeys(columns[slot], filter); // after a widening, which only adds keys
        } else {
            remove(slot);
            filterBits[slot] = filter.bits();
            columns[slot] = filters.computeIfAbsent(filterBits[slot], BitSlicedBloomIndex::new).add(slot, filter);
            indexedSlots.set(slot);
        }
        boolean hasUnboundedRange = p.unordered || p.texts || p.missing;
        smallestNumbers[slot] = hasUnboundedRange ? Double.NEGATIVE_INFINITY : p.smallestNumber;
        largestNumbers[slot] = hasUnboundedRange ? Double.POSITIVE_INFINITY : p.largestNumber;
        if (p.missing && p.numbers && !p.texts && !p.unordered) {
            // missing values match only ranges with an open lower end
            smallestNumbers[slot] = Double.NEGATIVE_INFINITY;
            largestNumbers[slot] = p.largestNumber;
        }
    }

    private void ensureCapacity(int slot) {
        if (slot >= filterBits.length) {
            int oldSize = smallestNumbers.length;
            int size = Math.max(slot + 1, 64 + oldSize + oldSize / 2);
            filterBits = Arrays.copyOf(filterBits, size);
            columns = Arrays.copyOf(columns, size);
            smallestNumbers = Arrays.copyOf(smallestNumbers, size);
            largestNumbers = Arrays.copyOf(largestNumbers, size);
            Arrays.fill(smallestNumbers, oldSize, size, Double.NEGATIVE_INFINITY);
            Arrays.fill(largestNumbers, oldSize, size, Double.POSITIVE_INFINITY);
        }
    }

    void remove(int slot) {
        if (indexedSlots.get(slot)) {
            indexedSlots.clear(slot);
            filters.get(filterBits[slot]).remove(columns[slot]);
            smallestNumbers[slot] = Double.NEGATIVE_INFINITY;
            largestNumbers[slot] = Double.POSITIVE_INFINITY;
        }
    }

    /** Removes the candidates whose summary excludes the condition. */
    void retainMatches(Condition.Equal e, BitSet candidates) {
        var matching = new BitSet(candidates.length());
        filters.values().forEach(f -> f.collectSlots(e.hash(), matching));
        BitSet unindexed = (BitSet) candidates.clone();
        unindexed.andNot(indexedSlots);
        candidates.and(matching);
        candidates.or(unindexed);
    }

    /** Removes the candidates whose numbers lie outside of the range. */
    void retainMatches(Condition.Range r, BitSet candidates) {
        int n = Math.min(smallestNumbers.length, candidates.length());
        long[] words = candidates.toLongArray();
        for (int from = 0; from < n; from += 64) {
            long inRange = 0;
            int end = Math.min(n, from + 64);
            for (int i = from; i < end; i++) {
                // bitwise, so that the loop has no branch
                long startsBeforeEnd = smallestNumbers[i] <= r.highest() ? 1L : 0;
                long endsAfterStart = largestNumbers[i] >= r.lowest() ? 1L : 0;
                inRange |= (startsBeforeEnd & endsAfterStart) << i;
            }
            words[from >> 6] &= end - from == 64 ? inRange : inRange | -1L << end;
        }
        candidates.and(BitSet.valueOf(words));
    }

    boolean isEmpty() {
        return indexedSlots.isEmpty();
    }

    /** Returns the approximate memory of the index in bytes. */
    long bytes() {
        return 24L * smallestNumbers.length + filters.values().stream().mapToLong(BitSlicedBloomIndex::bytes).sum();
    }
}
