package wallmoor.frames;

import java.io.IOException;
import java.net.Socket;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.Condition;
import java.util.concurrent.locks.ReentrantLock;
import wallmoor.core.Attempt;
import wallmoor.core.AttemptOutcome;
import wallmoor.core.Gatherer;
import wallmoor.core.SendPermission;
import wallmoor.core.Step;

/**
 * The state of one connection: connecting, open, draining or closed, the frames that wait for its writer and the
 * attempts in flight on it. All of it is guarded by one lock, under which only closing the socket does I/O. The
 * gatherer's lock is never taken under it.
 */
final class ConnectionState {
    /** A connect that lasts longer than its limit over this is slow: further calls get a connection of their own. */
    private static final int SLOW_CONNECT_SHARE = 4;
    private static final long MIN_IDLE_WAIT_NANOS = TimeUnit.MILLISECONDS.toNanos(1);

    /** What became of a cancellation. */
    enum CancelResult {
        /** The attempt is not in flight here. */
        NOT_HERE,
        /** Nothing of it was written: it was taken out, and is to be reported at once. */
        NOT_SENT,
        /** Its cancellation waits for the writer. */
        QUEUED
    }

    private final Gatherer gatherer;
    private final ConnectionLimits limits;
    private final String workerAddress;
    /** Microseconds on the gatherer's clock. */
    private final long connectStartedAt;
    private final ReentrantLock lock = new ReentrantLock();
    private final Condition writerHasWork = lock.newCondition();
    /** Bounded: a call needs room in {@link #inFlight}, and an attempt is cancelled once. */
    private final Deque<OutboundFrame> outbound = new ArrayDeque<>();
    private final InFlightTable inFlight = new InFlightTable();
    private boolean connected;
    private boolean closed;
    private boolean draining;
    /** When an answer came last, by {@link System#nanoTime}. */
    private long answeredAt;
    private long usedAt = System.nanoTime();

    /**
     * The state of a connection that is about to connect.
     *
     * @param workerAddress where it goes, as the endpoint list names it
     */
    ConnectionState(Gatherer gatherer, ConnectionLimits limits, String workerAddress) {
        this.gatherer = gatherer;
        this.limits = limits;
        this.workerAddress = workerAddress;
        connectStartedAt = gatherer.now();
    }

    /** The connection has come up. */
    void markConnected() {
        lock.lock();
        try {
            connected = true;
        } finally {
            lock.unlock();
        }
    }

    // ---- calls and cancellations --------------------------------------------------------------------------

    /**
     * Takes a call if there is room and the connection is not about to be closed.
     *
     * @param evenUnhealthy also if it is silent or slow to connect
     */
    boolean offer(Step.Send send, boolean evenUnhealthy) {
        lock.lock();
        try {
            boolean unhealthy = isConnectSlow() || (!inFlight.isEmpty() && isSilent(inFlight.oldest()));
            if ((unhealthy && !evenUnhealthy) || !hasRoomFor(send.attempts().size())
                    || inFlight.conflictsWith(send.attempts())) {
                return false;
            }
            for (Attempt attempt : send.attempts()) {
                inFlight.add(attempt);
                if (!connected) {
                    attempt.recordConnectStart(connectStartedAt);
                }
            }
            outbound.add(new OutboundFrame.Call(send));
            writerHasWork.signal();
            return true;
        } finally {
            lock.unlock();
        }
    }

    private boolean hasRoomFor(int attempts) {
        boolean idleForTooLong = inFlight.isEmpty() && System.nanoTime() - usedAt > limits.idleTimeoutNanos();
        return !closed && !draining && inFlight.size() + attempts <= limits.maxInFlight() && !idleForTooLong;
    }

    /** Whether it has been connecting for so long that it may never come up. */
    private boolean isConnectSlow() {
        long limit = TimeUnit.MILLISECONDS.toMicros(limits.connectMillis()) / SLOW_CONNECT_SHARE;
        return !connected && gatherer.now() - connectStartedAt > limit;
    }

    /**
     * Whether nothing has come since an attempt was written, for longer than sound workers take. A connection may fall
     * silent alone: what is sent after it is lost as well, and one that is kept takes the trials of a sound worker too.
     */
    private boolean isSilent(InFlightAttempt attempt) {
        return attempt.state == WriteState.WRITTEN && answeredAt - attempt.writtenAt < 0
                && System.nanoTime() - attempt.writtenAt > limits.silenceTimeoutNanos();
    }

    /** Cancels an attempt: one that was not written is taken out, for another the cancellation is written first. */
    CancelResult cancel(Attempt attempt, AttemptOutcome outcome) {
        lock.lock();
        try {
            InFlightAttempt found = inFlight.find(attempt);
            if (found == null) {
                return CancelResult.NOT_HERE;
            }
            if (found.state == WriteState.QUEUED) {
                inFlight.remove(attempt);
                dropEmptyCalls();
                return CancelResult.NOT_SENT;
            }
            found.cancelledAs = outcome;
            draining |= isSilent(found);
            outbound.add(new OutboundFrame.Cancellation(found));
            writerHasWork.signal();
            return CancelResult.QUEUED;
        } finally {
            lock.unlock();
        }
    }

    /** Drops the waiting calls of which no attempt is left: while a connect lasts, many may come and go. */
    private void dropEmptyCalls() {
        outbound.removeIf(frame -> frame instanceof OutboundFrame.Call call && !isWaiting(call.send()));
    }

    private boolean isWaiting(Step.Send send) {
        for (Attempt attempt : send.attempts()) {
            if (inFlight.find(attempt) != null) {
                return true;
            }
        }
        return false;
    }

    // ---- closing ------------------------------------------------------------------------------------------

    /** Takes nothing more; the writer ends once nothing is in flight. */
    void drain() {
        lock.lock();
        try {
            draining = true;
            writerHasWork.signal();
        } finally {
            lock.unlock();
        }
    }

    boolean isClosed() {
        lock.lock();
        try {
            return closed;
        } finally {
            lock.unlock();
        }
    }

    /** Closes the connection and its socket, under the lock: who sees it closed may send its parts elsewhere. */
    void close(Socket socket) {
        lock.lock();
        try {
            closed = true;
            writerHasWork.signal();
            socket.close();
        } catch (IOException e) {
            // it is closed as far as it can be
        } finally {
            lock.unlock();
        }
    }

    /** The same, but only if nothing is in flight. */
    void closeIfIdle(Socket socket) {
        lock.lock();
        try {
            if (inFlight.isEmpty()) {
                close(socket);
            }
        } finally {
            lock.unlock();
        }
    }

    /** Takes out all that is in flight on a closed connection, each with what that means for it. */
    Map<Attempt, AttemptOutcome> removeAll() {
        lock.lock();
        try {
            outbound.clear();
            return inFlight.removeAll(connected);
        } finally {
            lock.unlock();
        }
    }

    // ---- for the writer -----------------------------------------------------------------------------------

    /** The next frame; null when the connection is closed, or has drained, or has been idle for as long as it may. */
    OutboundFrame awaitFrame() throws InterruptedException {
        lock.lock();
        try {
            usedAt = System.nanoTime();
            while (outbound.isEmpty() && !closed) {
                long left = limits.idleTimeoutNanos() - (System.nanoTime() - usedAt);
                if ((left <= 0 || draining) && inFlight.isEmpty()) {
                    closed = true;
                    return null;
                }
                writerHasWork.awaitNanos(Math.max(left, MIN_IDLE_WAIT_NANOS));
            }
            return closed ? null : outbound.poll();
        } finally {
            lock.unlock();
        }
    }

    /**
     * Prepares a call just before it is written: without the attempts that may no longer begin, which are reported, and
     * with the time that the others have left now. Null if none is left.
     */
    PreparedCall prepareCall(Step.Send send) {
        var call = new PreparedCall();
        var notSent = new HashMap<Attempt, AttemptOutcome>();
        lock.lock();
        try {
            long now = gatherer.now();
            for (Attempt attempt : send.attempts()) {
                InFlightAttempt found = inFlight.find(attempt);
                if (found == null) {
                    continue; // cancelled meanwhile
                }
                SendPermission permission = attempt.checkPermission(now, workerAddress);
                draining |= permission == SendPermission.ADDRESS_CHANGED;
                if (permission.granted()) {
                    found.state = WriteState.WRITING;
                    call.add(attempt, now);
                } else {
                    inFlight.remove(attempt);
                    notSent.put(attempt, AttemptOutcome.NOT_SENT);
                }
            }
        } finally {
            lock.unlock();
        }
        if (!notSent.isEmpty()) {
            gatherer.report(notSent);
        }
        return call.attempts().isEmpty() ? null : call;
    }

    /** These attempts have been written completely. */
    void markWritten(List<Attempt> attempts) {
        lock.lock();
        try {
            for (Attempt attempt : attempts) {
                InFlightAttempt found = inFlight.find(attempt);
                if (found != null) {
                    found.state = WriteState.WRITTEN;
                    found.writtenAt = System.nanoTime();
                }
            }
        } finally {
            lock.unlock();
        }
    }

    /** The cancellation of an attempt has been written: takes it out; false if it was answered before. */
    boolean removeCancelled(InFlightAttempt cancelled) {
        lock.lock();
        try {
            return inFlight.removeCancelled(cancelled);
        } finally {
            lock.unlock();
        }
    }

    // ---- for the reader -----------------------------------------------------------------------------------

    /** An answer has come; false if it makes the connection useless. */
    boolean onAnswer(AnswerFrame answer) {
        InFlightAttempt answered;
        lock.lock();
        try {
            usedAt = System.nanoTime();
            answeredAt = usedAt;
            InFlightTable.AnswerMatch match = inFlight.match(answer.part());
            if (match != InFlightTable.AnswerMatch.IN_FLIGHT) {
                return match == InFlightTable.AnswerMatch.LATE;
            }
            answered = inFlight.removeAnswered(answer.part());
            if (draining && inFlight.isEmpty()) {
                writerHasWork.signal();
            }
        } finally {
            lock.unlock();
        }
        gatherer.report(answered.attempt, answer.outcome(), answer.value());
        return true;
    }
}
