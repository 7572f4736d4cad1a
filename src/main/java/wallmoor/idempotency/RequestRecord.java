package wallmoor.idempotency;

/** One request of a device, from its first byte until it is removed. Only this package changes it. */
public final class RequestRecord {
    enum RequestState { UPLOADING, RUNNING, COMPLETED }

    final IdempotencyKey key;
    final boolean mayRepeat;
    /** The digest of the body; null while the body is being uploaded. */
    final BodyDigest digest;
    /** The received part of the body; null unless the body is being uploaded. */
    final UploadBuffer upload;
    RequestState state;
    /** The number of device connections that wait for the outcome. */
    int waiters;
    /** The time since which no device waits for the outcome (microseconds). */
    long abandonedSince;
    boolean cancelling;
    StoredOutcome outcome;
    /** The time at which the upload or the outcome expires (microseconds). */
    long expiresAt;
    /** The bytes reserved for the request, from the quota of its device and from the total. */
    long reservedBytes;

    private RequestRecord(IdempotencyKey key, RequestState state, boolean mayRepeat, BodyDigest digest,
            UploadBuffer upload) {
        this.key = key;
        this.state = state;
        this.mayRepeat = mayRepeat;
        this.digest = digest;
        this.upload = upload;
    }

    /** Returns a request that is about to run, with one device waiting. */
    static RequestRecord running(IdempotencyKey key, BodyDigest digest, boolean mayRepeat) {
        var request = new RequestRecord(key, RequestState.RUNNING, mayRepeat, digest, null);
        request.waiters = 1;
        return request;
    }

    /** Returns a request whose body of at most {@code capacity} bytes is about to be uploaded. */
    static RequestRecord uploading(IdempotencyKey key, int capacity) {
        return new RequestRecord(key, RequestState.UPLOADING, false, null, new UploadBuffer(capacity));
    }

    /** Returns the idempotency key of the request. */
    public IdempotencyKey key() {
        return key;
    }

    /** Returns whether the request may be executed again. */
    public boolean mayRepeat() {
        return mayRepeat;
    }

    /** Returns the outcome, or null while there is none. */
    public StoredOutcome outcome() {
        return outcome;
    }
}
