package wallmoor.edge.coap;

import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.ThreadFactory;

/**
 * Runs the tasks of Californium's protocol stage, and lets the thread that receives datagrams wait while many tasks are
 * queued. Other threads never wait: tasks submit tasks, and a full queue would block them all.
 */
final class ProtocolExecutor extends ScheduledThreadPoolExecutor {
    private final int maxQueuedTasks;
    private final Object capacity = new Object();
    /** The number of tasks submitted for execution at once that have not ended; guarded by {@code capacity}. */
    private int queuedTasks;

    /**
     * Creates an executor.
     *
     * @param maxQueuedTasks the number of tasks from which on {@link #awaitCapacity} waits
     */
    ProtocolExecutor(int threads, int maxQueuedTasks, ThreadFactory factory) {
        super(threads, factory);
        this.maxQueuedTasks = maxQueuedTasks;
        setRemoveOnCancelPolicy(true);
    }

    @Override
    public void execute(Runnable task) {
        synchronized (capacity) {
            queuedTasks++;
        }
        try {
            super.execute(() -> {
                try {
                    task.run();
                } finally {
                    taskEnded();
                }
            });
        } catch (RejectedExecutionException e) {
            taskEnded();
            throw e;
        }
    }

    /** Waits until fewer tasks than the maximum are queued. */
    void awaitCapacity() throws InterruptedException {
        synchronized (capacity) {
            while (queuedTasks >= maxQueuedTasks && !isShutdown()) {
                capacity.wait();
            }
        }
    }

    @Override
    protected void terminated() {
        synchronized (capacity) {
            capacity.notifyAll();
        }
    }

    private void taskEnded() {
        synchronized (capacity) {
            queuedTasks--;
            capacity.notifyAll();
        }
    }
}
