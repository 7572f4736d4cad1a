package wallmoor.decision;

import static org.junit.Assert.assertEquals;

import java.util.List;
import org.junit.Test;

/** Seen on the bench: the first one-part query of a class was rejected with its whole time left. */
public class AdmissionControlTest {
    private static final long MS = PolicyHarness.MS;

    /** The one worker answers in 0.9 s, which a latency objective of 2 s can live with if a query has one part. */
    private static PolicyHarness slowWorker() {
        var site = new PolicyHarness.SiteSettings();
        site.layout = new ShardLayout(12, 1, 1);
        site.classes = List.of(PolicyHarness.SiteSettings.allParts(Idempotency.IDEMPOTENT),
                PolicyHarness.SiteSettings.allParts(Idempotency.NOT_IDEMPOTENT));
        var harness = new PolicyHarness(site).workers(1);
        harness.query(0, 0);
        harness.answerAll(900 * MS);
        harness.actions.clear();
        return harness;
    }

    @Test
    public void aQueryOfOnePartIsNotTakenToStretchBeyondIt() {
        PolicyHarness harness = slowWorker();
        harness.query(1, 3);
        assertEquals(List.of(), harness.actions("reject"));
        assertEquals(1, harness.actions("startAttempt").size());
    }

    @Test
    public void aQueryOfManyPartsIsStillRefusedWhereItCannotMakeItsTime() {
        PolicyHarness harness = slowWorker();
        harness.query(1, 0, 2, 4, 6, 8, 10);
        assertEquals(1, harness.actions("reject").size());
    }

    /** Two workers hold each shard, one class earns a hundredth of the other. */
    private static PolicyHarness poorAndRich(int latency) {
        var site = new PolicyHarness.SiteSettings();
        var rich = new QueryClass(100, 0.3, 2_000_000, 0, 4_000_000, Idempotency.IDEMPOTENT, 0, 1, 1, 0.9, 0);
        site.classes = List.of(rich, PolicyHarness.SiteSettings.allParts(Idempotency.IDEMPOTENT));
        var harness = new PolicyHarness(site).workers(12);
        for (int i = 0; i < 40; i++) {
            harness.query(0, 0);
            harness.answerAll(latency * MS);
            harness.actions.clear();
        }
        return harness;
    }

    /** Many gatherers each see little: a few long answers at one of them don't make work scarce. */
    @Test
    public void aPoorQueryIsTakenWhereTimeIsNotScarce() {
        PolicyHarness harness = poorAndRich(200);
        for (int i = 0; i < 4; i++) { // workers 0 and 1, which hold shard 0, are slower now
            harness.query(0, 0);
            harness.answerAll(1_500 * MS);
        }
        harness.actions.clear();
        harness.query(1, 0);
        assertEquals(List.of(), harness.actions("reject"));
        assertEquals(1, harness.actions("startAttempt").size());
    }
}
