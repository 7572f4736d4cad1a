package wallmoor.decision;

/**
 * The constants of the policy. The unit "latencies" is the typical latency of a part: of its class where a class is
 * known, else of the first class in force.
 */
final class TuningParameters {
    private TuningParameters() {}

    // ---- smoothing: weights of one sample, from 0 to 1 ----

    /** Sample weight of a worker's latency; about the last ten answers count. */
    static final double LATENCY_SAMPLE_WEIGHT = 0.15;
    /** Sample weight of statistics over all workers, which get many more samples than those of one worker. */
    static final double FLEET_SAMPLE_WEIGHT = 0.03;
    /** Sample weight of a latency reported by another gatherer; less than that of an answer to this one. */
    static final double GOSSIP_SAMPLE_WEIGHT = 0.05;
    /**
     * Sample weight of a query in its class's share; the last few hundred queries count, a minute or two at low
     * traffic.
     */
    static final double CLASS_SHARE_SAMPLE_WEIGHT = 0.004;

    // ---- expected latency ----

    /** Estimate of the typical latency before the first answer, as a share of the class's latency objective. */
    static final double INITIAL_LATENCY_OBJECTIVE_SHARE = 0.15;
    /**
     * Time constant, in latencies, with which the weight of a worker's sample approaches 1 as the time since the
     * previous one grows.
     */
    static final double SAMPLE_MEMORY_LATENCIES = 20;
    /** Minimum factor by which the parts in flight at a worker, relative to those at its samples, scale its latency. */
    static final double MIN_IN_FLIGHT_SCALE = 0.5;
    /** Maximum of that factor; a queue longer than any observed predicts nothing reliable. */
    static final double MAX_IN_FLIGHT_SCALE = 3;
    /** Minimum work of a part, relative to a mean part, by which its latency is divided; smaller hints are noise. */
    static final double MIN_WORK_SCALE = 0.5;

    // ---- redundancy (values of docs/design.md) ----

    /** Ratio of a worker's smoothed latency to its minimum that marks the worker's concurrency limit. */
    static final double LIMIT_LATENCY_RISE = 1.2;
    /** Initial concurrency limit, in parts. */
    static final double INITIAL_CONCURRENCY_LIMIT = 0.5;
    /** Maximum number of parts sent, relative to those needed, so that spare parts add at most a tenth of the load. */
    static final double MAX_REDUNDANCY = 1.1;
    /**
     * Amount by which the probability of rounding up stays below the one with mean r*n (the paper's 2n^(alpha-1) with
     * few servers).
     */
    static final double REDUNDANCY_SHORTFALL = 0.05;

    // ---- ranks of replicas ----

    /** Latencies added to a worker's rank for each failure expected before a part is served. */
    static final double FAILURE_RANK_LATENCIES = 6;
    /** Factor on the rank of a worker to be avoided for a part, so that it comes after all others. */
    static final double AVOIDED_RANK_FACTOR = 1e3;
    /** Relative increase of the rank of a worker in another zone, per unit of the cross-zone cost. */
    static final double CROSS_ZONE_WEIGHT = 12;
    /**
     * Maximum number of other gatherers' ejections that count in a worker's rank, so that they weigh less than this
     * gatherer's own trials.
     */
    static final int MAX_PEER_EJECTIONS = 3;

    // ---- late parts and outliers ----

    /** Latencies after which a part is late; parts differ in work, but few healthy ones by this much. */
    static final double LATE_AFTER_LATENCIES = 3;
    /**
     * Minimum time after which a part is late, as a share of its class's latency objective; before that there is no
     * need to hurry.
     */
    static final double LATE_AFTER_OBJECTIVE_SHARE = 0.2;
    /** Factor on the silence after which a worker with a single part in flight is ejected. */
    static final double SINGLE_PART_SILENCE_FACTOR = 2;
    /** Share of late parts at healthy workers above which all workers are considered slow and none is at fault. */
    static final double WIDESPREAD_LATE_SHARE = 0.12;
    /** Number of late parts above which that share is significant. */
    static final int MIN_WIDESPREAD_LATE_PARTS = 2;
    /** Failure rate of another worker above which a late part is not sent there too. */
    static final double MAX_HEDGE_TARGET_FAILURE_RATE = 0.5;
    /**
     * Failure sample of a late part, which is less than a failed part's 1 because healthy workers have late parts under
     * load too.
     */
    static final double LATE_FAILURE_WEIGHT = 0.4;
    /** Half-life of a worker's failure rate without new samples (microseconds). */
    static final double FAILURE_HALF_LIFE_MICROS = 3e6;
    /** Upper bound of a failure rate, because few samples can't prove a higher one. */
    static final double MAX_FAILURE_RATE = 0.95;
    /**
     * Latencies from an ejection to the half-open trial, and until another gatherer's report of an ejection expires.
     */
    static final double EJECTION_LATENCIES = 12;
    /**
     * Latencies from an ejection to the trial of a worker that can't be reached or rejects parts; a rejection costs it
     * no work.
     */
    static final double UNREACHABLE_EJECTION_LATENCIES = 3;
    /**
     * Maximum number of times that this time doubles, once with each trial, because each trial costs one part its time
     * at every gatherer.
     */
    static final int MAX_EJECTION_DOUBLINGS = 3;
    /** Share of a zone's attempts lost to connect timeouts above which connecting there is slow. */
    static final double CONNECT_TIMEOUT_THRESHOLD = 0.05;

    // ---- idle connections ----

    /** Latencies without use after which a worker is idle and its connection may have broken undetected. */
    static final double IDLE_AFTER_LATENCIES = 4;
    /** Share of parts lost after an idle period above which idle connections are closed before the next part. */
    static final double IDLE_LOSS_THRESHOLD = 0.2;

    // ---- attempts ----

    /** Minimum remaining time of a query, in latencies, for which a further attempt is useful. */
    static final double MIN_LATENCIES_LEFT = 0.5;
    /** Sums of part weights, rounded on the wire, may fall 0.0001 short; the rest is for binary fractions. */
    static final double WEIGHT_TOLERANCE = 1e-4 + 1e-9;

    // ---- poison queries ----

    /** Latencies after the send within which a reset points to the part itself. */
    static final double IMMEDIATE_RESET_LATENCIES = 0.25;
    /** Evidence of a reset that points to the part itself. */
    static final double STRONG_POISON_EVIDENCE = 1;
    /** Evidence of any other reset; the worker may have failed for another reason. */
    static final double WEAK_POISON_EVIDENCE = 0.5;
    /** Evidence at which a query is considered to crash its workers; each worker counts for one reset at most. */
    static final double QUARANTINE_EVIDENCE = 2;

    // ---- admission ----

    /** Share of its latency objective that a query may be expected to take at admission. */
    static final double ADMISSION_OBJECTIVE_SHARE = 0.9;
    /**
     * Ratio of expected time to latency objective above which weight for work shifts that share, with full effect at
     * twice the ratio.
     */
    static final double ADMISSION_STRAIN = 0.45;
    /** Upper bound of one query's sample of that ratio. */
    static final double MAX_STRAIN = 2;
    /** Bounds of a query's weight for its work, relative to the mean, in that shift. */
    static final double MIN_RELATIVE_WEIGHT = 0.7;
    static final double MAX_RELATIVE_WEIGHT = 1.2;
    /** Work of a part of the second phase, relative to one of the first. */
    static final double FOLLOW_UP_WORK = 0.5;
    /**
     * Ratio of a query's latency to the mean expected latency of its parts before the first answer; at most the number
     * of parts needed.
     */
    static final double INITIAL_QUERY_LATENCY_RATIO = 2.5;
    /** Upper bound of one query's sample of that ratio. */
    static final double MAX_QUERY_LATENCY_RATIO = 6;
    /**
     * Difference of served shares below which classes are considered equally served; a query or two makes no
     * difference.
     */
    static final double CLASS_SHARE_TOLERANCE = 0.01;
    /** Time over which a tenant's queries are compared with its quota (microseconds). */
    static final long QUOTA_WINDOW_MICROS = 2_000_000;
    /**
     * Difference of the clients' remaining times below which queries are considered first attempts alike, as a share of
     * the client timeout.
     */
    static final double CLIENT_TIME_TOLERANCE = 0.02;

    // ---- Retry-After ----

    /**
     * Retry-After as a share of the class's latency objective, so that the client's next attempt can still be served.
     */
    static final double RETRY_AFTER_OBJECTIVE_SHARE = 0.3;
    /** Random spread of Retry-After, so that clients rejected together don't return together. */
    static final double RETRY_AFTER_JITTER = 0.25;

    // ---- gossip ----

    /** Minimum latencies between two messages on parts in flight; a queue hardly changes in less. */
    static final double GOSSIP_INTERVAL_LATENCIES = 0.2;
    /** Latencies after which a gatherer's report of its parts at a worker expires. */
    static final double GOSSIP_LIFETIME_LATENCIES = 4;
    /** Ratio of expected time to latency objective above which parts in flight are reported. */
    static final double GOSSIP_MIN_STRAIN = 0.25;
    /** The same ratio per unit of the messages' cost; the lower of the two applies. */
    static final double GOSSIP_STRAIN_PER_COST = 2.5;

    // ---- slow start ----

    /**
     * Maximum number of parts beyond its allowance that a worker in slow start gets from all gatherers; the platform's
     * bound leaves twice that.
     */
    static final double SLOW_START_SLACK_PARTS = 5;
    /** Time in which the weight of an answer in a warm worker's throughput falls to 1/e (microseconds). */
    static final double THROUGHPUT_MEMORY_MICROS = 10e6;
    /**
     * Minimum filled share of that memory by which the mean is computed, because a single answer right after the start
     * would count for many.
     */
    static final double THROUGHPUT_MIN_FILL = 0.1;
    /** Filled share of that memory from which the mean may raise the peak. */
    static final double THROUGHPUT_PEAK_MIN_FILL = 0.6;
    /** Half-life of the peak throughput (microseconds). */
    static final double THROUGHPUT_PEAK_HALF_LIFE_MICROS = 30e6;

    // ---- timers ----

    /** Rounds between two sweeps over the open queries. */
    static final int SWEEP_ROUNDS = 4;
    /** Initial backoff before discovery is polled again, which doubles each time (microseconds). */
    static final long INITIAL_POLL_BACKOFF_MICROS = 500_000;
    /** Maximum of that backoff (microseconds). */
    static final long MAX_POLL_BACKOFF_MICROS = 4_000_000;
    /** Random spread of that backoff, because all gatherers may have lost their watch at once. */
    static final double POLL_JITTER = 0.5;
}
