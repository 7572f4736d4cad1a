package wallmoor.client;

/**
 * How a device goes on after something went wrong: soon, then later and later, never all at once, and not beyond its
 * own patience. Pure; times are milliseconds.
 *
 * @param first the first wait
 * @param most  the longest
 * @param until when the device gives up
 */
public record RetryBackoff(long first, long most, long until) {
    /** The wait that means: give up. */
    public static final long GIVE_UP = -1;

    /**
     * The wait before the next try, or {@link #GIVE_UP}.
     *
     * @param tries  how many went wrong in a row, from 1
     * @param told   the least wait that the answer asked for, or 0: it is honoured, whatever the own pace
     * @param random from 0 to 1: half of each wait is drawn, so that devices cut off together come back apart
     */
    public long next(long now, int tries, long told, double random) {
        long own = Math.min(most, first << Math.min(20, Math.max(0, tries - 1)));
        long wait = Math.max(told, 0) + (long) (own * (0.5 + 0.5 * random));
        return now + wait >= until ? GIVE_UP : wait;
    }
}
