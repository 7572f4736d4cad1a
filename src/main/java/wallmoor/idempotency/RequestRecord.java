package wallmoor.idempotency;

/** One query of a device, from its first byte to its being forgotten. Changed by {@link IdempotentRequests} alone. */
public final class RequestRecord {
    enum RequestState { UPLOADING, OUT, ENDED }

    final IdempotencyKey key;
    RequestState state;
    long digest;
    /** Two more words of the body's hash: 192 bits tell bodies apart. */
    long digest2;
    long digest3;
    boolean mayRepeat;
    int waiting;
    long unheardSince;
    boolean cancelling;
    StoredOutcome outcome;
    long until;
    /** Bytes that are set aside for it, of the device's and of all. */
    long reserved;
    byte[] upload;
    int uploaded;

    RequestRecord(IdempotencyKey key) {
        this.key = key;
    }

    /** Whose it is. */
    public IdempotencyKey key() {
        return key;
    }

    /** Whether it may be run again. */
    public boolean mayRepeat() {
        return mayRepeat;
    }

    /** The outcome, or null while there is none. */
    public StoredOutcome outcome() {
        return outcome;
    }
}
