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
import wallmoor.config.Launch;
import wallmoor.core.Attempt;
import wallmoor.core.Gatherer;
import wallmoor.core.Outcome;
import wallmoor.core.Permit;
import wallmoor.core.Step;
import wallmoor.core.Worker;
import wallmoor.http.Slice;

/**
 * One connection to a worker, which carries many parts at once. A thread writes (and connects first), another reads;
 * a worker that stops reading holds up the writer of this connection only. An attempt is known here until it is
 * reported, and it is reported by whoever takes it out of {@link #out}.
 */
final class WorkerConnection {
    private static final int MOST_UNHEARD = 512;
    /** A connection this long in one write has a peer that no longer reads. */
    private static final long STUCK_NANOS = TimeUnit.MILLISECONDS.toNanos(1500);

    private static final int FRAME_MILLIS = 50;
    /** A dial that lasts longer than its limit over this is slow: further calls get a connection of their own. */
    private static final int SLOW_DIAL_SHARE = 4;

    private enum State { QUEUED, WRITING, WRITTEN }

    private static final class Entry {
        final Attempt attempt;
        State state = State.QUEUED;
        Outcome calledOff;
        long writtenAt;

        Entry(Attempt attempt) {
            this.attempt = attempt;
        }
    }

    /** A frame to write: a call, or the end of an attempt. */
    private record Frame(Step.Send send, Entry cancel) {}

    private final Gatherer gatherer;
    private final WorkerLinks.Limits limits;
    private final String name;
    private final String id;
    private final String at;
    private final InetSocketAddress address;
    private final ReentrantLock lock = new ReentrantLock();
    private final Condition work = lock.newCondition();
    /** Bounded: a call needs room in {@link #out}, and an attempt is cancelled once. */
    private final Deque<Frame> frames = new ArrayDeque<>();
    private final Map<String, Entry> out = new LinkedHashMap<>();
    /**
     * Parts called off here whose answer may still be on its way. Another attempt of such a part goes over another
     * connection: a late answer to the first, taken for one to the second, would let a third out beside it.
     */
    private final Set<String> unheard = new LinkedHashSet<>();
    /** Parts answered here last: a second copy of a good answer takes nothing from the connection. */
    private final Set<String> heard = new LinkedHashSet<>();
    private final Socket socket;
    /** A frame that began to come in must go on coming. */
    private final int frameMillis;
    private final long dialledAt;
    private boolean connected;
    private boolean closed;
    private boolean retired;
    /** When a whole frame came last. */
    private long heardAt;
    private long usedAt = System.nanoTime();
    private volatile long writingSince;

    WorkerConnection(Gatherer gatherer, WorkerLinks.Limits limits, String name, Worker worker) {
        this.gatherer = gatherer;
        this.limits = limits;
        this.name = name;
        this.id = worker.id();
        this.at = worker.address();
        this.socket = limits.sockets().get();
        this.frameMillis = (int) Math.max(FRAME_MILLIS, TimeUnit.NANOSECONDS.toMillis(4 * limits.silentNanos()));
        this.address = Launch.address("host_port", at);
        this.dialledAt = gatherer.now();
    }

    String name() {
        return name;
    }

    /** Whether it goes to this address; the list may give a worker a new one. */
    boolean goesTo(String other) {
        return at.equals(other);
    }

    /** Takes nothing more, and closes once nothing is out on it. */
    void retire() {
        lock.lock();
        try {
            retired = true;
            work.signal();
        } finally {
            lock.unlock();
        }
    }

    /**
     * Whether nothing has come since an attempt was written, for longer than sound workers take. A connection may fall
     * silent alone: what is sent after it is lost as well, and one that is kept takes the trials of a sound worker too.
     */
    private boolean silent(Entry entry) {
        return entry.state == State.WRITTEN && heardAt - entry.writtenAt < 0
                && System.nanoTime() - entry.writtenAt > limits.silentNanos();
    }

    /** Whether it is still being dialled, and for so long that it may never come up. */
    private boolean dialIsSlow() {
        return !connected && gatherer.now() - dialledAt > 1000L * limits.connectMillis() / SLOW_DIAL_SHARE;
    }

    /** Takes a call if there is room and the connection is not about to be retired; one that is silent if need be. */
    boolean offer(Step.Send send, boolean evenSilent) {
        lock.lock();
        try {
            if (!evenSilent && (dialIsSlow() || !out.isEmpty() && silent(out.values().iterator().next()))) {
                return false;
            }
            if (closed || retired || out.size() + send.attempts().size() > limits.streams() || stuck()
                    || out.isEmpty() && System.nanoTime() - usedAt > limits.retireNanos()) {
                return false;
            }
            for (Attempt a : send.attempts()) {
                if (out.containsKey(a.partId()) || unheard.contains(a.partId())) {
                    return false;
                }
            }
            for (Attempt a : send.attempts()) {
                out.put(a.partId(), new Entry(a));
                if (!connected) {
                    a.joinsDial(dialledAt);
                }
            }
            frames.add(new Frame(send, null));
            work.signal();
            return true;
        } finally {
            lock.unlock();
        }
    }

    /** Calls an attempt off if it is here. One not yet written ends at once; else its end is written first. */
    boolean cancel(Attempt attempt, Outcome as) {
        lock.lock();
        try {
            Entry entry = out.get(attempt.partId());
            if (entry == null || entry.attempt != attempt) {
                return false;
            }
            if (entry.state == State.QUEUED) {
                out.remove(attempt.partId());
                dropEmptyCalls();
            } else {
                entry.calledOff = as;
                retired |= silent(entry);
                frames.add(new Frame(null, entry));
                work.signal();
                return true;
            }
        } finally {
            lock.unlock();
        }
        gatherer.report(attempt, Outcome.NEVER_SENT, null); // whether the worker can be reached is not known yet
        return true;
    }

    /** Takes calls of which no part is left out of the queue: while a dial lasts, many may come and go. */
    private void dropEmptyCalls() {
        for (Iterator<Frame> i = frames.iterator(); i.hasNext();) {
            Frame frame = i.next();
            if (frame.send != null && !waits(frame.send)) {
                i.remove();
            }
        }
    }

    private boolean waits(Step.Send send) {
        for (Attempt a : send.attempts()) {
            Entry entry = out.get(a.partId());
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
            if (out.isEmpty()) {
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
                limits.reach().accept(id, false);
            }
            throw e;
        }
        lock.lock();
        try {
            connected = true;
        } finally {
            lock.unlock();
        }
        limits.reach().accept(id, true);
    }

    private void write() throws IOException, InterruptedException {
        while (true) {
            Frame frame = next();
            if (frame == null) {
                return;
            }
            if (frame.cancel != null) {
                Entry entry = frame.cancel;
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
            mark(frame.send, State.WRITTEN); // first: whatever fails from here on, it may have run
            gatherer.written(going);
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
    private Frame next() throws InterruptedException {
        lock.lock();
        try {
            usedAt = System.nanoTime();
            while (frames.isEmpty() && !closed) {
                long left = limits.retireNanos() - (System.nanoTime() - usedAt);
                if ((left <= 0 || retired) && out.isEmpty()) {
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
        var unsent = new HashMap<Attempt, Outcome>();
        lock.lock();
        try {
            long now = gatherer.now();
            for (Attempt a : send.attempts()) {
                Entry entry = out.get(a.partId());
                if (entry == null || entry.attempt != a) {
                    continue;
                }
                Permit permit = a.permit(now, at);
                retired |= permit == Permit.MOVED;
                if (!permit.granted()) {
                    out.remove(a.partId());
                    unsent.put(a, Outcome.NEVER_SENT);
                    continue;
                }
                entry.state = State.WRITING;
                going.add(a);
                byte[] carried = (byte[]) a.query().carries();
                text.writeBytes((a.partId() + " " + a.shard() + " d=" + a.millisLeft(now) + " " + carried.length + "\n")
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

    private void mark(Step.Send send, State state) {
        lock.lock();
        try {
            for (Attempt a : send.attempts()) {
                Entry entry = out.get(a.partId());
                if (entry != null && entry.attempt == a) {
                    entry.state = state;
                    entry.writtenAt = System.nanoTime();
                }
            }
        } finally {
            lock.unlock();
        }
    }

    private boolean take(Entry entry) {
        lock.lock();
        try {
            boolean taken = out.remove(entry.attempt.partId(), entry);
            if (taken) {
                remember(unheard, entry.attempt.partId());
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
        var ended = new LinkedHashMap<Attempt, Outcome>();
        lock.lock();
        try {
            out.values().forEach(e -> ended.put(e.attempt, endOf(e)));
            out.clear();
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
    private Outcome endOf(Entry entry) {
        if (entry.calledOff != null) {
            return entry.calledOff;
        }
        return switch (entry.state) {
            case WRITTEN -> Outcome.RESET;
            case WRITING -> Outcome.NO_CONNECTION;
            case QUEUED -> connected ? Outcome.NEVER_SENT : Outcome.NO_CONNECTION;
        };
    }

    // ---- reading ------------------------------------------------------------------------------------------

    private void read() {
        try {
            var frames = new FrameReader(socket, frameMillis);
            for (Slice frame = frames.next(); frame != null && take(frame); frame = frames.next()) {
                // each is handled as it comes
            }
        } catch (IOException | RuntimeException e) {
            // broken: the writer reports what is out
        } finally {
            close();
        }
    }

    /** Handles a frame; false if it makes the connection useless. */
    private boolean take(Slice frame) {
        switch (frame.buffer()[frame.from()]) {
            case 'A' :
                Answer answer = Answer.of(frame);
                return answer != null && take(answer);
            case 'P', 'L' :
                return true; // no probe is ever sent
            default :
                return false; // E, or no frame at all
        }
    }

    private boolean take(Answer answer) {
        String part = answer.part();
        Entry entry;
        lock.lock();
        try {
            usedAt = System.nanoTime();
            heardAt = usedAt;
            boolean late = unheard.remove(part); // the answer to an attempt called off crossed its end
            entry = out.get(part);
            if (entry != null && entry.state != State.QUEUED) {
                out.remove(part);
                remember(heard, part);
                if (retired && out.isEmpty()) {
                    work.signal();
                }
            } else if (late || heard.contains(part)) {
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
