package wallmoor.decision;

import java.util.Objects;
import java.util.Random;
import java.util.Set;

/**
 * The state shared by the modules of one policy: the settings in force, the time of the current event, the random
 * draws, the actions, and the typical latency of each class. Times are microseconds of the caller's clock.
 */
final class PolicyContext {
    final RoutingActions actions;
    /** The source of all random draws, in the order of the policy's decisions: equal seeds give equal actions. */
    final Random random;
    final ClassLatencies latencies = new ClassLatencies();
    private RoutingSettings settings;
    private long now;
    private boolean stalled;
    private long stalledUntil;
    /** The index of the first class in force. Its typical latency is the unit of times that belong to no class. */
    private int referenceClass;

    /**
     * Creates the context with the settings of the start.
     *
     * @throws InvalidSettingsException if the settings are out of range or contradict each other
     */
    PolicyContext(RoutingSettings settings, long seed, RoutingActions actions) {
        SettingsValidator.check(settings);
        this.settings = settings;
        this.actions = Objects.requireNonNull(actions, "actions are null");
        random = new Random(seed);
        latencies.ensureClasses(settings.classes().size());
    }

    /**
     * Sets the time of the current event, and detects a stall of this gatherer itself. If the sweep timer was due long
     * ago, this process was not scheduled in time and every part in flight seems late. For half the length of the
     * stall, no latency is recorded and no worker is ejected as silent, because answers may still be unread.
     *
     * @param sweepPending whether the sweep timer is running; without it a long gap between events is no stall
     */
    void advance(long at, boolean sweepPending) {
        if (at == now) {
            return;
        }
        if (sweepPending && at - now > 2L * TuningParameters.SWEEP_ROUNDS * settings.roundInterval()) {
            stalledUntil = at + (at - now) / 2;
        }
        stalled = at < stalledUntil;
        now = at;
    }

    /**
     * Applies new settings, except for those that can't change after the start.
     *
     * @param removedClasses indexes of classes that are no longer in force
     * @throws InvalidSettingsException if the settings are out of range or contradict each other; then nothing has
     * changed
     */
    void reload(RoutingSettings newSettings, Set<Integer> removedClasses) {
        RoutingSettings changed = settings.reloadedWith(newSettings);
        SettingsValidator.check(changed);
        settings = changed;
        latencies.ensureClasses(settings.classes().size());
        referenceClass = removedClasses.contains(referenceClass)
                ? settings.firstClassExcept(removedClasses) : referenceClass;
    }

    /** Sets the number of gatherers that share the workers, and this gatherer's position among them, from 0. */
    void setGatherers(int count, int position) {
        settings = settings.withGatherers(count, position);
    }

    RoutingSettings settings() {
        return settings;
    }

    /** Returns the time of the event being handled. */
    long now() {
        return now;
    }

    /** Returns whether this gatherer was stalled recently, so that its measurements don't apply to workers. */
    boolean isStalled() {
        return stalled;
    }

    /**
     * Returns the average latency of this class's parts at all workers (microseconds), or an estimate before the first
     * answer.
     */
    double typicalLatency(int classIndex) {
        double estimate = TuningParameters.INITIAL_LATENCY_OBJECTIVE_SHARE
                * settings.classes().get(classIndex).latencyObjective();
        return latencies.partLatency(classIndex).orElse(estimate);
    }

    /** Returns the typical part latency of the first class in force, the unit of times that belong to no class. */
    double typicalLatency() {
        return typicalLatency(referenceClass);
    }

    /** Returns a random factor between {@code 1 - spread} and {@code 1 + spread}. */
    double jitter(double spread) {
        return 1 - spread + 2 * spread * random.nextDouble();
    }
}
