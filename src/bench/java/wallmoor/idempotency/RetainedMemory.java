package wallmoor.idempotency;

import java.util.UUID;

/**
 * Measures the heap memory of 100,000 retained outcomes and compares it with the bytes that the limits count for them.
 */
public final class RetainedMemory {
    private static final int OUTCOMES = 100_000;
    private static final int BODY_BYTES = 200;

    private RetainedMemory() {}

    /** Prints the measured and the counted memory. */
    public static void main(String[] args) throws Exception {
        long secondMicros = 1_000_000;
        var limits = new IdempotencyLimits(secondMicros, 600 * secondMicros, 86_400 * secondMicros, secondMicros,
                secondMicros, 16, 2_000, 1_000,
                1L << 30,
                1L << 24,
                65_536, 1e6, 1_000_000, 200, secondMicros, 30 * secondMicros);
        long nowMicros = 1_800_000_000L * secondMicros;
        var requests = new IdempotentRequests(limits, nowMicros);
        nowMicros += 10 * secondMicros;
        long bytesBefore = usedHeapBytes();
        for (int i = 0; i < OUTCOMES; i++) {
            var key = new IdempotencyKey("device-" + i % 1_000,
                    new UUID(nowMicros / 1000 << 16 | 0x7000, 0x8000_0000_0000_0000L | i).toString());
            var decision = (RequestDecision.Execute) requests.submit(nowMicros, key, new BodyDigest(i, i, i),
                    i % 5 != 0);
            requests.completed(nowMicros, decision.request(),
                    new StoredOutcome(StoredOutcome.OutcomeKind.COMPLETE, 0, new byte[BODY_BYTES]));
        }
        long bytesAfter = usedHeapBytes();
        System.out.printf("%d outcomes of %d bytes: %.1f MiB of heap, %d bytes each; counted %.1f MiB%n",
                requests.usage().retained(), BODY_BYTES, (bytesAfter - bytesBefore) / 1048576.0,
                (bytesAfter - bytesBefore) / OUTCOMES,
                requests.usage().bytes() / 1048576.0);
    }

    private static long usedHeapBytes() throws InterruptedException {
        for (int i = 0; i < 3; i++) {
            System.gc();
            Thread.sleep(100);
        }
        return Runtime.getRuntime().totalMemory() - Runtime.getRuntime().freeMemory();
    }
}
