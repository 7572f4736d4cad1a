package wallmoor.consensus;

import io.microraft.executor.RaftNodeExecutor;
import java.io.IOException;
import java.util.concurrent.Future;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import wallmoor.rules.CorruptDataException;
import wallmoor.threads.Threads;

/**
 * The single thread that owns the consensus state of this process and also runs the Raft library. A failed task is
 * logged and does not affect others; an error ends the process. Tasks submitted after {@link #shutDown} are dropped.
 */
final class ControlThread implements RaftNodeExecutor {
    /** A task that may fail on disk or network data. */
    interface Task {
        void run() throws IOException, CorruptDataException;
    }

    private static final Logger LOG = LoggerFactory.getLogger(ControlThread.class);
    private static final long STACK_BYTES = 512 * 1024;

    private final ScheduledThreadPoolExecutor executor = new ScheduledThreadPoolExecutor(1,
            Threads.essentialFactory("rules-control", STACK_BYTES));

    ControlThread() {
        executor.setExecuteExistingDelayedTasksAfterShutdownPolicy(false);
        executor.setRemoveOnCancelPolicy(true);
    }

    /** Runs a task after those submitted before it. May be called by any thread. */
    void run(Task task) {
        try {
            executor.execute(() -> runGuarded(task));
        } catch (RejectedExecutionException e) {
            // shut down: callers that wait for a result run into their own timeout
        }
    }

    /**
     * Runs a task repeatedly.
     *
     * @param delayMillis the delay between the end of one run and the start of the next
     */
    void runPeriodically(long delayMillis, Task task) {
        Future<?> unused = executor.scheduleWithFixedDelay(() -> runGuarded(task), 0, delayMillis,
                TimeUnit.MILLISECONDS);
    }

    private static void runGuarded(Task task) {
        try {
            task.run();
        } catch (IOException | CorruptDataException | RuntimeException e) {
            LOG.warn("rules: control thread task failed: error={}", e.toString());
        } catch (Error e) {
            Threads.reportUncaught(e);
            throw e;
        }
    }

    @Override
    public void execute(Runnable task) {
        run(task::run);
    }

    @Override
    public void submit(Runnable task) {
        run(task::run);
    }

    @Override
    public void schedule(Runnable task, long delay, TimeUnit unit) {
        try {
            Future<?> unused = executor.schedule(() -> runGuarded(task::run), delay, unit);
        } catch (RejectedExecutionException e) {
            // shut down: the task is dropped
        }
    }

    /**
     * Rejects new tasks and waits up to {@code maxWaitMillis} for the tasks already submitted.
     *
     * @return whether they have ended
     */
    boolean shutDown(long maxWaitMillis) throws InterruptedException {
        executor.shutdown();
        return executor.awaitTermination(maxWaitMillis, TimeUnit.MILLISECONDS);
    }
}
