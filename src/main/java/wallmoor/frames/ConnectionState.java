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
 * The state of one connection: connecting, open, draining or closed, with the frames queued for its writer and the
 * attempts in flight. One lock guards all of it; closing the socket is the only I/O done while holding the lock. The
 * gatherer's lock is never acquired while holding it.
 */
final class ConnectionState {
    /**
     * A connect is slow once it has taken its timeout divided by this; further calls then use another connection.
     */
    private static final int SLOW_CONNECT_DIVISOR = 4;
    private static final long MIN_IDLE_WAIT_NANOS = TimeUnit.MILLISECONDS.toNanos(1);

    /** The result of a cancellation. */
    enum CancelResult {
        /** The attempt is not in flight on this connection. */
        NOT_IN_FLIGHT,
        /** Nothing of the attempt was written: it was removed, and the caller has to report it. */
        NOT_SENT,
        /** The cancellation frame is queued for the writer. */
        QUEUED
    }

    private final Gatherer gatherer;
    private final ConnectionLimits limits;
    private final String workerAddress;
    /** The start of the connect, in microseconds of the gatherer's clock. */
    private final long connectStartedAt;
    private final ReentrantLock lock = new ReentrantLock();
    private final Condition writerHasWork = lock.newCondition();
    /** Bounded, since a call needs capacity in {@link #inFlight} and an attempt is cancelled only once. */
    private final Deque<OutboundFrame> outbound = new ArrayDeque<>();
    private final InFlightTable inFlight = new InFlightTable();
    private boolean connected;
    private boolean closed;
    private boolean draining;
    /** The time of the last answer, by {@link System#nanoTime}. */
    private long lastAnswerAt;
    private long lastUsedAt = System.nanoTime();

    /**
     * Creates the state of a connection that is about to connect.
     *
     * @param workerAddress the worker's address as in the endpoint list
     */
    ConnectionState(Gatherer gatherer, ConnectionLimits limits, String workerAddress) {
        this.gatherer = gatherer;
        this.limits = limits;
        this.workerAddress = workerAddress;
        connectStartedAt = gatherer.now();
    }

    /** Records that the connection is established. */
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
     * Queues a call if the connection has capacity and is not about to be closed.
     *
     * @param evenUnhealthy whether to accept the call even if the connection is silent or slow to connect
     * @return whether the call was queued
     */
    boolean offer(Step.Send send, boolean evenUnhealthy) {
        lock.lock();
        try {
            boolean unhealthy = isConnectSlow() || (!inFlight.isEmpty() && isSilent(inFlight.oldest()));
            if ((unhealthy && !evenUnhealthy) || !hasCapacityFor(send.attempts().size())
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

    private boolean hasCapacityFor(int attemptCount) {
        boolean idleForTooLong = inFlight.isEmpty() && System.nanoTime() - lastUsedAt > limits.idleTimeoutNanos();
        return !closed && !draining && inFlight.size() + attemptCount <= limits.maxInFlight() && !idleForTooLong;
    }

    /** Returns whether the connect has taken so long that it may never succeed. */
    private boolean isConnectSlow() {
        long slowAfterMicros = TimeUnit.MILLISECONDS.toMicros(limits.connectMillis()) / SLOW_CONNECT_DIVISOR;
        return !connected && gatherer.now() - connectStartedAt > slowAfterMicros;
    }

    /**
     * Returns whether no answer has been received since an attempt was written, for longer than healthy workers take.
     * A single connection may go silent while its worker is healthy: all later calls on it are lost as well, including
     * the trial requests that the policy sends to the worker.
     */
    private boolean isSilent(InFlightAttempt attempt) {
        return attempt.state == WriteState.WRITTEN && lastAnswerAt - attempt.writtenAt < 0
                && System.nanoTime() - attempt.writtenAt > limits.silenceTimeoutNanos();
    }

    /** Removes an attempt that was not written yet, or queues a cancellation frame for one that was. */
    CancelResult cancel(Attempt attempt, AttemptOutcome outcome) {
        lock.lock();
        try {
            InFlightAttempt found = inFlight.find(attempt);
            if (found == null) {
                return CancelResult.NOT_IN_FLIGHT;
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

    /** Drops queued calls without attempts, since many may be queued and cancelled during one connect. */
    private void dropEmptyCalls() {
        outbound.removeIf(frame -> frame instanceof OutboundFrame.Call call && !hasAttemptInFlight(call.send()));
    }

    private boolean hasAttemptInFlight(Step.Send send) {
        for (Attempt attempt : send.attempts()) {
            if (inFlight.find(attempt) != null) {
                return true;
            }
        }
        return false;
    }

    // ---- closing ------------------------------------------------------------------------------------------

    /** Accepts no further calls; the writer ends once nothing is in flight. */
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

    /**
     * Closes the connection and its socket while holding the lock: a thread that sees the connection closed may send
     * its parts over another one.
     */
    void close(Socket socket) {
        lock.lock();
        try {
            closed = true;
            writerHasWork.signal();
            socket.close();
        } catch (IOException e) {
            // nothing more can be done to close it
        } finally {
            lock.unlock();
        }
    }

    /** Closes the connection and its socket if nothing is in flight. */
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

    /** Removes all attempts in flight on a closed connection. Returns the outcome of each. */
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

    /**
     * Waits for the next frame. Returns null if the connection is closed, has drained or has reached the idle timeout.
     */
    OutboundFrame awaitFrame() throws InterruptedException {
        lock.lock();
        try {
            lastUsedAt = System.nanoTime();
            while (outbound.isEmpty() && !closed) {
                long remainingNanos = limits.idleTimeoutNanos() - (System.nanoTime() - lastUsedAt);
                if ((remainingNanos <= 0 || draining) && inFlight.isEmpty()) {
                    closed = true;
                    return null;
                }
                writerHasWork.awaitNanos(Math.max(remainingNanos, MIN_IDLE_WAIT_NANOS));
            }
            return closed ? null : outbound.poll();
        } finally {
            lock.unlock();
        }
    }

    /**
     * Prepares a call just before it is written: removes and reports the attempts that are no longer permitted, and
     * encodes the others with the time they have left. Returns null if no attempt is left.
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
                    continue; // was cancelled while queued
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

    /** Records that these attempts have been written completely. */
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

    /** Removes an attempt whose cancellation has been written. Returns false if it was answered before. */
    boolean removeCancelled(InFlightAttempt cancelled) {
        lock.lock();
        try {
            return inFlight.removeCancelled(cancelled);
        } finally {
            lock.unlock();
        }
    }

    // ---- for the reader -----------------------------------------------------------------------------------

    /** Handles an answer. Returns false if the connection has to be closed because of it. */
    boolean onAnswer(AnswerFrame answer) {
        InFlightAttempt answered;
        lock.lock();
        try {
            lastUsedAt = System.nanoTime();
            lastAnswerAt = lastUsedAt;
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
