package wallmoor.idempotency;

import java.util.UUID;

/** What 100,000 retained outcomes take of the heap, beside what the limits count for them. */
public final class RetainedMemory {
    private static final int OUTCOMES = 100_000;
    private static final int BYTES = 200;

    private RetainedMemory() {}

    /** Prints both. */
    public static void main(String[] args) throws Exception {
        long second = 1_000_000;
        var rules = new IdempotencyLimits(second, 600 * second, 86_400 * second, second, second, 16, 2_000, 1_000,
                1L << 30,
                1L << 24,
                65_536, 1e6, 1_000_000, 200, second, 30 * second);
        long now = 1_800_000_000L * second;
        var requests = new IdempotentRequests(rules, now);
        now += 10 * second;
        long before = used();
        for (int i = 0; i < OUTCOMES; i++) {
            var key = new IdempotencyKey("device-" + i % 1_000,
                    new UUID(now / 1000 << 16 | 0x7000, 0x8000_0000_0000_0000L | i).toString());
            var run = (RequestDecision.Execute) requests.submit(now, key, new BodyDigest(i, i, i), i % 5 != 0);
            requests.completed(now, run.request(),
                    new StoredOutcome(StoredOutcome.OutcomeKind.COMPLETE, 0, new byte[BYTES]));
        }
        long after = used();
        System.out.printf("%d outcomes of %d bytes: %.1f MiB of heap, %d bytes each; counted %.1f MiB%n",
                requests.usage().retained(), BYTES, (after - before) / 1048576.0, (after - before) / OUTCOMES,
                requests.usage().bytes() / 1048576.0);
    }

    private static long used() throws InterruptedException {
        for (int i = 0; i < 3; i++) {
            System.gc();
            Thread.sleep(100);
        }
        return Runtime.getRuntime().totalMemory() - Runtime.getRuntime().freeMemory();
    }
}
