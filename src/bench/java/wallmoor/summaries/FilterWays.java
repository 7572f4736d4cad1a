package wallmoor.summaries;

import com.google.common.hash.BloomFilter;
import com.google.common.hash.Funnels;
import java.nio.charset.StandardCharsets;

/** Bytes and false answers of this package's filters beside Guava's, for the same keys and the same bytes; and time. */
public final class FilterWays {
    private static final int ABSENT = 2_000_000;

    private FilterWays() {}

    public static void main(String[] args) {
        System.out.println("keys | filter | bytes | false answers in 2,000,000 | ns a try");
        for (int keys : new int[] {64, 200, 1000, 5000}) {
            KeyBloomFilter own = KeyBloomFilter.ofBits(1 << 16);
            for (int i = 0; i < keys; i++) {
                own.add(KeyNormalizer.hash("key-" + i));
            }
            own = own.fitted();
            // a rate that makes Guava's as large
            double rate = Math.exp(-(own.bits() / (double) keys) * Math.log(2) * Math.log(2));
            BloomFilter<CharSequence> guava = BloomFilter.create(Funnels.stringFunnel(StandardCharsets.UTF_8), keys,
                    rate);
            for (int i = 0; i < keys; i++) {
                guava.put("key-" + i);
            }
            for (int round = 0; round < 2; round++) { // the first is to warm up
                int wrong = 0;
                long begun = System.nanoTime();
                for (int i = 0; i < ABSENT; i++) {
                    wrong += own.mightContain(KeyNormalizer.hash("no-" + i)) ? 1 : 0;
                }
                long took = System.nanoTime() - begun;
                int its = 0;
                begun = System.nanoTime();
                for (int i = 0; i < ABSENT; i++) {
                    its += guava.mightContain("no-" + i) ? 1 : 0;
                }
                long itsTook = System.nanoTime() - begun;
                if (round == 1) {
                    System.out.println(keys + " | own | " + own.bits() / 8 + " | " + wrong + " | " + took / ABSENT);
                    System.out.println(keys + " | Guava | " + (own.bits() / 8 + 6) + " | " + its + " | "
                            + itsTook / ABSENT);
                }
            }
        }
    }
}
