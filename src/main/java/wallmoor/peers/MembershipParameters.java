package wallmoor.peers;

/**
 * Parameters of the membership protocol. Times are microseconds.
 *
 * @param groupSize           configured number of gatherers; a quorum is more than half of them
 * @param probeInterval       time between two probes of a subject by one observer (SWIM: the protocol period)
 * @param probeTimeout        time after which an unanswered direct probe is followed by indirect probes
 * @param suspectAfter        time without an answer after which an observer suspects its subject
 * @param maxCutDelay         longest time that a cut waits for further members that are about to be removed; on the
 *                            smaller side of a partition all suspicions must have reached all members by then, or the
 *                            smaller side would still assume that it has a quorum
 * @param cutQuietPeriod      time without a new or withdrawn suspicion after which a cut goes ahead earlier; members
 *                            that fail together are suspected up to one probe interval apart, and failures on a
 *                            member's own side must be known before it removes others
 * @param antiEntropyInterval time between two exchanges of digests with one other member
 * @param tombstoneRetention  time that the entry of a member that left or was removed is retained, so that old messages
 *                            don't add the member again
 * @param pauseThreshold      time since the last tick above which this process counts as paused
 * @param ringCount           number of rings, on each of which a member is observed by its predecessor (Rapid: k)
 * @param indirectProbers     number of members that are asked to probe a subject that does not answer (SWIM: k)
 * @param maxUpdateBytes      approximate maximum size of the updates in one message, so that it fits a datagram
 * @param maxMembers          maximum number of entries in the table; announcements of further members are ignored
 */
public record MembershipParameters(int groupSize, long probeInterval, long probeTimeout, long suspectAfter,
        long maxCutDelay, long cutQuietPeriod, long antiEntropyInterval, long tombstoneRetention, long pauseThreshold,
        int ringCount, int indirectProbers, int maxUpdateBytes, int maxMembers) {
    private static final long MICROS_PER_SECOND = 1_000_000;
    private static final long TOMBSTONE_RETENTION_MICROS = 600 * MICROS_PER_SECOND;
    private static final int RING_COUNT = 8;
    private static final int INDIRECT_PROBERS = 3;
    /** The rest of a datagram of 1,200 bytes holds the sender's announcement, names and a margin. */
    private static final int MAX_UPDATE_BYTES = 750;
    private static final int MAX_MEMBERS = 10_000;
    /** Probes time out after three tenths of an interval, so that a tenth is a sufficient resolution. */
    private static final int TICKS_PER_INTERVAL = 10;

    /** Returns the time between two ticks. */
    public long tickInterval() {
        return probeInterval / TICKS_PER_INTERVAL;
    }

    /**
     * Returns the time after its last message during which a member counts as recently active. Probes and their answers
     * arrive once per interval, give or take a tenth, so that the loss of one message is tolerated.
     */
    long recentWindow() {
        return 3 * probeInterval / 2;
    }

    /** Returns the default parameters for a group of this size, with a probe interval of one second. */
    public static MembershipParameters of(int size) {
        return of(size, MICROS_PER_SECOND);
    }

    /**
     * Returns the default parameters for a group of this size and this probe interval, in microseconds. All other times
     * except the tombstone retention are proportional to the interval.
     */
    public static MembershipParameters of(int size, long interval) {
        return new MembershipParameters(size, interval, 3 * interval / 10, 3 * interval, 4 * interval,
                6 * interval / 5, 10 * interval, TOMBSTONE_RETENTION_MICROS, interval, RING_COUNT, INDIRECT_PROBERS,
                MAX_UPDATE_BYTES, MAX_MEMBERS);
    }
}
