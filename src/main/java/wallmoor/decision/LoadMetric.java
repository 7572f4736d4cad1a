package wallmoor.decision;

/** Metrics that a worker's load report may hold. */
public enum LoadMetric {
    /** Parts being worked on. */
    IN_FLIGHT,
    /** Parts that wait. */
    QUEUE,
    /** Share of capacity in use. */
    UTILIZATION,
    /** Recent latency in milliseconds. */
    LATENCY_MS,
    /** Recent throughput. */
    QUERIES_PER_SECOND,
    /** Recent errors. */
    ERRORS_PER_SECOND,
    /** A column that is not known here. */
    OTHER
}
