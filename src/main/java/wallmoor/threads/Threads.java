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

    /** Starts a daemon thread for one connection or one task. The process goes on if it fails. */
    public static Thread start(String name, Runnable work) {
        return started(new Thread(null, work, name, STACK_BYTES));
    }

    /**
     * Starts a daemon thread that the process can't work without. It starts its loop again if that fails, and ends the
     * process if it fails too often.
     *
     * @param loop may be started again at any time; the thread ends when it returns
     */
    public static Thread startEssential(String name, Runnable loop) {
        return started(new EssentialThread(name, new RestartedLoop(loop), STACK_BYTES));
    }

    private static Thread started(Thread thread) {
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

    /**
     * Returns a factory of one essential thread for a scheduled executor. As such an executor keeps what its tasks
     * throw, a task reports an error that ends the process by {@link #reportUncaught}.
     *
     * @param stackBytes the size of its stack
     */
    public static ThreadFactory essentialFactory(String name, long stackBytes) {
        return work -> {
            Thread thread = new EssentialThread(name, work, stackBytes);
            thread.setDaemon(true);
            return thread;
        };
    }

    /** Hands an error to the handler that it would reach if nothing caught it. */
    public static void reportUncaught(Error error) {
        Thread thread = Thread.currentThread();
        thread.getUncaughtExceptionHandler().uncaughtException(thread, error);
    }
}
