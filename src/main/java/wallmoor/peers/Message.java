package wallmoor.peers;

import java.util.List;

/**
 * One message from one member to another. Those of kind {@link Kind#TABLE} may hold any number of news and be too large
 * for a datagram; all others fit one.
 *
 * @param from   the sender's news of itself
 * @param seq    a probe's number, given back by its answer
 * @param about  whom to probe, in {@link Kind#ASK}; else null
 * @param digest of what the sender knows of all members: where it differs, what differs is exchanged
 * @param groups in {@link Kind#EXCHANGE} the digests of groups of members, so that only groups that differ are told;
 *               else empty
 */
public record Message(Kind kind, News.Told from, long seq, String about, long digest, List<Long> groups,
        List<News> news) {
    /** What a message is for. */
    public enum Kind {
        /** Are you there? */
        PROBE,
        /** I am. */
        ACK,
        /** Probe another for me. */
        ASK,
        /** What I know; tell me what you do where it differs. */
        EXCHANGE,
        /** What I know, in answer. */
        TABLE
    }
}
