package wallmoor.summaries;

import java.util.function.LongConsumer;

/**
 * A Bloom filter over 64-bit hashes whose size is a power of two. Unlike a static filter, it accepts further keys. It
 * can be halved to save bytes, and its bit positions are accessible, which {@link BitSlicedBloomIndex} needs.
 */
final class KeyBloomFilter {
    /**
     * Number of hash functions. With half of the bits set, one absent key in 4,096 is reported as present; one query
     * looks a key up in the filters of up to 10,000 sites.
     */
    static final int HASH_FUNCTIONS = 12;
    static final int MIN_BITS = 256;

    private final long[] words;

    private KeyBloomFilter(long[] words) {
        this.words = words;
    }

    /** Returns an empty filter; {@code bits} is a power of two, at least {@link #MIN_BITS}. */
    static KeyBloomFilter ofBits(int bits) {
        if (Integer.bitCount(bits) != 1 || bits < MIN_BITS) {
            throw new IllegalArgumentException("filter size in bits is not a power of two of at least "
                    + MIN_BITS + ": " + bits);
        }
        return new KeyBloomFilter(new long[bits >> 6]);
    }

    static KeyBloomFilter ofWords(long[] words) {
        ofBits(words.length << 6);
        return new KeyBloomFilter(words);
    }

    /** Returns the smallest size, at most {@code maxBits}, at which this many keys set less than half of the bits. */
    static int bitsFor(int keys, int maxBits) {
        int bits = MIN_BITS;
        while (bits < maxBits && bits < keys * (HASH_FUNCTIONS / Math.log(2))) {
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

    /** Passes on the bit positions of a hash in a filter of this size, by double hashing with a growing step. */
    static void forEachBitPosition(long hash, int bits, LongConsumer consumer) {
        int position = (int) hash;
        int step = (int) (hash >>> 32);
        for (int i = 0; i < HASH_FUNCTIONS; i++) {
            consumer.accept(position & bits - 1);
            position += step;
            step += i;
        }
    }

    void add(long hash) {
        forEachBitPosition(hash, bits(), p -> words[(int) (p >> 6)] |= 1L << p);
    }

    /** Returns whether the filter might contain a key with this hash; false is certain. */
    boolean mightContain(long hash) {
        int position = (int) hash;
        int step = (int) (hash >>> 32);
        for (int i = 0; i < HASH_FUNCTIONS; i++) {
            int p = position & bits() - 1;
            if ((words[p >> 6] & 1L << p) == 0) {
                return false;
            }
            position += step;
            step += i;
        }
        return true;
    }

    /** Returns a filter of the same keys with {@code bits} bits, at most as many as this one has. */
    KeyBloomFilter shrunk(int bits) {
        var smaller = ofBits(bits);
        for (int i = 0; i < words.length; i++) {
            smaller.words[i & smaller.words.length - 1] |= words[i];
        }
        return smaller;
    }

    /** Returns a filter that contains the keys of both. */
    KeyBloomFilter union(KeyBloomFilter other) {
        int bits = Math.min(bits(), other.bits());
        KeyBloomFilter both = shrunk(bits);
        KeyBloomFilter otherShrunk = other.shrunk(bits);
        for (int i = 0; i < both.words.length; i++) {
            both.words[i] |= otherShrunk.words[i];
        }
        return both;
    }

    /** Returns this filter, halved as often as possible with at most half of the bits set. */
    KeyBloomFilter fitted() {
        KeyBloomFilter fitted = this;
        while (fitted.bits() > MIN_BITS) {
            KeyBloomFilter half = fitted.shrunk(fitted.bits() / 2);
            if (half.fillRatio() > 0.5) {
                return fitted;
            }
            fitted = half;
        }
        return fitted;
    }

    /** Returns the share of the bits that are set, from 0 to 1. */
    double fillRatio() {
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
