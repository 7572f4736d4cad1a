package wallmoor.threads;

import java.util.concurrent.SynchronousQueue;
import java.util.concurrent.ThreadFactory;
import java.util.concurrent.ThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

/** Creates platform threads with names and small stacks, so that hundreds of them fit on a small machine. */
public final class Threads {
    private static final long STACK_BYTES = 192 * 1024;

    private Threads() {}

    /** Starts a daemon thread. */
    public static Thread start(String name, Runnable work) {
        Thread thread = new Thread(null, work, name, STACK_BYTES);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    /**
     * Creates a pool of daemon threads that queues no tasks.
     *
     * @param maxThreads the maximum number of threads; a task that would need another one is rejected
     */
    public static ThreadPoolExecutor pool(String name, int maxThreads) {
        var count = new AtomicLong();
        ThreadFactory named = work -> {
            Thread thread = new Thread(null, work, name + "-" + count.incrementAndGet(), STACK_BYTES);
            thread.setDaemon(true);
            return thread;
        };
        return new ThreadPoolExecutor(0, maxThreads, 20, TimeUnit.SECONDS, new SynchronousQueue<>(), named);
    }
}
