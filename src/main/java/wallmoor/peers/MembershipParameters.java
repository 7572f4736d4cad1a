package wallmoor.peers;

/**
 * Parameters of the membership protocol. Times are microseconds.
 *
 * @param groupSize           gatherers that there are meant to be: a quorum is more than half of them
 * @param probeInterval       between two probes of one subject by one observer (SWIM: the protocol period)
 * @param probeTimeout        for a direct probe; then others are asked to probe
 * @param suspectAfter        an observer that has not heard its subject for so long suspects it
 * @param maxCutDelay         a cut waits so long at most for further subjects that are about to be cut as well: on the
 *                            smaller side of a group in two, all suspicions must have reached all by then, or it would
 *                            believe in its quorum still
 * @param cutQuietPeriod      ... and goes ahead once no suspicion has come or gone for so long: what fails together is
 *                            suspected as far apart as probes are, and who of one's own side is gone must be known
 *                            before others are removed
 * @param antiEntropyInterval between two exchanges of digests with one other
 * @param tombstoneRetention  one that left or was removed is remembered for so long, so that old messages don't bring
 *                            it back
 * @param pauseThreshold      a tick this late tells of a pause of the own process
 * @param ringCount           on each ring a member is observed by the one before it (Rapid: k)
 * @param indirectProbers     others asked to probe one that does not answer (SWIM: k)
 * @param maxUpdateBytes      of updates in one message, about, so that it fits a datagram
 * @param maxMembers          entries at most: what comes beyond is not taken in
 */
public record MembershipParameters(int groupSize, long probeInterval, long probeTimeout, long suspectAfter,
        long maxCutDelay, long cutQuietPeriod, long antiEntropyInterval, long tombstoneRetention, long pauseThreshold,
        int ringCount, int indirectProbers, int maxUpdateBytes, int maxMembers) {
    private static final long SECOND = 1_000_000;
    private static final long TOMBSTONE_RETENTION = 600 * SECOND;
    private static final int RINGS = 8;
    private static final int INDIRECT_PROBERS = 3;
    /** Of a datagram of 1,200 bytes: the rest is for the sender's own announcement, names and a margin. */
    private static final int MAX_UPDATE_BYTES = 750;
    private static final int MAX_MEMBERS = 10_000;
    /** Ticks an interval: probes that time out after three tenths of it are seen soon enough. */
    private static final int TICKS = 10;

    /** Time between two ticks. */
    public long tickInterval() {
        return probeInterval / TICKS;
    }

    /**
     * Who was heard within this time counts as speaking. Probes and their answers come each interval, give or take a
     * tenth: one of them may be lost.
     */
    long recentWindow() {
        return 3 * probeInterval / 2;
    }

    /** The usual parameters for a group of so many. */
    public static MembershipParameters of(int size) {
        return of(size, SECOND);
    }

    /** The same with another interval between probes; all other times but the retention of tombstones follow it. */
    public static MembershipParameters of(int size, long interval) {
        return new MembershipParameters(size, interval, 3 * interval / 10, 3 * interval, 4 * interval,
                6 * interval / 5, 10 * interval, TOMBSTONE_RETENTION, interval, RINGS, INDIRECT_PROBERS,
                MAX_UPDATE_BYTES, MAX_MEMBERS);
    }
}
