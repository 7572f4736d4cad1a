package wallmoor.bans;

/**
 * What an operator last said of a worker: one write to its register, with the time.
 *
 * @param id       the worker's
 * @param banned   whether the worker is banned; else a ban of it was lifted
 * @param atMicros when that was said, in microseconds of Unix time; 0 to 999,999,999,999,999,999
 */
public record BanMark(String id, boolean banned, long atMicros) {
    /**
     * Whether this holds where both are known: the last writer wins, and of two at once the ban does, as what takes
     * away is safe at once.
     */
    boolean supersedes(BanMark other) {
        return atMicros != other.atMicros ? atMicros > other.atMicros : banned && !other.banned;
    }
}
