package wallmoor.consensus;

import java.util.concurrent.atomic.AtomicLong;

/** What did not get through, since the start. Any thread. */
final class ConnectionCounters {
    private final AtomicLong dropped = new AtomicLong();
    private final AtomicLong malformed = new AtomicLong();
    private final AtomicLong rejected = new AtomicLong();

    /** A packet was not sent. */
    void countDropped() {
        dropped.incrementAndGet();
    }

    /** A packet that came can't be read. */
    void countMalformed() {
        malformed.incrementAndGet();
    }

    /** A connection was rejected. */
    void countRejected() {
        rejected.incrementAndGet();
    }

    /** For the operators; the words are those of the control port. */
    String describe(int connections) {
        return "links " + connections + " dropped " + dropped + " malformed " + malformed + " refused " + rejected;
    }
}
