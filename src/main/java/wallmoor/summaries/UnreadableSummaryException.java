package wallmoor.summaries;

/** Bytes that are no summary this program can read. The site that sent them is asked; the message says what to do. */
public final class UnreadableSummaryException extends Exception {
    private static final long serialVersionUID = 1L;
    private final Fault fault;

    /** What is wrong with them. */
    public enum Fault {
        /** Cut short, changed on the way, or of another thing altogether. */
        TORN("send or build it again"),
        /** Of a form that a later program wrote. */
        UNKNOWN_VERSION("update this program, or have the site write the older form"),
        /** Of a kind that this program does not know. */
        UNKNOWN_KIND("update this program, or have the site write the older kind"),
        /** Larger than a gatherer takes. */
        TOO_LARGE("lower `bytes` in the settings of the site that wrote it"),
        /** It is whole, but says what no summary can. */
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

    /** What is wrong. */
    public Fault fault() {
        return fault;
    }
}
