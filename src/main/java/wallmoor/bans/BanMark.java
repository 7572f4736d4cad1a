package wallmoor.bans;

/**
 * The last change of a worker's ban by an operator: one write to its register, with the time.
 *
 * @param id       the worker's id
 * @param banned   whether the worker was banned; otherwise its ban was lifted
 * @param atMicros the time of the change, microseconds of Unix time; 0 to 999,999,999,999,999,999
 */
public record BanMark(String id, boolean banned, long atMicros) {
    /**
     * Returns whether this mark takes precedence over another one of the same worker. The last write wins; of two at
     * the same time the ban wins, because excluding a worker is the safe choice.
     */
    boolean supersedes(BanMark other) {
        return atMicros != other.atMicros ? atMicros > other.atMicros : banned && !other.banned;
    }
}
