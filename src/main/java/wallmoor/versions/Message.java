package wallmoor.versions;

import java.util.List;
import java.util.Map;

/** What a gatherer and the leader of the voters say to each other. */
public sealed interface Message {
    /** What a gatherer knows of a document: the last version's number and hash. */
    record Known(long number, String hash) {}

    /**
     * A gatherer asks for a lease, and gives its word: from when it asked on it does nothing that a version it knows
     * takes away. That gives up what leases it had on older ones.
     *
     * @param life tells two processes of one name apart
     * @param seq  goes up; the lease counts from when the ask of this number was made
     */
    record Ask(String holder, long life, long seq, Map<String, Known> known) implements Message {
        /** Keeps a copy that nobody changes. */
        public Ask {
            known = Map.copyOf(known);
        }
    }

    /** The leader gives a lease on all documents, as an answer to an ask. */
    record Grant(String holder, long life, long seq, List<Chain> chains) implements Message {}

    /** No lease: {@code why} is for the operator. */
    record Denied(String holder, long life, long seq, String why) implements Message {}

    /** Something was accepted, or acts; no lease comes with it. */
    record News(List<Chain> chains) implements Message {}
}
