package wallmoor.decision;

/**
 * The tuned values of the policy, each with its unit and reason. A "latency" as a unit is the typical latency of a
 * part: of its class where a class is at hand, else of the first class in force. Values that the design page marks
 * "ours" were measured on the bench.
 */
final class TuningParameters {
    private TuningParameters() {}

    // ---- smoothing: weights of one sample, from 0 to 1 ----

    /** Of a worker's latency: about the last ten answers count. */
    static final double LATENCY_SAMPLE_WEIGHT = 0.15;
    /** Of figures over all workers, which get many more samples than one worker's. */
    static final double FLEET_SAMPLE_WEIGHT = 0.03;
    /** Of a latency that another gatherer told: below that of an own answer. */
    static final double GOSSIP_SAMPLE_WEIGHT = 0.05;
    /** Of a query in its class's share: the last few hundred count, a minute or two where traffic is thin. */
    static final double CLASS_SHARE_SAMPLE_WEIGHT = 0.004;

    // ---- expected latency ----

    /** Typical latency before any is known, as a share of the class's latency objective. */
    static final double INITIAL_LATENCY_OBJECTIVE_SHARE = 0.15;
    /** A worker's sample weighs in full when the one before it is many times so many latencies old. */
    static final double SAMPLE_MEMORY_LATENCIES = 20;
    /** Least factor by which the parts in flight at a worker, beside those at its samples, scale its latency. */
    static final double MIN_IN_FLIGHT_SCALE = 0.5;
    /** ... and the greatest: a longer queue than any seen tells nothing certain. */
    static final double MAX_IN_FLIGHT_SCALE = 3;
    /** Least work of a part, in mean parts, by which its time is divided: hints below it are noise. */
    static final double MIN_WORK_SCALE = 0.5;

    // ---- redundancy (the paper's policy) ----

    /** The design's: a smoothed latency this many times the best marks the count at which a worker fills up. */
    static final double LIMIT_LATENCY_RISE = 1.2;
    /** The design's start value of that count, in parts. */
    static final double INITIAL_CONCURRENCY_LIMIT = 0.5;
    /** The design's cap on parts sent, times those needed: spares add at most a tenth of the load. */
    static final double MAX_REDUNDANCY = 1.1;
    /** How far p stays below what would make the mean r*n (the paper's 2n^(alpha-1) on few servers). */
    static final double REDUNDANCY_SHORTFALL = 0.05;

    // ---- ranks of replicas ----

    /** Failures expected before a part is served weigh on a rank as this many latencies each. */
    static final double FAILURE_RANK_LATENCIES = 6;
    /** A worker to be avoided for a part counts as this many times worse there: it comes after all others. */
    static final double AVOIDED_RANK_FACTOR = 1e3;
    /** Crossing zones counts as this much more latency for each point of its cost. */
    static final double CROSS_ZONE_WEIGHT = 12;
    /** Other gatherers that count in calling a worker ejected, at most: below what this one has tried itself. */
    static final int MAX_PEER_EJECTIONS = 3;

    // ---- late parts and outliers ----

    /** A part is late after this many latencies: parts differ in work, few healthy ones by so much. */
    static final double LATE_AFTER_LATENCIES = 3;
    /** ... and not before this share of its class's latency objective: below it there is no need to hurry. */
    static final double LATE_AFTER_OBJECTIVE_SHARE = 0.2;
    /** A worker with but one part in flight is ejected only after its silence has lasted so many times as long. */
    static final double LONE_PART_SILENCE_FACTOR = 2;
    /** With more than this share of the parts at healthy workers late, everything is slow: no worker is to blame. */
    static final double WIDESPREAD_LATE_SHARE = 0.12;
    /** ... if more than so many parts are late: a share of a few parts tells nothing. */
    static final int WIDESPREAD_LATE_MINIMUM = 2;
    /** A part that is late is better left where it is than sent to a worker with a higher failure rate than this. */
    static final double FAILING_RATE = 0.5;
    /** A late part counts as this much of a failed one: under load, healthy workers have late parts too. */
    static final double LATE_FAILURE_WEIGHT = 0.4;
    /** A worker's failure rate halves in this time (microseconds) while it gets no samples. */
    static final double FAILURE_HALF_LIFE = 3e6;
    /** No failure rate is held to be more than this: few samples can't tell. */
    static final double MAX_FAILURE_RATE = 0.95;
    /** Latencies from an ejection to the half-open trial; so long another gatherer's word of an ejection holds. */
    static final double EJECTION_LATENCIES = 12;
    /** ... where the worker can't be reached or rejects parts: a rejection costs it no work. */
    static final double UNREACHABLE_EJECTION_LATENCIES = 3;
    /** That time doubles with each trial, so often at most: each costs a part its time, at every gatherer. */
    static final int MAX_EJECTION_DOUBLINGS = 3;
    /** With more than this share of a zone's attempts lost to connect time-outs, connecting there is slow. */
    static final double CONNECT_TIMEOUT_THRESHOLD = 0.05;

    // ---- connections that die while idle ----

    /** A worker unused for this many latencies is idle: its connection may have died unseen. */
    static final double IDLE_AFTER_LATENCIES = 4;
    /** With more than this share of the parts lost that followed idleness, idle connections are closed first. */
    static final double IDLE_LOSS_THRESHOLD = 0.2;

    // ---- attempts ----

    /** With less time left than this many latencies no attempt can help. */
    static final double MIN_LATENCIES_LEFT = 0.5;
    /** Weights of parts may add up this much short (the wire's rounding). */
    static final double WEIGHT_TOLERANCE = 5e-5;

    // ---- poison queries ----

    /** A reset sooner than this many latencies after the send points at the part. */
    static final double IMMEDIATE_RESET_LATENCIES = 0.25;
    /** Evidence of a reset that points at the part. */
    static final double STRONG_POISON_EVIDENCE = 1;
    /** Evidence of any other reset: the worker may have failed by itself. */
    static final double WEAK_POISON_EVIDENCE = 0.5;
    /** Evidence, at most one reset of each worker, at which a query is taken to crash its workers. */
    static final double QUARANTINE_EVIDENCE = 2;

    // ---- admission ----

    /** Share of its latency objective that a query may be expected to take at admission. */
    static final double ADMISSION_OBJECTIVE_SHARE = 0.9;
    /** Weight for work shifts that share where queries need more than this of their objective, in full at twice. */
    static final double ADMISSION_STRAIN = 0.45;
    /** One query's bound on the share of the objective that queries need. */
    static final double MAX_STRAIN = 2;
    /** Bounds on how weight for work, in comparison with the mean, shifts that share. */
    static final double MIN_RELATIVE_WEIGHT = 0.7;
    static final double MAX_RELATIVE_WEIGHT = 1.2;
    /** Work of a part of the second phase, in parts of the first. */
    static final double FOLLOW_UP_WORK = 0.5;
    /** Query time over the mean of its parts' expected times, before it is learnt; at most one a part. */
    static final double INITIAL_QUERY_STRETCH = 2.5;
    /** One query's bound on that ratio. */
    static final double MAX_QUERY_STRETCH = 6;
    /** Classes whose shares differ by less are served alike: a difference of a query or two tells nothing. */
    static final double EQUAL_CLASS_SHARES = 0.01;
    /** Time over which a tenant's queries are held against its quota (microseconds). */
    static final long QUOTA_WINDOW = 2_000_000;
    /** First attempts of clients whose times differ by less than this share of the client's time-out are alike. */
    static final double EQUAL_CLIENT_TIMES = 0.02;

    // ---- Retry-After ----

    /** Retry-After as a share of the class's latency objective: the client's next attempt can still be served. */
    static final double RETRY_AFTER_OBJECTIVE_SHARE = 0.3;
    /** Share by which it is drawn longer or shorter: clients rejected together don't come back together. */
    static final double RETRY_AFTER_JITTER = 0.25;

    // ---- gossip ----

    /** Least latencies between two messages on parts in flight: a queue hardly moves in less. */
    static final double GOSSIP_INTERVAL_LATENCIES = 0.2;
    /** What a gatherer has told of its parts at a worker expires after this many latencies. */
    static final double GOSSIP_LIFETIME_LATENCIES = 4;
    /** Parts in flight are told if queries need more of their objective than this ... */
    static final double GOSSIP_STRAIN = 0.25;
    /** ... or than so many times the price of telling. */
    static final double GOSSIP_STRAIN_PER_COST = 2.5;

    // ---- slow start ----

    /** Most parts that a worker in slow start gets beyond its allowance: the bound leaves twice that. */
    static final double SLOW_START_SLACK = 5;
    /** The weight of an answer in a warm worker's throughput falls to 1/e within this time (microseconds). */
    static final double THROUGHPUT_MEMORY = 10e6;
    /** Least share of that memory by which a mean is taken: at the start a single answer would count for many. */
    static final double THROUGHPUT_MIN_SEEN = 0.1;
    /** ... and from which the mean is taken for a peak. */
    static final double THROUGHPUT_PEAK_SEEN = 0.6;
    /** The peak throughput halves in this time (microseconds). */
    static final double THROUGHPUT_PEAK_HALF_LIFE = 30e6;

    // ---- timers ----

    /** Rounds between two sweeps over the open queries. */
    static final int SWEEP_ROUNDS = 4;
    /** First backoff before discovery is polled again (microseconds); it doubles each time. */
    static final long POLL_BACKOFF = 500_000;
    /** The longest such backoff (microseconds). */
    static final long MAX_POLL_BACKOFF = 4_000_000;
    /** Share by which it is drawn longer or shorter: all gatherers may have lost their watch at once. */
    static final double POLL_JITTER = 0.5;
}
