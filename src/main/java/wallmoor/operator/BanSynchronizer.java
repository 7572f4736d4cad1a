package wallmoor.operator;

import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import wallmoor.bans.BanRegister;
import wallmoor.http.Threads;

/**
 * Carries bans between operators' calls, the gatherer and the file. A change holds in the gatherer when the call
 * returns. One thread has the file: a disk that hangs costs a call {@value #WRITE_TIMEOUT_MILLIS} ms and no more.
 */
final class BanSynchronizer {
    /** How often it looks whether another process replaced the file. */
    private static final long POLL_MILLIS = 200;
    /** A call waits so long for its write; all of it must be answered within a second. */
    private static final long WRITE_TIMEOUT_MILLIS = 300;

    private final Logger log = LoggerFactory.getLogger(BanSynchronizer.class);
    private final OperatorControls controls;
    private final BanRegister register;
    /** Null where bans end with the process. */
    private final BanFile file;
    private final LongSupplier clock;
    /** Held from a change of the register until the gatherer has it too, so that both change in one order. */
    private final Object changeLock = new Object();
    /** Guards the fields below it. */
    private final Object writeLock = new Object();
    private long requestedWrites;
    private long completedWrites;
    private boolean closed;
    private Thread thread;

    /**
     * Reads the file, and has the gatherer leave out who is banned in it.
     *
     * @param file  null where bans end with the process
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
            for (String id : register.bannedIds()) { // also those that were known before the file
                controls.setBanned(id, true);
            }
        }
    }

    void start() {
        if (file != null) {
            thread = Threads.start("operator-bans", this::run);
        }
    }

    /** Ends the thread, after the write it may be at. */
    void close() throws InterruptedException {
        synchronized (writeLock) {
            closed = true;
            writeLock.notifyAll();
        }
        if (thread != null) {
            thread.join(WRITE_TIMEOUT_MILLIS);
        }
    }

    /** Bans a worker or lifts its ban; true if that changed anything here. */
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
        long until = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(WRITE_TIMEOUT_MILLIS);
        synchronized (writeLock) {
            long own = ++requestedWrites;
            writeLock.notifyAll();
            for (long left = WRITE_TIMEOUT_MILLIS; completedWrites < own && left > 0 && !closed;) {
                writeLock.wait(left);
                left = TimeUnit.NANOSECONDS.toMillis(until - System.nanoTime());
            }
            if (completedWrites < own) {
                log.info("bans: not yet written after {} ms: they hold in this process; look at its disk before"
                        + " ending it", WRITE_TIMEOUT_MILLIS);
            }
        }
    }

    private void run() {
        while (true) {
            long upTo;
            boolean last;
            boolean changedHere;
            synchronized (writeLock) {
                if (requestedWrites == completedWrites && !closed) {
                    try {
                        writeLock.wait(POLL_MILLIS);
                    } catch (InterruptedException e) {
                        return;
                    }
                }
                upTo = requestedWrites;
                last = closed;
                changedHere = upTo > completedWrites;
            }
            try {
                synchronizeFile(changedHere);
            } catch (RuntimeException e) { // the next look must come all the same
                log.info("bans: a look at the file failed: {}; it is tried again by itself, report it", e.toString());
            }
            synchronized (writeLock) {
                completedWrites = upTo;
                writeLock.notifyAll();
            }
            if (last) {
                return;
            }
        }
    }

    private void synchronizeFile(boolean changedHere) {
        if (file.refresh()) {
            synchronized (changeLock) {
                mergeFile();
            }
        }
        // what can't be read is left to the next call: another version may own it, and two must not fight over it
        boolean fileBehind = file.content() != null && register.isNewerThan(file.content());
        if (changedHere || fileBehind) {
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
            log.info(banned ? "bans: {} left out as the file says" : "bans: {} put back as the file says", id);
        }
    }
}
