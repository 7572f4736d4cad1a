package wallmoor.operator;

import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import wallmoor.bans.BanRegister;
import wallmoor.threads.Threads;

/**
 * Synchronizes the bans of operators' calls, the gatherer and the file. A change is in effect in the gatherer when the
 * call returns. Only one thread accesses the file, so a hanging disk delays a call by at most
 * {@value #WRITE_TIMEOUT_MILLIS} ms.
 */
final class BanSynchronizer {
    /** The interval at which it checks whether another process replaced the file. */
    private static final long POLL_MILLIS = 200;
    /** The maximum time that a call waits for its write; the whole call must be answered within a second. */
    private static final long WRITE_TIMEOUT_MILLIS = 300;

    private final Logger log = LoggerFactory.getLogger(BanSynchronizer.class);
    private final OperatorControls controls;
    private final BanRegister register;
    /** Null if bans end with the process. */
    private final BanFile file;
    private final LongSupplier clock;
    /** Held from a change of the register until the gatherer has it too, so that both see the same order. */
    private final Object changeLock = new Object();
    /** Guards the fields below. */
    private final Object writeLock = new Object();
    private long requestedWrites;
    private long completedWrites;
    private boolean closed;
    private Thread thread;

    /**
     * Reads the file and bans the workers listed in it.
     *
     * @param file  stores the bans, or null if they end with the process
     * @param clock microseconds of Unix time
     */
    BanSynchronizer(OperatorControls controls, BanRegister register, BanFile file, LongSupplier clock) {
        this.controls = controls;
        this.register = register;
        this.file = file;
        this.clock = clock;
        if (file != null) {
            file.refresh();
        }
        synchronized (changeLock) {
            mergeFile();
            for (String id : register.bannedIds()) { // including those that were banned before the file was read
                controls.setBanned(id, true);
            }
        }
    }

    void start() {
        if (file != null) {
            thread = Threads.startEssential("operator-bans", this::run);
        }
    }

    /** Ends the thread after any write in progress. */
    void close() throws InterruptedException {
        synchronized (writeLock) {
            closed = true;
            writeLock.notifyAll();
        }
        if (thread != null) {
            thread.join(WRITE_TIMEOUT_MILLIS);
        }
    }

    /** Bans a worker or lifts its ban, and returns whether that changed this process's register. */
    boolean setBanned(String id, boolean banned) throws InterruptedException {
        boolean changed;
        synchronized (changeLock) {
            long now = clock.getAsLong();
            changed = banned ? register.ban(id, now) : register.unban(id, now);
            controls.setBanned(id, banned);
        }
        if (file != null) {
            awaitWrite();
        }
        return changed;
    }

    private void awaitWrite() throws InterruptedException {
        long deadlineNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(WRITE_TIMEOUT_MILLIS);
        synchronized (writeLock) {
            long writeNumber = ++requestedWrites;
            writeLock.notifyAll();
            for (long remaining = WRITE_TIMEOUT_MILLIS; completedWrites < writeNumber && remaining > 0 && !closed;) {
                writeLock.wait(remaining);
                remaining = TimeUnit.NANOSECONDS.toMillis(deadlineNanos - System.nanoTime());
            }
            if (completedWrites < writeNumber) {
                log.info("bans not yet written, they are in effect in this process; check its disk before stopping it:"
                        + " waitedMillis={}", WRITE_TIMEOUT_MILLIS);
            }
        }
    }

    private void run() {
        while (true) {
            long handledWrites;
            boolean isLastRun;
            boolean hasRequestedWrites;
            synchronized (writeLock) {
                if (requestedWrites == completedWrites && !closed) {
                    try {
                        writeLock.wait(POLL_MILLIS);
                    } catch (InterruptedException e) {
                        return;
                    }
                }
                handledWrites = requestedWrites;
                isLastRun = closed;
                hasRequestedWrites = handledWrites > completedWrites;
            }
            try {
                synchronizeFile(hasRequestedWrites);
            } catch (RuntimeException e) { // must not end the thread: the file is checked again later
                log.info("bans file synchronization failed, will retry; please report this error: error={}",
                        e.toString());
            }
            synchronized (writeLock) {
                completedWrites = handledWrites;
                writeLock.notifyAll();
            }
            if (isLastRun) {
                return;
            }
        }
    }

    private void synchronizeFile(boolean hasRequestedWrites) {
        if (file.refresh()) {
            synchronized (changeLock) {
                mergeFile();
            }
        }
        // An unreadable file is replaced only by the next call: it may belong to another version of the program, and
        // two processes must not keep overwriting each other's file.
        boolean isFileOutdated = file.content() != null && register.isNewerThan(file.content());
        if (hasRequestedWrites || isFileOutdated) {
            file.write(register.marks());
        }
    }

    private void mergeFile() {
        if (file == null || file.content() == null) {
            return;
        }
        for (String id : register.merge(file.content())) {
            boolean banned = register.isBanned(id);
            controls.setBanned(id, banned);
            log.info(banned ? "worker banned by file: worker={}" : "worker ban lifted by file: worker={}", id);
        }
    }
}
