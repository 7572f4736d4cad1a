package wallmoor.summaries;

/**
 * Which versions of one site's summary still count. A version is ordered by the epoch, that is the site's incarnation,
 * and then by its number; a widening continues the chain only where it begins at the cached version.
 */
final class VersionChain {
    private long epoch = Long.MIN_VALUE;
    /** Older versions of this epoch never count again, however late their grant arrives. */
    private long oldestValid = Long.MIN_VALUE;
    /** The version that was granted in full; the cached summary is this one with the widenings since. */
    private long granted = Long.MIN_VALUE;

    /** Whether this version is newer than all that was heard of. */
    boolean isNewer(long otherEpoch, long version) {
        return otherEpoch > epoch || (otherEpoch == epoch && version > oldestValid);
    }

    /** Whether a newer version than this grant's was heard of before it arrived. */
    boolean isStale(Summary grant) {
        return grant.epoch() < epoch || (grant.epoch() == epoch && grant.version() < oldestValid);
    }

    /**
     * Whether a grant is, byte for byte, what is cached: the version granted last, with no widening since.
     *
     * @param cached or null
     */
    boolean isRenewal(Summary grant, Summary cached) {
        return cached != null && grant.epoch() == epoch && grant.version() == granted && cached.version() == granted;
    }

    /**
     * Whether a widening can be applied to what is cached: it has rows and begins at the cached version.
     *
     * @param cached or null
     */
    boolean isContinuedBy(SiteMessage.Widening widening, Summary cached) {
        return cached != null && widening.rows() != null && widening.epoch() == epoch
                && widening.from() == cached.version();
    }

    /** Only this version and newer ones count from now on. */
    void advance(long newEpoch, long version) {
        epoch = newEpoch;
        oldestValid = version;
    }

    /** This version was granted in full, and is cached. */
    void grant(long version) {
        granted = version;
    }
}
