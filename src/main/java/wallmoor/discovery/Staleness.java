package wallmoor.discovery;

/**
 * Since when the list held may be stale, and when a change that was missed counts as notified. Times are microseconds.
 */
final class Staleness {
    private long since = WatchTimings.NEVER;
    private boolean silent;
    private long movedAt = WatchTimings.NEVER;

    /** The process starts, with a list that may be old. */
    void onProcessStarted(long at) {
        since = at;
    }

    /** Discovery is elsewhere from now on. */
    void onDiscoveryMoved(long at) {
        movedAt = at;
    }

    /** A watch reports: the list is current. */
    void onSynced() {
        since = WatchTimings.NEVER;
        silent = false;
        movedAt = WatchTimings.NEVER;
    }

    /**
     * The call or watch is over, or left behind. A watch that missed a heartbeat was silent, however it ended then.
     *
     * @param lastEventAt when the watch last reported something
     */
    void onLeft(long at, long lastEventAt) {
        if (since == WatchTimings.NEVER) {
            silent = at - lastEventAt > WatchTimings.HEARTBEAT_INTERVAL_MICROS;
            since = silent ? lastEventAt : at;
        }
    }

    /** Since when the list may be stale; {@link WatchTimings#NEVER} while a watch reports. */
    long since() {
        return since;
    }

    /** Whether it is stale because a watch fell silent. */
    boolean isSilent() {
        return silent;
    }

    /** When a change made at this time, and not come, counts as notified; where a watch reports, it would have come. */
    long notifiedAt(long changed, WatchSettings settings, LastCall call) {
        if (settings.pushed() && movedAt != WatchTimings.NEVER) {
            return Math.max(changed, movedAt + WatchTimings.MOVED_STALENESS_BOUND_MICROS);
        }
        boolean stale = since != WatchTimings.NEVER;
        if (silent || (stale && !settings.pushed() && settings.pollWithin() <= 0)) {
            return Math.max(changed, since + WatchTimings.STALENESS_BOUND_MICROS);
        }
        if (!stale || settings.pushed()) {
            return changed;
        }
        long heldUntil = call.startedAt + settings.pollHoldMicros(call.failed);
        return Math.min(changed + WatchTimings.STALENESS_BOUND_MICROS,
                Math.max(heldUntil, changed + settings.pollWithin()));
    }
}
