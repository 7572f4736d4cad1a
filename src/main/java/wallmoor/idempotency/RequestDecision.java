package wallmoor.idempotency;

/** What is to be done with a device's request. */
public sealed interface RequestDecision {

    /** The key is new: the request is to be executed. Its device counts as waiting. */
    record Execute(RequestRecord request) implements RequestDecision {}

    /** The request is running already: its device waits for the same outcome. */
    record Attach(RequestRecord request) implements RequestDecision {}

    /** The request has completed: this is its stored outcome. */
    record Replay(StoredOutcome outcome) implements RequestDecision {}

    /** The chunk was processed; the next one is expected to start at {@code offset}, in bytes. */
    record AwaitChunk(long offset) implements RequestDecision {}

    /** All chunks of the body are there. */
    record UploadComplete(byte[] body) implements RequestDecision {}

    /** The key belongs to a request with another body. Nothing is executed. */
    record Conflict() implements RequestDecision {}

    /** Rejected, and never executed; to be retried under the same key after so many microseconds. */
    record Reject(RejectionReason reason, long retryAfter) implements RequestDecision {}

    /** The key of a request that may not repeat does not tell its age, or lies in the future. */
    record InvalidKey(String reason) implements RequestDecision {}

    /** The key is older than what is retained: whether it was executed is unknown, and it never will be again. */
    record Expired() implements RequestDecision {}

    /** Nothing is known of this key. */
    record Unknown() implements RequestDecision {}

    /** Why a request is rejected for now. */
    enum RejectionReason {
        /** The device exceeds its request rate. */
        RATE_LIMITED("held off"),
        /** The device has too many requests open, or too many bytes retained. */
        DEVICE_QUOTA_EXCEEDED("device full"),
        /** All devices together have. */
        CAPACITY_EXCEEDED("full");

        private final String text;

        RejectionReason(String text) {
            this.text = text;
        }

        /** The words that devices get; they are part of the wire format. */
        public String text() {
            return text;
        }
    }
}
