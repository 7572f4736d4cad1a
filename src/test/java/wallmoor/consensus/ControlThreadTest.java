package wallmoor.consensus;

import static org.junit.Assert.assertSame;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.Test;

/** What the control thread does with the failures of its tasks. */
public class ControlThreadTest {
    /** Guards against a voter that goes on without its heartbeats: an executor keeps to itself what its tasks throw. */
    @Test
    public void reportsAnErrorOfAPeriodicTask() throws Exception {
        var control = new ControlThread();
        var reported = new CompletableFuture<Throwable>();
        control.run(() -> Thread.currentThread().setUncaughtExceptionHandler((thread, e) -> reported.complete(e)));
        var error = new OutOfMemoryError("Java heap space");
        control.runPeriodically(1, () -> {
            throw error;
        });
        assertSame(error, reported.get(15, TimeUnit.SECONDS));
        control.shutDown(1_000);
    }
}
