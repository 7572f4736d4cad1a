package wallmoor.summaries;

/**
 * The versions of one site's summary that are still valid. Versions are ordered by the epoch (the site's incarnation)
 * and then by number. A widening continues the chain only if it starts at the cached version.
 */
final class VersionChain {
    private long epoch = Long.MIN_VALUE;
    /** The oldest valid version of this epoch; older ones never become valid again, however late a grant arrives. */
    private long oldestValid = Long.MIN_VALUE;
    /** The version that was granted in full. The cached summary is this one with all later widenings. */
    private long granted = Long.MIN_VALUE;

    /** Returns whether this version is newer than all observed ones. */
    boolean isNewer(long otherEpoch, long version) {
        return otherEpoch > epoch || (otherEpoch == epoch && version > oldestValid);
    }

    /** Returns whether a newer version than that of the grant was observed before it arrived. */
    boolean isStale(Summary grant) {
        return grant.epoch() < epoch || (grant.epoch() == epoch && grant.version() < oldestValid);
    }

    /**
     * Returns whether a grant equals the cached summary: it is the last granted version, with no widening since.
     *
     * @param cached the cached summary, or null
     */
    boolean isRenewal(Summary grant, Summary cached) {
        return cached != null && grant.epoch() == epoch && grant.version() == granted && cached.version() == granted;
    }

    /**
     * Returns whether a widening can be applied to the cached summary: it has rows and starts at the cached version.
     *
     * @param cached the cached summary, or null
     */
    boolean isContinuedBy(SiteMessage.Widening widening, Summary cached) {
        return cached != null && widening.rows() != null && widening.epoch() == epoch
                && widening.from() == cached.version();
    }

    /** Makes this the oldest valid version. */
    void advance(long newEpoch, long version) {
        epoch = newEpoch;
        oldestValid = version;
    }

    /** Records that this version was granted in full and is cached. */
    void grant(long version) {
        granted = version;
    }
}
