package wallmoor.upgrade;

import java.io.IOException;
import java.io.RandomAccessFile;
import java.nio.file.DirectoryStream;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.nio.file.attribute.FileTime;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import wallmoor.http.Threads;
import wallmoor.upgrade.LiveProcesses.ProcessHeartbeat;
import wallmoor.upgrade.LiveProcesses.ProcessPosition;

/**
 * Leaves this process' sign of life as the time of a file, and its claim as the file's length, and looks for those of
 * others. Contents are never read, so that none can be torn; a directory that can't be used is logged once, and then
 * this process is alone.
 */
public final class HeartbeatFiles {
    /** A bound that all processes of this gatherer keep together. */
    public interface QuotaUser {
        /** What all may hold. */
        int limit();

        /** What this process holds. */
        int inUse();

        /** Whether this process is on its way out. */
        boolean isDraining();

        /** This process may take so much from now on, where all may hold that. */
        void setQuota(int most, int all);
    }

    private static final String PREFIX = "process-";
    /** A bound beyond this is none in practice, and no file is made that long. */
    private static final int MOST_CLAIM = 1 << 20;

    private final Path directory;
    private final Path own;
    private final LongSupplier clock;
    private final QuotaUser bound;
    private final Consumer<ProcessPosition> told;
    private final Consumer<String> log;
    private final SharedQuota part = new SharedQuota();
    private final CountDownLatch room = new CountDownLatch(1);
    private int lastMay = -1;
    private int lastAll = -1;
    private ProcessPosition last = new ProcessPosition(1, 0);
    private boolean faulty;
    private long lastGood;
    private volatile boolean over;

    /**
     * Makes it; the first look is taken by {@link #start}.
     *
     * @param clock microseconds of Unix time, the machine's
     * @param bound asked at each look; told of changes on the same thread
     * @param told  called at each change, on one thread
     */
    public HeartbeatFiles(Path directory, LongSupplier clock, QuotaUser bound, Consumer<ProcessPosition> told,
            Consumer<String> log) {
        this.directory = directory;
        this.clock = clock;
        this.bound = bound;
        this.told = told;
        this.log = log;
        // in the order of starts; the number tells those of one microsecond apart
        String time = Long.toString(clock.getAsLong());
        own = directory.resolve(PREFIX + "0".repeat(Math.max(0, 20 - time.length())) + time + "-"
                + ProcessHandle.current().pid());
    }

    /** Takes the first look at once, and then goes on. */
    public void start() {
        look();
        look(); // one that is alone has told by now what it takes, and may
        Threads.start("upgrade-watch", this::run);
    }

    /**
     * Waits until the others leave this process enough to begin by, for at most so long: one that stands still, or a
     * directory that can't be used, holds nobody up for ever.
     */
    public void awaitCapacity(long atMostMillis) throws InterruptedException {
        if (!room.await(atMostMillis, TimeUnit.MILLISECONDS)) {
            log.accept("upgrade: the process before this one has not made room within " + atMostMillis + " ms");
        }
    }

    /** Leaves no more signs: this process does nothing new. */
    public void close() {
        over = true;
        try {
            Files.deleteIfExists(own);
        } catch (IOException e) {
            // it tells nothing soon enough
        }
    }

    private void run() {
        try {
            while (!over) {
                long micros = last.count() > 1 ? LiveProcesses.SHARED_HEARTBEAT_INTERVAL_MICROS
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
            sign(now);
            List<ProcessHeartbeat> beats = beats(now);
            faulty = false;
            lastGood = now;
            String name = own.getFileName().toString();
            take(LiveProcesses.others(name, now, beats, LiveProcesses.CLAIM_TIMEOUT_MICROS));
            ProcessPosition next = LiveProcesses.position(name, now, beats);
            if (!next.equals(last)) {
                last = next;
                log.accept("this gatherer is " + next.count() + " processes now, this is number " + next.index());
                told.accept(next);
            }
        } catch (IOException e) {
            // nor do others see this one any more
            if (lastGood == 0 || now - lastGood >= LiveProcesses.LIVENESS_TIMEOUT_MICROS) {
                take(List.of());
            }
            if (!faulty) {
                faulty = true;
                log.accept(
                        "upgrade: " + directory + " can't be used: " + e + "; during an upgrade each process takes the"
                                + " whole of what both may have: let this user write there");
            }
        }
    }

    private void take(List<ProcessHeartbeat> others) {
        int all = bound.limit();
        part.update(all, bound.inUse(), bound.isDraining(), others);
        if (part.quota() != lastMay || all != lastAll) {
            lastMay = part.quota();
            lastAll = all;
            bound.setQuota(part.quota(), all);
        }
        if (part.isEnoughToStart(all, others)) {
            room.countDown();
        }
    }

    private void sign(long now) throws IOException {
        if (over) {
            return;
        }
        try (var file = new RandomAccessFile(own.toFile(), "rw")) {
            file.setLength(length(Math.min(MOST_CLAIM, part.claim()), bound.isDraining()));
        }
        Files.setLastModifiedTime(own, FileTime.from(now, TimeUnit.MICROSECONDS));
    }

    private static long length(int claim, boolean leaving) {
        return 1 + 2L * claim + (leaving ? 1 : 0);
    }

    private static ProcessHeartbeat beat(String name, long at, long length) {
        return length == 0 ? new ProcessHeartbeat(name, at, ProcessHeartbeat.UNKNOWN_CLAIM, false)
                : new ProcessHeartbeat(name, at, (int) Math.min(MOST_CLAIM, (length - 1) / 2), length % 2 == 0);
    }

    private List<ProcessHeartbeat> beats(long now) throws IOException {
        var found = new ArrayList<ProcessHeartbeat>();
        try (DirectoryStream<Path> files = Files.newDirectoryStream(directory, PREFIX + "*")) {
            for (Path file : files) {
                try {
                    var beat = beat(file.getFileName().toString(),
                            Files.getLastModifiedTime(file).to(TimeUnit.MICROSECONDS), Files.size(file));
                    found.add(beat);
                    if (LiveProcesses.isStale(beat, now) && !file.equals(own)) {
                        Files.deleteIfExists(file);
                    }
                } catch (NoSuchFileException e) {
                    // its process has just ended
                }
            }
        }
        return found;
    }
}
