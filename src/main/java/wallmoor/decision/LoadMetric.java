package wallmoor.decision;

/** The metrics that a worker's load report may contain. */
public enum LoadMetric {
    /** Parts in execution. */
    IN_FLIGHT,
    /** Parts in the queue. */
    QUEUE,
    /** The share of capacity in use. */
    UTILIZATION,
    /** The recent latency in milliseconds. */
    LATENCY_MS,
    /** The recent throughput in queries per second. */
    QUERIES_PER_SECOND,
    /** The recent number of errors per second. */
    ERRORS_PER_SECOND,
    /** A column that this version does not recognise. */
    OTHER
}
