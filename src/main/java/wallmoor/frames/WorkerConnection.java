package wallmoor.frames;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.Condition;
import java.util.concurrent.locks.ReentrantLock;
import wallmoor.config.LaunchConfig;
import wallmoor.core.Attempt;
import wallmoor.core.AttemptOutcome;
import wallmoor.core.Gatherer;
import wallmoor.core.SendPermission;
import wallmoor.core.Step;
import wallmoor.core.Worker;
import wallmoor.http.ByteSlice;

/**
 * One connection to a worker, which carries many parts at once. A thread writes (and connects first), another reads;
 * a worker that stops reading holds up the writer of this connection only. An attempt is known here until it is
 * reported, and it is reported by whoever takes it out of {@link #inFlight}.
 */
final class WorkerConnection {
    private static final int MOST_UNHEARD = 512;
    /** A connection this long in one write has a peer that no longer reads. */
    private static final long STUCK_NANOS = TimeUnit.MILLISECONDS.toNanos(1500);

    private static final int FRAME_MILLIS = 50;
    /** A dial that lasts longer than its limit over this is slow: further calls get a connection of their own. */
    private static final int SLOW_DIAL_SHARE = 4;

    private enum WriteState { QUEUED, WRITING, WRITTEN }

    private static final class InFlightAttempt {
        final Attempt attempt;
        WriteState state = WriteState.QUEUED;
        AttemptOutcome calledOff;
        long writtenAt;

        InFlightAttempt(Attempt attempt) {
            this.attempt = attempt;
        }
    }

    /** A frame to write: a call, or the end of an attempt. */
    private record OutboundFrame(Step.Send send, InFlightAttempt cancel) {}

    private final Gatherer gatherer;
    private final WorkerConnectionPool.ConnectionLimits limits;
    private final String name;
    private final String id;
    private final String at;
    private final InetSocketAddress address;
    private final ReentrantLock lock = new ReentrantLock();
    private final Condition work = lock.newCondition();
    /** Bounded: a call needs room in {@link #inFlight}, and an attempt is cancelled once. */
    private final Deque<OutboundFrame> frames = new ArrayDeque<>();
    private final Map<String, InFlightAttempt> inFlight = new LinkedHashMap<>();
    /**
     * Parts called off here whose answer may still be on its way. Another attempt of such a part goes over another
     * connection: a late answer to the first, taken for one to the second, would let a third out beside it.
     */
    private final Set<String> cancelledParts = new LinkedHashSet<>();
    /** Parts answered here last: a second copy of a good answer takes nothing from the connection. */
    private final Set<String> answeredParts = new LinkedHashSet<>();
    private final Socket socket;
    /** A frame that began to come in must go on coming. */
    private final int frameMillis;
    private final long dialledAt;
    private boolean connected;
    private boolean closed;
    private boolean draining;
    /** When a whole frame came last. */
    private long heardAt;
    private long usedAt = System.nanoTime();
    private volatile long writingSince;

    WorkerConnection(Gatherer gatherer, WorkerConnectionPool.ConnectionLimits limits, String name, Worker worker) {
        this.gatherer = gatherer;
        this.limits = limits;
        this.name = name;
        this.id = worker.id();
        this.at = worker.address();
        this.socket = limits.sockets().get();
        this.frameMillis = (int) Math.max(FRAME_MILLIS,
                TimeUnit.NANOSECONDS.toMillis(4 * limits.silenceTimeoutNanos()));
        this.address = LaunchConfig.address("host_port", at);
        this.dialledAt = gatherer.now();
    }

    String name() {
        return name;
    }

    /** Whether it goes to this address; the list may give a worker a new one. */
    boolean hasAddress(String other) {
        return at.equals(other);
    }

    /** Takes nothing more, and closes once nothing is out on it. */
    void drain() {
        lock.lock();
        try {
            draining = true;
            work.signal();
        } finally {
            lock.unlock();
        }
    }

    /**
     * Whether nothing has come since an attempt was written, for longer than sound workers take. A connection may fall
     * silent alone: what is sent after it is lost as well, and one that is kept takes the trials of a sound worker too.
     */
    private boolean silent(InFlightAttempt entry) {
        return entry.state == WriteState.WRITTEN && heardAt - entry.writtenAt < 0
                && System.nanoTime() - entry.writtenAt > limits.silenceTimeoutNanos();
    }

    /** Whether it is still being dialled, and for so long that it may never come up. */
    private boolean dialIsSlow() {
        return !connected && gatherer.now() - dialledAt > 1000L * limits.connectMillis() / SLOW_DIAL_SHARE;
    }

    /** Takes a call if there is room and the connection is not about to be retired; one that is silent if need be. */
    boolean offer(Step.Send send, boolean evenSilent) {
        lock.lock();
        try {
            if (!evenSilent && (dialIsSlow() || !inFlight.isEmpty() && silent(inFlight.values().iterator().next()))) {
                return false;
            }
            if (closed || draining || inFlight.size() + send.attempts().size() > limits.maxInFlight() || stuck()
                    || inFlight.isEmpty() && System.nanoTime() - usedAt > limits.idleTimeoutNanos()) {
                return false;
            }
            for (Attempt a : send.attempts()) {
                if (inFlight.containsKey(a.partId()) || cancelledParts.contains(a.partId())) {
                    return false;
                }
            }
            for (Attempt a : send.attempts()) {
                inFlight.put(a.partId(), new InFlightAttempt(a));
                if (!connected) {
                    a.waitsForConnect(dialledAt);
                }
            }
            frames.add(new OutboundFrame(send, null));
            work.signal();
            return true;
        } finally {
            lock.unlock();
        }
    }

    /** Calls an attempt off if it is here. One not yet written ends at once; else its end is written first. */
    boolean cancel(Attempt attempt, AttemptOutcome as) {
        lock.lock();
        try {
            InFlightAttempt entry = inFlight.get(attempt.partId());
            if (entry == null || entry.attempt != attempt) {
                return false;
            }
            if (entry.state == WriteState.QUEUED) {
                inFlight.remove(attempt.partId());
                dropEmptyCalls();
            } else {
                entry.calledOff = as;
                draining |= silent(entry);
                frames.add(new OutboundFrame(null, entry));
                work.signal();
                return true;
            }
        } finally {
            lock.unlock();
        }
        gatherer.report(attempt, AttemptOutcome.NOT_SENT, null); // whether the worker can be reached is not known yet
        return true;
    }

    /** Takes calls of which no part is left out of the queue: while a dial lasts, many may come and go. */
    private void dropEmptyCalls() {
        for (Iterator<OutboundFrame> i = frames.iterator(); i.hasNext();) {
            OutboundFrame frame = i.next();
            if (frame.send != null && !waits(frame.send)) {
                i.remove();
            }
        }
    }

    private boolean waits(Step.Send send) {
        for (Attempt a : send.attempts()) {
            InFlightAttempt entry = inFlight.get(a.partId());
            if (entry != null && entry.attempt == a) {
                return true;
            }
        }
        return false;
    }

    boolean isClosed() {
        lock.lock();
        try {
            return closed;
        } finally {
            lock.unlock();
        }
    }

    /** Closes it if nothing is out on it. */
    void closeIfIdle() {
        lock.lock();
        try {
            if (inFlight.isEmpty()) {
                close();
            }
        } finally {
            lock.unlock();
        }
    }

    /** Closes it if it no longer takes what is written. */
    void closeIfStuck() {
        if (stuck()) {
            close();
        }
    }

    private boolean stuck() {
        long since = writingSince;
        return since != 0 && System.nanoTime() - since > STUCK_NANOS;
    }

    void close() {
        lock.lock();
        try {
            closed = true;
            work.signal();
            socket.close(); // under the lock: who sees it closed may send its parts elsewhere
        } catch (IOException e) {
            // it is closed as far as it can be
        } finally {
            lock.unlock();
        }
    }

    /**
     * Connects, then writes frames until the connection ends; then reports what is still out on it.
     *
     * @param closed told once it is closed, before the report: what goes again at once finds its place free
     */
    void run(Runnable closed) {
        try {
            socket.setTcpNoDelay(true);
            connect();
            wallmoor.http.Threads.start(name + "-read", this::read);
            write();
        } catch (IOException | RuntimeException | OutOfMemoryError e) {
            // refused, too slow or broken: what that means for each part is told below
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } finally {
            close();
            closed.run();
            reportAll();
        }
    }

    private void connect() throws IOException {
        try {
            socket.connect(address, limits.connectMillis());
        } catch (IOException e) {
            if (!isClosed()) {
                limits.onConnectResult().accept(id, false);
            }
            throw e;
        }
        lock.lock();
        try {
            connected = true;
        } finally {
            lock.unlock();
        }
        limits.onConnectResult().accept(id, true);
    }

    private void write() throws IOException, InterruptedException {
        while (true) {
            OutboundFrame frame = next();
            if (frame == null) {
                return;
            }
            if (frame.cancel != null) {
                InFlightAttempt entry = frame.cancel;
                write(frame('X', entry.attempt.partId().getBytes(StandardCharsets.ISO_8859_1)));
                if (take(entry)) {
                    gatherer.report(entry.attempt, entry.calledOff, null);
                }
                continue;
            }
            var going = new ArrayList<Attempt>();
            byte[] call = call(frame.send, going);
            if (call == null) {
                continue;
            }
            write(call);
            mark(frame.send, WriteState.WRITTEN); // first: whatever fails from here on, it may have run
            gatherer.recordSent(going);
        }
    }

    private void write(byte[] bytes) throws IOException {
        writingSince = System.nanoTime();
        try {
            socket.getOutputStream().write(bytes);
        } finally {
            writingSince = 0;
        }
    }

    /** The next frame; null when the connection is closed or has been idle for nearly as long as it may. */
    private OutboundFrame next() throws InterruptedException {
        lock.lock();
        try {
            usedAt = System.nanoTime();
            while (frames.isEmpty() && !closed) {
                long left = limits.idleTimeoutNanos() - (System.nanoTime() - usedAt);
                if ((left <= 0 || draining) && inFlight.isEmpty()) {
                    closed = true;
                    return null;
                }
                work.awaitNanos(Math.max(left, 1_000_000));
            }
            return closed ? null : frames.poll();
        } finally {
            lock.unlock();
        }
    }

    /**
     * The frame of a call, made just before it is written: without what may no longer begin, and with the time that
     * is left now. What goes is put into {@code going}.
     */
    private byte[] call(Step.Send send, List<Attempt> going) {
        var text = new java.io.ByteArrayOutputStream(256);
        var unsent = new HashMap<Attempt, AttemptOutcome>();
        lock.lock();
        try {
            long now = gatherer.now();
            for (Attempt a : send.attempts()) {
                InFlightAttempt entry = inFlight.get(a.partId());
                if (entry == null || entry.attempt != a) {
                    continue;
                }
                SendPermission permit = a.checkPermission(now, at);
                draining |= permit == SendPermission.ADDRESS_CHANGED;
                if (!permit.granted()) {
                    inFlight.remove(a.partId());
                    unsent.put(a, AttemptOutcome.NOT_SENT);
                    continue;
                }
                entry.state = WriteState.WRITING;
                going.add(a);
                byte[] carried = (byte[]) a.query().attachment();
                text.writeBytes(
                        (a.partId() + " " + a.shard() + " d=" + a.remainingMillis(now) + " " + carried.length + "\n")
                                .getBytes(StandardCharsets.ISO_8859_1));
                text.writeBytes(carried);
            }
        } finally {
            lock.unlock();
        }
        if (!unsent.isEmpty()) {
            gatherer.report(unsent);
        }
        return text.size() == 0 ? null : frame('Q', text.toByteArray());
    }

    private static byte[] frame(char letter, byte[] rest) {
        byte[] frame = new byte[5 + rest.length];
        int length = 1 + rest.length;
        for (int i = 0; i < 4; i++) {
            frame[i] = (byte) (length >>> 8 * (3 - i));
        }
        frame[4] = (byte) letter;
        System.arraycopy(rest, 0, frame, 5, rest.length);
        return frame;
    }

    private void mark(Step.Send send, WriteState state) {
        lock.lock();
        try {
            for (Attempt a : send.attempts()) {
                InFlightAttempt entry = inFlight.get(a.partId());
                if (entry != null && entry.attempt == a) {
                    entry.state = state;
                    entry.writtenAt = System.nanoTime();
                }
            }
        } finally {
            lock.unlock();
        }
    }

    private boolean take(InFlightAttempt entry) {
        lock.lock();
        try {
            boolean taken = inFlight.remove(entry.attempt.partId(), entry);
            if (taken) {
                remember(cancelledParts, entry.attempt.partId());
            }
            return taken;
        } finally {
            lock.unlock();
        }
    }

    private static void remember(Set<String> parts, String id) {
        parts.add(id);
        if (parts.size() > MOST_UNHEARD) {
            parts.remove(parts.iterator().next()); // long past its query's time
        }
    }

    private void reportAll() {
        var ended = new LinkedHashMap<Attempt, AttemptOutcome>();
        lock.lock();
        try {
            inFlight.values().forEach(e -> ended.put(e.attempt, endOf(e)));
            inFlight.clear();
            frames.clear();
        } finally {
            lock.unlock();
        }
        if (!ended.isEmpty()) {
            gatherer.report(ended);
        }
    }

    /**
     * What the connection's end means for an attempt. One that waits on a connection that had come up is no failure of
     * its worker's: idle connections are closed at any time.
     */
    private AttemptOutcome endOf(InFlightAttempt entry) {
        if (entry.calledOff != null) {
            return entry.calledOff;
        }
        return switch (entry.state) {
            case WRITTEN -> AttemptOutcome.RESET;
            case WRITING -> AttemptOutcome.CONNECT_FAILED;
            case QUEUED -> connected ? AttemptOutcome.NOT_SENT : AttemptOutcome.CONNECT_FAILED;
        };
    }

    // ---- reading ------------------------------------------------------------------------------------------

    private void read() {
        try {
            var frames = new FrameReader(socket, frameMillis);
            for (ByteSlice frame = frames.next(); frame != null && take(frame); frame = frames.next()) {
                // each is handled as it comes
            }
        } catch (IOException | RuntimeException e) {
            // broken: the writer reports what is out
        } finally {
            close();
        }
    }

    /** Handles a frame; false if it makes the connection useless. */
    private boolean take(ByteSlice frame) {
        switch (frame.buffer()[frame.from()]) {
            case 'A' :
                AnswerFrame answer = AnswerFrame.of(frame);
                return answer != null && take(answer);
            case 'P', 'L' :
                return true; // no probe is ever sent
            default :
                return false; // E, or no frame at all
        }
    }

    private boolean take(AnswerFrame answer) {
        String part = answer.part();
        InFlightAttempt entry;
        lock.lock();
        try {
            usedAt = System.nanoTime();
            heardAt = usedAt;
            boolean late = cancelledParts.remove(part); // the answer to an attempt called off crossed its end
            entry = inFlight.get(part);
            if (entry != null && entry.state != WriteState.QUEUED) {
                inFlight.remove(part);
                remember(answeredParts, part);
                if (draining && inFlight.isEmpty()) {
                    work.signal();
                }
            } else if (late || answeredParts.contains(part)) {
                entry = null;
            } else {
                return false; // an id that nobody asked for: what it was meant to answer will never come
            }
        } finally {
            lock.unlock();
        }
        if (entry != null) {
            gatherer.report(entry.attempt, answer.outcome(), answer.value());
        }
        return true;
    }
}
