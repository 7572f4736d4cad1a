package wallmoor.discovery;

/**
 * Tracks since when the endpoint list may be stale, and computes when a missed change counts as notified: from then on,
 * the platform's rules treat the gatherer as if it had received the change. Times are in microseconds.
 */
final class Staleness {
    private long staleSince = WatchTimings.NEVER;
    private boolean isSilent;
    private long movedAt = WatchTimings.NEVER;

    /** Records that the process started, with a list that may be old. */
    void onProcessStarted(long at) {
        staleSince = at;
    }

    /** Records that another discovery is watched from now on. */
    void onDiscoveryMoved(long at) {
        movedAt = at;
    }

    /** Records that a watch reported: the list is current. */
    void onSynced() {
        staleSince = WatchTimings.NEVER;
        isSilent = false;
        movedAt = WatchTimings.NEVER;
    }

    /**
     * Records that the call or watch ended or was abandoned. A watch that missed a heartbeat counts as silent,
     * regardless of how it ended.
     *
     * @param lastEventAt when the watch last reported something
     */
    void onDisconnected(long at, long lastEventAt) {
        if (staleSince == WatchTimings.NEVER) {
            isSilent = at - lastEventAt > WatchTimings.HEARTBEAT_INTERVAL_MICROS;
            staleSince = isSilent ? lastEventAt : at;
        }
    }

    /** Returns since when the list may be stale, or {@link WatchTimings#NEVER} while a watch reports. */
    long staleSince() {
        return staleSince;
    }

    /** Returns whether the list may be stale because a watch fell silent. */
    boolean isSilent() {
        return isSilent;
    }

    /**
     * Returns when a change that was made at {@code changedAt}, and not received, counts as notified. While a watch
     * reports, that is the time of the change, as it would have been received.
     */
    long notifiedAt(long changedAt, WatchSettings settings, LastCall call) {
        if (settings.pushed() && movedAt != WatchTimings.NEVER) {
            return Math.max(changedAt, movedAt + WatchTimings.MOVED_STALENESS_BOUND_MICROS);
        }
        boolean isStale = staleSince != WatchTimings.NEVER;
        if (isSilent || (isStale && !settings.pushed() && settings.pollIntervalMicros() <= 0)) {
            return Math.max(changedAt, staleSince + WatchTimings.STALENESS_BOUND_MICROS);
        }
        if (!isStale || settings.pushed()) {
            return changedAt;
        }
        long validUntil = call.startedAt + settings.pollValidityMicros(call.failed);
        return Math.min(changedAt + WatchTimings.STALENESS_BOUND_MICROS,
                Math.max(validUntil, changedAt + settings.pollIntervalMicros()));
    }
}
