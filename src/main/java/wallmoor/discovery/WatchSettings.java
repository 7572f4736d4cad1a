package wallmoor.discovery;

/**
 * What the configuration says of the endpoint list.
 *
 * @param pushed     whether the list counts as notified when it changes, whether or not a watch is open
 * @param pollWithin microseconds for which a gatherer without a watch is held to the list it has; 0 for none
 * @param drainGrace microseconds after its drain counts as notified in which an endpoint may still get something new
 */
record WatchSettings(boolean pushed, long pollWithin, long drainGrace) {
    /** Where lists are pushed, the longest time from call to call. */
    long pushedRetryMicros() {
        return Math.max(WatchTimings.MIN_PUSHED_RETRY_MICROS, Math.min(WatchTimings.MAX_PUSHED_RETRY_MICROS,
                (long) (WatchTimings.PUSHED_RETRY_SHARE * drainGrace)));
    }

    /** Whether a change that is missed counts so soon that a reset watch must be called again at once. */
    boolean countsSoon() {
        return pushed || (pollWithin > 0 && pollWithin < WatchTimings.SHORT_POLL_MICROS);
    }

    /** How long the last call holds the gatherer to the list it has, where lists are polled. */
    long pollHoldMicros(boolean callFailed) {
        return callFailed ? WatchTimings.FAILED_POLL_FACTOR * pollWithin : pollWithin;
    }
}
