package wallmoor.edge.coap;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertFalse;
import static org.junit.Assert.assertTrue;

import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.eclipse.californium.elements.util.DaemonThreadFactory;
import org.junit.Test;

/** Tests that the receiver waits while the protocol stage has its maximum of tasks, and only then. */
public class ProtocolExecutorTest {
    private static final int MAX_QUEUED_TASKS = 3;
    private static final long SETTLE_MILLIS = 100;

    private final CountDownLatch firstHasBegun = new CountDownLatch(1);
    private final CountDownLatch release = new CountDownLatch(1);
    private final CountDownLatch hasCapacity = new CountDownLatch(1);

    /** Returns an executor with one task that has begun and the others waiting for its thread. */
    private ProtocolExecutor executorWithMaximumOfTasks() throws InterruptedException {
        var executor = new ProtocolExecutor(1, MAX_QUEUED_TASKS, new DaemonThreadFactory("test#"));
        for (int i = 0; i < MAX_QUEUED_TASKS; i++) {
            executor.execute(this::awaitRelease);
        }
        assertTrue(firstHasBegun.await(5, TimeUnit.SECONDS));
        return executor;
    }

    private void awaitRelease() {
        firstHasBegun.countDown();
        try {
            release.await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void startReceiver(ProtocolExecutor executor) {
        var receiver = new Thread(() -> {
            try {
                executor.awaitCapacity();
                hasCapacity.countDown();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        });
        receiver.setDaemon(true);
        receiver.start();
    }

    @Test(timeout = 10_000)
    public void letsTheReceiverWaitUntilATaskHasEnded() throws Exception {
        ProtocolExecutor executor = executorWithMaximumOfTasks();
        startReceiver(executor);
        assertFalse("waits", hasCapacity.await(SETTLE_MILLIS, TimeUnit.MILLISECONDS));
        release.countDown();
        assertTrue(hasCapacity.await(5, TimeUnit.SECONDS));
        executor.shutdownNow();
    }

    @Test(timeout = 10_000)
    public void countsTasksThatFail() throws Exception {
        var executor = new ProtocolExecutor(1, 1, new DaemonThreadFactory("test#"));
        executor.execute(() -> {
            throw new IllegalStateException("of the test");
        });
        startReceiver(executor);
        assertTrue(hasCapacity.await(5, TimeUnit.SECONDS));
        executor.shutdownNow();
    }

    @Test(timeout = 10_000)
    public void releasesTheReceiverAtTheEnd() throws Exception {
        ProtocolExecutor executor = executorWithMaximumOfTasks();
        startReceiver(executor);
        assertEquals("tasks not begun", MAX_QUEUED_TASKS - 1, executor.shutdownNow().size());
        assertTrue(hasCapacity.await(5, TimeUnit.SECONDS));
    }
}
