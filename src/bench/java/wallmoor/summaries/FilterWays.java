package wallmoor.summaries;

import com.google.common.hash.BloomFilter;
import com.google.common.hash.Funnels;
import java.nio.charset.StandardCharsets;

/**
 * Compares the size, the false positives and the speed of this package's Bloom filters with Guava's, for the same keys
 * and the same size.
 */
public final class FilterWays {
    private static final int ABSENT_KEYS = 2_000_000;

    private FilterWays() {}

    public static void main(String[] args) {
        System.out.println("keys | filter | bytes | false answers in 2,000,000 | ns a try");
        for (int keys : new int[] {64, 200, 1000, 5000}) {
            KeyBloomFilter own = KeyBloomFilter.ofBits(1 << 16);
            for (int i = 0; i < keys; i++) {
                own.add(KeyNormalizer.hash("key-" + i));
            }
            own = own.fitted();
            // the false-positive rate at which Guava's filter has the same size
            double rate = Math.exp(-(own.bits() / (double) keys) * Math.log(2) * Math.log(2));
            BloomFilter<CharSequence> guava = BloomFilter.create(Funnels.stringFunnel(StandardCharsets.UTF_8), keys,
                    rate);
            for (int i = 0; i < keys; i++) {
                guava.put("key-" + i);
            }
            for (int round = 0; round < 2; round++) { // the first round warms up
                int falsePositives = 0;
                long startNanos = System.nanoTime();
                for (int i = 0; i < ABSENT_KEYS; i++) {
                    falsePositives += own.mightContain(KeyNormalizer.hash("no-" + i)) ? 1 : 0;
                }
                long elapsedNanos = System.nanoTime() - startNanos;
                int guavaFalsePositives = 0;
                startNanos = System.nanoTime();
                for (int i = 0; i < ABSENT_KEYS; i++) {
                    guavaFalsePositives += guava.mightContain("no-" + i) ? 1 : 0;
                }
                long guavaElapsedNanos = System.nanoTime() - startNanos;
                if (round == 1) {
                    System.out.println(keys + " | own | " + own.bits() / 8 + " | " + falsePositives + " | "
                            + elapsedNanos / ABSENT_KEYS);
                    System.out.println(keys + " | Guava | " + (own.bits() / 8 + 6) + " | " + guavaFalsePositives + " | "
                            + guavaElapsedNanos / ABSENT_KEYS);
                }
            }
        }
    }
}
