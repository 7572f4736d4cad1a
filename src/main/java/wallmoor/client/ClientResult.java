package wallmoor.client;

/**
 * The result of a device's query.
 *
 * @param body     the outcome as received, or empty
 * @param attempts the number of requests made
 */
public record ClientResult(ClientResultKind kind, byte[] body, int attempts) {
    /** The kinds of results; their names are printed, and their codes are the exit codes of the command. */
    public enum ClientResultKind {
        ANSWERED(0), PARTIAL(5), REFUSED(6), FAILED_NEVER_RAN(7), FAILED_MAY_HAVE_RUN(8), FORGOTTEN(9),
        /** The edge does not know the id, and only the outcome was requested, without a query. */
        UNKNOWN(10),
        /** The edge rejected the request as invalid. */
        REJECTED(2),
        /** No outcome was received in time; the query can be repeated under the same id. */
        NOT_LEARNT(4);

        private final int code;

        ClientResultKind(int code) {
            this.code = code;
        }

        /** Returns the exit code. */
        public int code() {
            return code;
        }
    }

    /** Returns the kind of an outcome, or null; relies on the order in which the edge writes the first members. */
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
