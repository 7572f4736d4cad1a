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

/**
 * The one thread that owns the consensus state of this process; the Raft library runs on it as well. A task that fails
 * is logged and ends no other. After {@link #shutDown} tasks are dropped.
 */
final class ControlThread implements RaftNodeExecutor {
    /** Work that may fail on what the disk or the wire gave. */
    interface Task {
        void run() throws IOException, CorruptDataException;
    }

    private static final Logger LOG = LoggerFactory.getLogger(ControlThread.class);
    private static final long STACK_BYTES = 512 * 1024;

    private final ScheduledThreadPoolExecutor executor = new ScheduledThreadPoolExecutor(1, work -> {
        Thread thread = new Thread(null, work, "rules-control", STACK_BYTES);
        thread.setDaemon(true);
        return thread;
    });

    ControlThread() {
        executor.setExecuteExistingDelayedTasksAfterShutdownPolicy(false);
        executor.setRemoveOnCancelPolicy(true);
    }

    /** Runs a task as soon as those before it are done. Any thread. */
    void run(Task task) {
        try {
            executor.execute(() -> runGuarded(task));
        } catch (RejectedExecutionException e) {
            // it is shut down: whoever waits, waits no longer than it said
        }
    }

    /** Runs a task now and again, with so long between its end and its next beginning. */
    void runPeriodically(long delayMillis, Task task) {
        Future<?> unused = executor.scheduleWithFixedDelay(() -> runGuarded(task), 0, delayMillis,
                TimeUnit.MILLISECONDS);
    }

    private static void runGuarded(Task task) {
        try {
            task.run();
        } catch (IOException | CorruptDataException | RuntimeException e) {
            LOG.warn("rules: a task of the consensus failed: {}", e.toString());
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
            // it is shut down
        }
    }

    /** Takes no more tasks; waits so long at most for those that were handed over. */
    void shutDown(long maxWaitMillis) throws InterruptedException {
        executor.shutdown();
        executor.awaitTermination(maxWaitMillis, TimeUnit.MILLISECONDS);
    }
}
