package wallmoor.upgrade;

/** The user of this process's quota of a limit that all processes of the gatherer share. */
public interface QuotaUser {
    /** Returns what all processes may use together. */
    int limit();

    /** Returns what this process uses. */
    int inUse();

    /** Returns whether this process drains and then exits. */
    boolean isDraining();

    /**
     * Sets what this process may use from now on.
     *
     * @param limit the limit of all processes together, from which the quota was computed
     */
    void setQuota(int quota, int limit);
}
