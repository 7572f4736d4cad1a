package wallmoor.operator;

import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import wallmoor.bans.BanRegister;
import wallmoor.http.Threads;

/**
 * Carries bans between operators' calls, the gatherer and the file. A change holds in the gatherer when the call
 * returns. One thread has the file: a disk that hangs costs a call {@value #WRITE_MILLIS} ms and no more.
 */
final class BanSynchronizer {
    /** How often it looks whether another process replaced the file. */
    private static final long LOOK_MILLIS = 200;
    /** A call waits so long for its write; the whole of it must be answered within a second. */
    private static final long WRITE_MILLIS = 300;

    private final OperatorControls controls;
    private final BanRegister bans;
    private final BanFile file;
    private final LongSupplier clock;
    private final Consumer<String> log;
    /** Held from a change of the bans until the gatherer has it too, so that both change in one order. */
    private final Object order = new Object();
    private final Object writes = new Object();
    private long asked;
    private long done;
    private boolean closed;
    private Thread thread;

    BanSynchronizer(OperatorControls controls, BanRegister bans, BanFile file, LongSupplier clock,
            Consumer<String> log) {
        this.controls = controls;
        this.bans = bans;
        this.file = file;
        this.clock = clock;
        this.log = log;
        if (file != null) {
            file.refresh();
        }
        synchronized (order) {
            take();
            bans.banned().forEach(id -> controls.setBanned(id, true)); // also those that were known before the file
        }
    }

    void start() {
        if (file != null) {
            thread = Threads.start("operator-bans", this::run);
        }
    }

    /** Ends the thread, after the write it may be at. */
    void close() throws InterruptedException {
        synchronized (writes) {
            closed = true;
            writes.notifyAll();
        }
        if (thread != null) {
            thread.join(WRITE_MILLIS);
        }
    }

    /** Takes a worker out or puts it back; true if that changed anything here. */
    boolean change(String id, boolean out) throws InterruptedException {
        boolean changed;
        synchronized (order) {
            long now = clock.getAsLong();
            changed = out ? bans.ban(id, now) : bans.unban(id, now);
            controls.setBanned(id, out);
        }
        if (file != null) {
            awaitWrite();
        }
        return changed;
    }

    private void awaitWrite() throws InterruptedException {
        long until = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(WRITE_MILLIS);
        synchronized (writes) {
            long own = ++asked;
            writes.notifyAll();
            for (long left = WRITE_MILLIS; done < own && left > 0 && !closed;) {
                writes.wait(left);
                left = TimeUnit.NANOSECONDS.toMillis(until - System.nanoTime());
            }
            if (done < own) {
                log.accept("bans: not yet written after " + WRITE_MILLIS + " ms: they hold in this process; look at its"
                        + " disk before ending it");
            }
        }
    }

    private void run() {
        while (true) {
            long upTo;
            boolean last;
            synchronized (writes) {
                if (asked == done && !closed) {
                    try {
                        writes.wait(LOOK_MILLIS);
                    } catch (InterruptedException e) {
                        return;
                    }
                }
                upTo = asked;
                last = closed;
            }
            try {
                look(upTo > done);
            } catch (RuntimeException e) { // the next look must come all the same
                log.accept("bans: a look at the file failed: " + e + "; it is tried again by itself, report it");
            }
            synchronized (writes) {
                done = upTo;
                writes.notifyAll();
            }
            if (last) {
                return;
            }
        }
    }

    private void look(boolean changedHere) {
        if (file.refresh()) {
            synchronized (order) {
                take();
            }
        }
        // what can't be read is left to the next call: another version may own it, and two must not fight over it
        boolean behind = file.content() != null && bans.isNewerThan(file.content());
        if (changedHere || behind) {
            file.write(bans.marks());
        }
    }

    private void take() {
        if (file != null && file.content() != null) {
            for (String id : bans.merge(file.content())) {
                boolean out = bans.banned(id);
                controls.setBanned(id, out);
                log.accept("bans: " + id + (out ? " left out" : " put back") + " as the file says");
            }
        }
    }
}
