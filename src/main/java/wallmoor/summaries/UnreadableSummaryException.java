package wallmoor.summaries;

/** Bytes are not a summary that this program can read. The site that sent them is queried; the message gives advice. */
public final class UnreadableSummaryException extends Exception {
    private static final long serialVersionUID = 1L;
    private final Fault fault;

    /** The kinds of faults. */
    public enum Fault {
        /** The bytes are truncated, corrupted, or not a summary at all. */
        TORN("send or build it again"),
        /** The format version is unknown; a later program wrote it. */
        UNKNOWN_VERSION("update this program, or have the site write the older form"),
        /** The kind of summary is unknown to this program. */
        UNKNOWN_KIND("update this program, or have the site write the older kind"),
        /** The summary is larger than {@link SummaryLimits#MAX_BYTES}. */
        TOO_LARGE("lower `bytes` in the settings of the site that wrote it"),
        /** The checksum matches, but the contents are invalid. */
        MALFORMED("the site's program is faulty: take its summaries out, and report it");

        private final String advice;

        Fault(String advice) {
            this.advice = advice;
        }
    }

    UnreadableSummaryException(Fault fault, String what) {
        super(what + ": " + fault.advice);
        this.fault = fault;
    }

    /** Returns the kind of fault. */
    public Fault fault() {
        return fault;
    }
}
