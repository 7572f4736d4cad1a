package wallmoor.discovery;

/**
 * The configuration of the watch on the endpoint list.
 *
 * @param pushed             whether a change counts as notified when it is made, whether or not a watch is open
 * @param pollIntervalMicros the time for which a gatherer without a watch may rely on its last list, or 0 for no such
 *                           rule
 * @param drainGraceMicros   the time after an endpoint's drain counts as notified in which it may still get new parts
 */
record WatchSettings(boolean pushed, long pollIntervalMicros, long drainGraceMicros) {
    /** Returns the longest time from the start of one call to the next where lists are pushed. */
    long pushedRetryMicros() {
        return Math.max(WatchTimings.MIN_PUSHED_RETRY_MICROS, Math.min(WatchTimings.MAX_PUSHED_RETRY_MICROS,
                (long) (WatchTimings.PUSHED_RETRY_SHARE * drainGraceMicros)));
    }

    /** Returns whether missed changes count as notified so soon that a broken watch must reconnect at once. */
    boolean requiresPromptReconnect() {
        return pushed || (pollIntervalMicros > 0 && pollIntervalMicros < WatchTimings.SHORT_POLL_MICROS);
    }

    /** Returns how long after the last call's start the list counts as current where lists are polled. */
    long pollValidityMicros(boolean callFailed) {
        return callFailed ? WatchTimings.FAILED_POLL_FACTOR * pollIntervalMicros : pollIntervalMicros;
    }
}
