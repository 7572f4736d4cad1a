package wallmoor.idempotency;

/** One request of a device, from its first byte until it is forgotten. Changed by this package alone. */
public final class RequestRecord {
    enum RequestState { UPLOADING, RUNNING, COMPLETED }

    final IdempotencyKey key;
    final boolean mayRepeat;
    /** Of the body; null while it is being uploaded. */
    final BodyDigest digest;
    /** Null unless the body is being uploaded. */
    final UploadBuffer upload;
    RequestState state;
    /** Devices' connections that wait for the outcome. */
    int waiting;
    /** Since when nobody waits (microseconds). */
    long abandonedSince;
    boolean cancelling;
    StoredOutcome outcome;
    /** When an upload or an outcome expires (microseconds). */
    long expiresAt;
    /** Bytes reserved for it, of its device's and of all. */
    long reservedBytes;

    private RequestRecord(IdempotencyKey key, RequestState state, boolean mayRepeat, BodyDigest digest,
            UploadBuffer upload) {
        this.key = key;
        this.state = state;
        this.mayRepeat = mayRepeat;
        this.digest = digest;
        this.upload = upload;
    }

    /** A request that is about to run, with one device waiting. */
    static RequestRecord running(IdempotencyKey key, BodyDigest digest, boolean mayRepeat) {
        var request = new RequestRecord(key, RequestState.RUNNING, mayRepeat, digest, null);
        request.waiting = 1;
        return request;
    }

    /** A body of at most so many bytes that is about to be uploaded. */
    static RequestRecord uploading(IdempotencyKey key, int capacity) {
        return new RequestRecord(key, RequestState.UPLOADING, false, null, new UploadBuffer(capacity));
    }

    /** Whose request it is, and which. */
    public IdempotencyKey key() {
        return key;
    }

    /** Whether it may be executed again. */
    public boolean mayRepeat() {
        return mayRepeat;
    }

    /** The outcome, or null while there is none. */
    public StoredOutcome outcome() {
        return outcome;
    }
}
