package wallmoor.summaries;

import java.util.Arrays;
import java.util.BitSet;
import java.util.HashMap;
import java.util.Map;

/** What all sites tell of one property, laid out for looking up. It may admit a site too many, never one too few. */
final class PropertyIndex {
    private final BitSet told = new BitSet();
    private final Map<Integer, BitSlicedBloomIndex> filters = new HashMap<>();
    private int[] bits = new int[0];
    private int[] columns = new int[0];
    private double[] least = new double[0];
    private double[] most = new double[0];

    void put(int slot, PropertySummary p) {
        KeyBloomFilter filter = p.filter;
        if (p.values != null) {
            filter = KeyBloomFilter.ofBits(KeyBloomFilter.bitsFor(p.values.size(), 1 << 20));
            for (String v : p.values) {
                filter.add(KeyNormalizer.hash(v));
            }
        }
        room(slot);
        if (told.get(slot) && bits[slot] == filter.bits()) {
            filters.get(bits[slot]).set(columns[slot], filter); // a widening: keys are only added
        } else {
            remove(slot);
            bits[slot] = filter.bits();
            columns[slot] = filters.computeIfAbsent(bits[slot], BitSlicedBloomIndex::new).add(slot, filter);
            told.set(slot);
        }
        boolean all = p.unordered || p.texts || p.missing;
        least[slot] = all ? Double.NEGATIVE_INFINITY : p.smallestNumber;
        most[slot] = all ? Double.POSITIVE_INFINITY : p.largestNumber;
        if (p.missing && p.numbers && !p.texts && !p.unordered) { // missing values meet only what is open below
            least[slot] = Double.NEGATIVE_INFINITY;
            most[slot] = p.largestNumber;
        }
    }

    private void room(int slot) {
        if (slot >= bits.length) {
            int was = least.length;
            int size = Math.max(slot + 1, 64 + was + was / 2);
            bits = Arrays.copyOf(bits, size);
            columns = Arrays.copyOf(columns, size);
            least = Arrays.copyOf(least, size);
            most = Arrays.copyOf(most, size);
            Arrays.fill(least, was, size, Double.NEGATIVE_INFINITY);
            Arrays.fill(most, was, size, Double.POSITIVE_INFINITY);
        }
    }

    void remove(int slot) {
        if (told.get(slot)) {
            told.clear(slot);
            filters.get(bits[slot]).remove(columns[slot]);
            least[slot] = Double.NEGATIVE_INFINITY;
            most[slot] = Double.POSITIVE_INFINITY;
        }
    }

    void keep(Condition.Equal e, BitSet candidates) {
        var may = new BitSet(candidates.length());
        filters.values().forEach(f -> f.may(e.hash(), may));
        BitSet untold = (BitSet) candidates.clone();
        untold.andNot(told);
        candidates.and(may);
        candidates.or(untold);
    }

    void keep(Condition.Range r, BitSet candidates) {
        int n = Math.min(least.length, candidates.length());
        long[] words = candidates.toLongArray();
        for (int from = 0; from < n; from += 64) {
            long within = 0;
            int end = Math.min(n, from + 64);
            for (int i = from; i < end; i++) {
                long begins = least[i] <= r.highest() ? 1L : 0; // by bits: the loop has no branch
                long ends = most[i] >= r.lowest() ? 1L : 0;
                within |= (begins & ends) << i;
            }
            words[from >> 6] &= end - from == 64 ? within : within | -1L << end;
        }
        candidates.and(BitSet.valueOf(words));
    }

    boolean empty() {
        return told.isEmpty();
    }

    long bytes() {
        return 24L * least.length + filters.values().stream().mapToLong(BitSlicedBloomIndex::bytes).sum();
    }
}
