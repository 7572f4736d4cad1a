package wallmoor.exchange;

/**
 * The figures of the exchanges. Times are microseconds.
 *
 * @param grace         a query that may repeat, and that nobody waits for any longer, is cancelled after this
 * @param retain        an outcome of a class that may repeat is kept for so long after its end
 * @param window        an outcome of a class that may not is kept until so long after its id was made; an id older than
 *                      this, or made before the program knew anything, is never run
 * @param skew          a device's clock may be off by so much
 * @param uploadIdle    an upload with no piece for so long is dropped
 * @param openEach      queries of one device that have no outcome yet, uploads among them
 * @param open          ... of all devices
 * @param retainedEach  outcomes kept for one device
 * @param retainedBytes bytes of outcomes and uploads kept in all, with {@link #OVERHEAD} for each
 * @param bytesEach     ... for one device
 * @param mostOutcome   bytes of one outcome; so much is set aside when a query that may not repeat is taken
 * @param askRate       asks a second that a device may go on making
 * @param askBurst      asks that it may make at once
 * @param returnRate    devices a second that are told to come back
 * @param returnFirst   the least time to come back after
 * @param returnMost    the longest
 */
public record Rules(long grace, long retain, long window, long skew, long uploadIdle, int openEach, int open,
        int retainedEach, long retainedBytes, long bytesEach, int mostOutcome, double askRate, int askBurst,
        double returnRate, long returnFirst, long returnMost) {
    /** What an exchange takes beside its outcome's bytes, measured and rounded up. */
    public static final int OVERHEAD = 512;

    /** Checks the bounds. */
    public Rules {
        if (grace < 0 || retain <= 0 || window <= 0 || skew < 0 || uploadIdle <= 0 || openEach < 1 || open < openEach
                || retainedEach < 1 || mostOutcome < 1 || bytesEach < mostOutcome + OVERHEAD
                || retainedBytes < bytesEach
                || !(askRate > 0) || askBurst < 1 || !(returnRate > 0) || returnFirst <= 0
                || returnMost < returnFirst) {
            throw new IllegalArgumentException("rules of exchanges are out of bounds");
        }
    }

    /** Starting values; the operators' page gives their reasons. */
    public static Rules usual() {
        long second = 1_000_000;
        return new Rules(5 * second, 600 * second, 86_400 * second, 5 * second, 60 * second, 16, 2_000, 256,
                64L << 20, 4L << 20, 64 * 1024, 5, 40, 200, second, 30 * second);
    }
}
