package wallmoor.summaries;

import java.util.function.LongConsumer;

/**
 * A Bloom filter over 64-bit hashes whose size is a power of two. It can be added to, which static filters can't;
 * halved where bytes are short; and its places can be told, which the index needs to lay many filters side by side.
 */
final class KeyBloomFilter {
    /** At half full one absent key in 4,096 is taken for present; a summary asks that of 10,000 sites at once. */
    static final int PLACES = 12;
    static final int LEAST_BITS = 256;

    private final long[] words;

    private KeyBloomFilter(long[] words) {
        this.words = words;
    }

    /** Empty, of a power of two of bits, at least {@link #LEAST_BITS}. */
    static KeyBloomFilter ofBits(int bits) {
        if (Integer.bitCount(bits) != 1 || bits < LEAST_BITS) {
            throw new IllegalArgumentException("no size of a filter: " + bits);
        }
        return new KeyBloomFilter(new long[bits >> 6]);
    }

    static KeyBloomFilter ofWords(long[] words) {
        ofBits(words.length << 6);
        return new KeyBloomFilter(words);
    }

    /** The size in which so many keys stay below half full. */
    static int bitsFor(int keys, int most) {
        int bits = LEAST_BITS;
        while (bits < most && bits < keys * (PLACES / Math.log(2))) {
            bits <<= 1;
        }
        return bits;
    }

    int bits() {
        return words.length << 6;
    }

    long[] words() {
        return words;
    }

    /** The places of a hash in a filter of so many bits, by double hashing with a growing step. */
    static void places(long hash, int bits, LongConsumer each) {
        int at = (int) hash;
        int step = (int) (hash >>> 32);
        for (int i = 0; i < PLACES; i++) {
            each.accept(at & bits - 1);
            at += step;
            step += i;
        }
    }

    void add(long hash) {
        places(hash, bits(), p -> words[(int) (p >> 6)] |= 1L << p);
    }

    boolean mightContain(long hash) {
        int at = (int) hash;
        int step = (int) (hash >>> 32);
        for (int i = 0; i < PLACES; i++) {
            int p = at & bits() - 1;
            if ((words[p >> 6] & 1L << p) == 0) {
                return false;
            }
            at += step;
            step += i;
        }
        return true;
    }

    /** The same keys in a filter of half the size, or less: places keep their low bits. */
    KeyBloomFilter shrunk(int bits) {
        var less = ofBits(bits);
        for (int i = 0; i < words.length; i++) {
            less.words[i & less.words.length - 1] |= words[i];
        }
        return less;
    }

    /** The keys of both. */
    KeyBloomFilter with(KeyBloomFilter other) {
        int bits = Math.min(bits(), other.bits());
        KeyBloomFilter both = shrunk(bits);
        KeyBloomFilter its = other.shrunk(bits);
        for (int i = 0; i < both.words.length; i++) {
            both.words[i] |= its.words[i];
        }
        return both;
    }

    /** Halved as long as it stays at most half full. */
    KeyBloomFilter fitted() {
        KeyBloomFilter best = this;
        while (best.bits() > LEAST_BITS) {
            KeyBloomFilter half = best.shrunk(best.bits() / 2);
            if (half.full() > 0.5) {
                return best;
            }
            best = half;
        }
        return best;
    }

    /** The share of its bits that are set. */
    double full() {
        long set = 0;
        for (long w : words) {
            set += Long.bitCount(w);
        }
        return (double) set / bits();
    }

    KeyBloomFilter copy() {
        return new KeyBloomFilter(words.clone());
    }
}
