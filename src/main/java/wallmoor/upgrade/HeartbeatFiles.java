package wallmoor.upgrade;

import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import wallmoor.threads.Threads;

/**
 * Writes this process's heartbeats to a shared directory and reads those of the other processes. If the directory is
 * not usable, this is logged once and the process acts as if it were alone. After {@link #start} a single thread does
 * all the work.
 */
public final class HeartbeatFiles {
    private static final int UNSET = -1;

    private final Logger log = LoggerFactory.getLogger(HeartbeatFiles.class);
    private final Path directory;
    private final HeartbeatDirectory heartbeats;
    private final LongSupplier clock;
    private final QuotaUser user;
    private final Consumer<ProcessPosition> listener;
    private final SharedQuota quota = new SharedQuota();
    private final CountDownLatch capacity = new CountDownLatch(1);
    private int lastQuota = UNSET;
    private int lastLimit = UNSET;
    private ProcessPosition lastPosition = new ProcessPosition(1, 0);
    private boolean lastPollFailed;
    private long lastSuccessMicros;
    private volatile boolean closed;

    /**
     * Creates it; {@link #start} polls for the first time.
     *
     * @param clock    the machine's clock (microseconds of Unix time)
     * @param user     is queried at each poll and receives its quota on the same thread
     * @param listener is called at each change of this process's position, on one thread
     */
    public HeartbeatFiles(Path directory, LongSupplier clock, QuotaUser user, Consumer<ProcessPosition> listener) {
        this.directory = directory;
        this.clock = clock;
        this.user = user;
        this.listener = listener;
        heartbeats = new HeartbeatDirectory(directory, clock.getAsLong());
    }

    /** Polls at once, then starts the thread that polls regularly. */
    public void start() {
        poll();
        poll(); // the first poll published the claim, so a process that is alone may now use it
        Threads.startEssential("upgrade-watch", this::run);
    }

    /**
     * Waits until the other processes leave this one enough quota to start. The wait is bounded, so that neither a hung
     * process nor an unusable directory blocks the start forever.
     */
    public void awaitCapacity(long maxMillis) throws InterruptedException {
        if (!capacity.await(maxMillis, TimeUnit.MILLISECONDS)) {
            log.info("upgrade: previous process did not release quota in time: waitedMillis={}", maxMillis);
        }
    }

    /** Removes this process's heartbeat and writes no more; the process takes on no further work. */
    public void close() {
        closed = true;
        try {
            heartbeats.delete();
        } catch (IOException e) {
            // the heartbeat expires by itself after the liveness timeout
        }
    }

    private void run() {
        try {
            while (!closed) {
                long micros = lastPosition.count() > 1
                        ? LiveProcesses.SHARED_HEARTBEAT_INTERVAL_MICROS
                        : LiveProcesses.HEARTBEAT_INTERVAL_MICROS;
                Thread.sleep(TimeUnit.MICROSECONDS.toMillis(micros));
                poll();
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void poll() {
        long now = clock.getAsLong();
        try {
            if (!closed) {
                heartbeats.write(now, quota.claim(), user.isDraining());
            }
            List<ProcessHeartbeat> all = heartbeats.read(now);
            lastPollFailed = false;
            lastSuccessMicros = now;
            String own = heartbeats.ownName();
            updateQuota(LiveProcesses.others(own, now, all, LiveProcesses.CLAIM_TIMEOUT_MICROS));
            updatePosition(LiveProcesses.position(own, now, all));
        } catch (IOException e) {
            onPollFailure(now, e);
        }
    }

    private void updateQuota(List<ProcessHeartbeat> others) {
        int limit = user.limit();
        quota.update(limit, user.inUse(), user.isDraining(), others);
        if (quota.quota() != lastQuota || limit != lastLimit) {
            lastQuota = quota.quota();
            lastLimit = limit;
            user.setQuota(quota.quota(), limit);
        }
        if (quota.isEnoughToStart(limit, others)) {
            capacity.countDown();
        }
    }

    private void updatePosition(ProcessPosition position) {
        if (!position.equals(lastPosition)) {
            lastPosition = position;
            log.info("upgrade: process position changed: processes={} index={}", position.count(), position.index());
            listener.accept(position);
        }
    }

    private void onPollFailure(long now, IOException e) {
        // by now the others no longer see this process either
        if (lastSuccessMicros == 0 || now - lastSuccessMicros >= LiveProcesses.LIVENESS_TIMEOUT_MICROS) {
            updateQuota(List.of());
        }
        if (!lastPollFailed) {
            lastPollFailed = true;
            log.info("upgrade: heartbeat directory not usable, during an upgrade each process uses the full limit;"
                    + " grant this user write access: directory={} error={}", directory, e.toString());
        }
    }
}
