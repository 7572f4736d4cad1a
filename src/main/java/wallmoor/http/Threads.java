package wallmoor.http;

import java.util.concurrent.SynchronousQueue;
import java.util.concurrent.ThreadFactory;
import java.util.concurrent.ThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

/** Platform threads with names and small stacks: hundreds of them must fit a small machine. */
public final class Threads {
    private static final long STACK = 192 * 1024;

    private Threads() {}

    /** Starts a daemon thread. */
    public static Thread start(String name, Runnable work) {
        Thread thread = new Thread(null, work, name, STACK);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    /** A pool that grows to {@code most} threads and queues nothing: one task too many is rejected. */
    public static ThreadPoolExecutor pool(String name, int most) {
        var count = new AtomicLong();
        ThreadFactory named = work -> {
            Thread thread = new Thread(null, work, name + "-" + count.incrementAndGet(), STACK);
            thread.setDaemon(true);
            return thread;
        };
        return new ThreadPoolExecutor(0, most, 20, TimeUnit.SECONDS, new SynchronousQueue<>(), named);
    }
}
