package wallmoor.operator;

/** What the operators' address needs of the gatherer. All are called from its own threads and must not wait long. */
public interface OperatorControls {
    /** Whether this process is ready to serve. */
    boolean isReady();

    /** The text of {@code /_vars}: lines {@code name=number}. */
    String metricsText();

    /** Whether this worker is listed now or was formerly, as far as this process knows. */
    boolean isKnownWorker(String id);

    /** Bans a worker or lifts its ban; has taken effect when it returns. May come again for the same. */
    void setBanned(String id, boolean banned);
}
