package wallmoor.threads;

import java.util.function.IntConsumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Handles what no thread has caught. Ends the process at once if an essential thread has ended, because nothing does
 * its work any more. Any other failure concerns the one connection or task of its thread, and is logged.
 */
public final class ThreadFailureHandler implements Thread.UncaughtExceptionHandler {
    /** The exit code of a process that ended because a thread failed. */
    static final int EXIT_THREAD_FAILED = 4;

    private static final Logger LOG = LoggerFactory.getLogger(ThreadFailureHandler.class);

    private final IntConsumer halt;
    private volatile boolean isShuttingDown;

    ThreadFailureHandler(IntConsumer halt) {
        this.halt = halt;
    }

    /** Handles the failures of all threads of this process from now on. */
    public static void install() {
        var handler = new ThreadFailureHandler(Runtime.getRuntime()::halt);
        Thread.setDefaultUncaughtExceptionHandler(handler);
        Runtime.getRuntime().addShutdownHook(new Thread(handler::shutdownStarted, "leave-failures"));
    }

    /** Only logs failures from now on: the process ends anyway, and the answers that are left are still sent. */
    void shutdownStarted() {
        isShuttingDown = true;
    }

    @Override
    public void uncaughtException(Thread thread, Throwable failure) {
        boolean isFatal = thread instanceof EssentialThread && !isShuttingDown;
        try {
            if (isFatal) {
                LOG.error("thread failed, the process ends: thread={} exitCode={}", thread.getName(),
                        EXIT_THREAD_FAILED, failure);
            } else {
                LOG.error("thread failed, its connection or task has ended: thread={}", thread.getName(), failure);
            }
        } finally {
            if (isFatal) {
                halt.accept(EXIT_THREAD_FAILED); // no shutdown hooks: they may need the thread, or memory
            }
        }
    }
}
