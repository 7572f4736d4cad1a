package wallmoor.consensus;

import java.util.concurrent.atomic.AtomicLong;

/** Counts dropped packets, malformed packets and rejected connections since process start. Thread-safe. */
final class ConnectionCounters {
    private final AtomicLong dropped = new AtomicLong();
    private final AtomicLong malformed = new AtomicLong();
    private final AtomicLong rejected = new AtomicLong();

    /** Counts a packet that was not sent. */
    void countDropped() {
        dropped.incrementAndGet();
    }

    /** Counts a received packet that could not be decoded. */
    void countMalformed() {
        malformed.incrementAndGet();
    }

    /** Counts a rejected connection. */
    void countRejected() {
        rejected.incrementAndGet();
    }

    /** Returns the counters as text for the control port, whose words are part of its format. */
    String describe(int connections) {
        return "links " + connections + " dropped " + dropped + " malformed " + malformed + " refused " + rejected;
    }
}
