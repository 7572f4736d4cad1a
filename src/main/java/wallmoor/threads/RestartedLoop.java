package wallmoor.threads;

import java.util.concurrent.TimeUnit;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Runs a loop, and starts it again after a delay if it fails, as a moment's lack of memory must not end its thread. The
 * failure of a loop that fails too often leaves {@link #run}. Runs on one thread.
 */
final class RestartedLoop implements Runnable {
    static final int MAX_RESTARTS = 10;
    private static final long RESTART_WINDOW_NANOS = TimeUnit.MINUTES.toNanos(1);
    private static final long RESTART_DELAY_MILLIS = 50;
    private static final Logger LOG = LoggerFactory.getLogger(RestartedLoop.class);

    private final Runnable loop;
    /** The failures since {@code windowStart}, a value of {@link System#nanoTime}. */
    private int failures;
    private long windowStart;

    RestartedLoop(Runnable loop) {
        this.loop = loop;
    }

    @Override
    public void run() {
        boolean hasEnded = false;
        while (!hasEnded) {
            hasEnded = runOnce();
        }
    }

    /** Runs the loop; returns false if it failed and is to be started again. */
    private boolean runOnce() {
        try {
            if (failures > 0) {
                Thread.sleep(RESTART_DELAY_MILLIS);
            }
            loop.run();
            return true;
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return true;
        } catch (RuntimeException | Error e) {
            if (!permitsRestart()) {
                throw e;
            }
            log(e);
            return false;
        }
    }

    private boolean permitsRestart() {
        long now = System.nanoTime();
        if (failures == 0 || now - windowStart > RESTART_WINDOW_NANOS) {
            windowStart = now;
            failures = 0;
        }
        failures++;
        return failures <= MAX_RESTARTS;
    }

    private static void log(Throwable failure) {
        try {
            LOG.error("thread failed and is started again: thread={}", Thread.currentThread().getName(), failure);
        } catch (OutOfMemoryError e) {
            // there is no memory for the line either
        }
    }
}
