package wallmoor.client;

/**
 * What a device has learnt of its query.
 *
 * @param body  the outcome as it came, or empty
 * @param tries requests that were made
 */
public record ClientResult(ClientResultKind kind, byte[] body, int tries) {
    /** In the order of what a person is to be told; the code is the command's. */
    public enum ClientResultKind {
        ANSWERED(0), PARTIAL(5), REFUSED(6), FAILED_NEVER_RAN(7), FAILED_MAY_HAVE_RUN(8), FORGOTTEN(9),
        /** Nothing is known of the id, and there was no query to ask it with. */
        UNKNOWN(10),
        /** The request itself was at fault. */
        REJECTED(2),
        /** No outcome was learnt in time: ask again under the same id. */
        NOT_LEARNT(4);

        private final int code;

        ClientResultKind(int code) {
            this.code = code;
        }

        /** The exit code. */
        public int code() {
            return code;
        }
    }

    /** Reads the kind off an outcome's text; the members that it goes by come first in what the edge writes. */
    static ClientResultKind kindOf(String text) {
        if (text.startsWith("{\"outcome\":\"answered\"")) {
            return text.startsWith("{\"outcome\":\"answered\",\"complete\":true") ? ClientResultKind.ANSWERED
                    : ClientResultKind.PARTIAL;
        }
        if (text.contains("\"outcome\":\"refused\"")) {
            return ClientResultKind.REFUSED;
        }
        if (text.contains("\"outcome\":\"failed\"")) {
            return text.contains("\"ran\":\"never\"") ? ClientResultKind.FAILED_NEVER_RAN
                    : ClientResultKind.FAILED_MAY_HAVE_RUN;
        }
        return text.contains("urn:wallmoor:forgotten") ? ClientResultKind.FORGOTTEN : null;
    }
}
