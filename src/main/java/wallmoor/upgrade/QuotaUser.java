package wallmoor.upgrade;

/** Who uses what the processes of this gatherer share. */
public interface QuotaUser {
    /** What all processes may use together. */
    int limit();

    /** What this process uses. */
    int inUse();

    /** Whether this process drains, and then ends. */
    boolean isDraining();

    /** This process may use so much from now on, where all may use {@code limit}. */
    void setQuota(int quota, int limit);
}
