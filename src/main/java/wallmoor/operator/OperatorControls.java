package wallmoor.operator;

/** The gatherer's functions behind the operators' address, whose threads call them; they must not block for long. */
public interface OperatorControls {
    /** Returns whether this process is ready to serve. */
    boolean isReady();

    /** Returns the text of {@code /_vars}: lines of the form {@code name=number}. */
    String metricsText();

    /** Returns whether, to the knowledge of this process, this worker is or was listed. */
    boolean isKnownWorker(String id);

    /** Bans a worker or lifts its ban, in effect when the call returns. Idempotent. */
    void setBanned(String id, boolean banned);
}
