package wallmoor.idempotency;

/** The decision on a device's request. */
public sealed interface RequestDecision {

    /** The key is new and the request is to be executed. Its device counts as waiting. */
    record Execute(RequestRecord request) implements RequestDecision {}

    /** The request is already running; its device waits for the same outcome. */
    record Attach(RequestRecord request) implements RequestDecision {}

    /** The request has completed; its stored outcome is to be sent. */
    record Replay(StoredOutcome outcome) implements RequestDecision {}

    /** The next chunk of the body is expected to start at {@code offset} (bytes). */
    record AwaitChunk(long offset) implements RequestDecision {}

    /** The body has been received completely. */
    record UploadComplete(byte[] body) implements RequestDecision {}

    /** The key belongs to a request with another body. Nothing is executed. */
    record Conflict() implements RequestDecision {}

    /**
     * The request is rejected and was not executed.
     *
     * @param retryAfter the time after which to retry under the same key (microseconds)
     */
    record Reject(RejectionReason reason, long retryAfter) implements RequestDecision {}

    /** The key of a request that must not be executed again has no valid creation time, or the body is too long. */
    record InvalidKey(String reason) implements RequestDecision {}

    /** The key is too old: it is unknown whether the request was executed, and it never will be again. */
    record Expired() implements RequestDecision {}

    /** The key is unknown. */
    record Unknown() implements RequestDecision {}

    /** The reason for a temporary rejection. */
    enum RejectionReason {
        /** The device exceeds its request rate. */
        RATE_LIMITED("held off"),
        /** The device has too many open or retained requests, or too many bytes reserved. */
        DEVICE_QUOTA_EXCEEDED("device full"),
        /** All devices together have too many open requests, or too many bytes reserved. */
        CAPACITY_EXCEEDED("full");

        private final String text;

        RejectionReason(String text) {
            this.text = text;
        }

        /** Returns the text that is sent to devices; it is part of the wire format. */
        public String text() {
            return text;
        }
    }
}
