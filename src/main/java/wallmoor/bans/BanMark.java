package wallmoor.bans;

/**
 * What was last said of a worker by an operator.
 *
 * @param banned whether the worker is to be left out; else a ban of it was lifted
 * @param atMicros     when that was said, in microseconds of Unix time; 0 to 999,999,999,999,999,999
 */
public record BanMark(String id, boolean banned, long atMicros) {
    /** Whether this stands where both are known; of two said at once the ban does: what takes away is safe at once. */
    boolean supersedes(BanMark other) {
        return atMicros != other.atMicros ? atMicros > other.atMicros : banned && !other.banned;
    }
}
