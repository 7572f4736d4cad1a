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
import wallmoor.http.Threads;

/**
 * Leaves this process's heartbeats in a shared directory, and looks for those of others. A directory that can't be used
 * is logged once, and then this process is alone. After {@link #start} one thread has it all.
 */
public final class HeartbeatFiles {
    private static final int NONE_YET = -1;

    private final Logger log = LoggerFactory.getLogger(HeartbeatFiles.class);
    private final Path directory;
    private final HeartbeatDirectory heartbeats;
    private final LongSupplier clock;
    private final QuotaUser user;
    private final Consumer<ProcessPosition> listener;
    private final SharedQuota quota = new SharedQuota();
    private final CountDownLatch capacity = new CountDownLatch(1);
    private int lastQuota = NONE_YET;
    private int lastLimit = NONE_YET;
    private ProcessPosition lastPosition = new ProcessPosition(1, 0);
    private boolean faulty;
    private long lastGood;
    private volatile boolean closed;

    /**
     * Makes it; the first look is taken by {@link #start}.
     *
     * @param clock    microseconds of Unix time, the machine's
     * @param user     asked at each look; given its quota on the same thread
     * @param listener called at each change of this process's position, on one thread
     */
    public HeartbeatFiles(Path directory, LongSupplier clock, QuotaUser user, Consumer<ProcessPosition> listener) {
        this.directory = directory;
        this.clock = clock;
        this.user = user;
        this.listener = listener;
        heartbeats = new HeartbeatDirectory(directory, clock.getAsLong());
    }

    /** Takes the first look at once, and then goes on. */
    public void start() {
        look();
        look(); // one that is alone has told by now what it claims, and may use it
        Threads.start("upgrade-watch", this::run);
    }

    /**
     * Waits until the others leave this process enough to start by, for at most so long: one that stands still, or a
     * directory that can't be used, holds nobody up for ever.
     */
    public void awaitCapacity(long maxMillis) throws InterruptedException {
        if (!capacity.await(maxMillis, TimeUnit.MILLISECONDS)) {
            log.info("upgrade: the process before this one has not made room within {} ms", maxMillis);
        }
    }

    /** Leaves no more heartbeats: this process does nothing new. */
    public void close() {
        closed = true;
        try {
            heartbeats.delete();
        } catch (IOException e) {
            // it tells nothing soon enough
        }
    }

    private void run() {
        try {
            while (!closed) {
                long micros = lastPosition.count() > 1
                        ? LiveProcesses.SHARED_HEARTBEAT_INTERVAL_MICROS
                        : LiveProcesses.HEARTBEAT_INTERVAL_MICROS;
                Thread.sleep(TimeUnit.MICROSECONDS.toMillis(micros));
                look();
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void look() {
        long now = clock.getAsLong();
        try {
            if (!closed) {
                heartbeats.write(now, quota.claim(), user.isDraining());
            }
            List<ProcessHeartbeat> all = heartbeats.read(now);
            faulty = false;
            lastGood = now;
            String own = heartbeats.ownName();
            updateQuota(LiveProcesses.others(own, now, all, LiveProcesses.CLAIM_TIMEOUT_MICROS));
            updatePosition(LiveProcesses.position(own, now, all));
        } catch (IOException e) {
            onFault(now, e);
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
            log.info("this gatherer is {} processes now, this is number {}", position.count(), position.index());
            listener.accept(position);
        }
    }

    private void onFault(long now, IOException e) {
        // others don't see this one any more either
        if (lastGood == 0 || now - lastGood >= LiveProcesses.LIVENESS_TIMEOUT_MICROS) {
            updateQuota(List.of());
        }
        if (!faulty) {
            faulty = true;
            log.info("upgrade: {} can't be used: {}; during an upgrade each process takes the whole of what both may"
                    + " have: let this user write there", directory, e.toString());
        }
    }
}
