package wallmoor.decision;

import java.util.Objects;
import java.util.Random;
import java.util.Set;

/**
 * What the modules of one policy share: the settings in force, the time of the event being handled, the random draws,
 * the actions, and the typical latency of each class. Times are microseconds of the caller's clock.
 */
final class PolicyContext {
    final RoutingActions actions;
    /** All draws of the policy, in the order of its decisions: equal seeds give equal actions. */
    final Random random;
    final ClassLatencies latencies = new ClassLatencies();
    private RoutingSettings settings;
    private long now;
    private boolean stalled;
    private long stalledUntil;
    /** The place of the first class in force: the latencies of workers are measured by its typical latency. */
    private int leadingClass;

    /**
     * Holds the settings of the start.
     *
     * @throws InvalidSettingsException if they contradict themselves
     */
    PolicyContext(RoutingSettings settings, long seed, RoutingActions actions) {
        SettingsValidator.check(settings);
        this.settings = settings;
        this.actions = Objects.requireNonNull(actions, "actions are null");
        random = new Random(seed);
        latencies.ensureClasses(settings.classes().size());
    }

    /**
     * Time goes on. A gatherer that was not woken when it should have been was itself stalled, and all that it finds
     * then looks late: for half as long again it learns from no latency and blames no worker, as answers may lie
     * unread.
     *
     * @param sweepPending whether a sweep's timer is running, by which a stall is told
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
     * Puts new settings in force; what is bound to the start stays.
     *
     * @param vanished places of classes that are no longer in force
     * @throws InvalidSettingsException if they contradict themselves; nothing has changed then
     */
    void reload(RoutingSettings next, Set<Integer> vanished) {
        RoutingSettings changed = settings.reloadedWith(next);
        SettingsValidator.check(changed);
        settings = changed;
        latencies.ensureClasses(settings.classes().size());
        leadingClass = vanished.contains(leadingClass) ? settings.firstClassBut(vanished) : leadingClass;
    }

    /** So many gatherers share the workers from now on, of which this is the one at this position, from 0. */
    void setGatherers(int count, int position) {
        settings = settings.amongGatherers(count, position);
    }

    RoutingSettings settings() {
        return settings;
    }

    /** The time of the event being handled. */
    long now() {
        return now;
    }

    /** Whether this gatherer was stalled lately, so that what it measures says nothing of others. */
    boolean stalled() {
        return stalled;
    }

    /** What a part of this class usually takes, by all workers; a guess before any is known. */
    double typicalLatency(int classIndex) {
        double guess = TuningParameters.INITIAL_LATENCY_OBJECTIVE_SHARE
                * settings.classes().get(classIndex).latencyObjective();
        return latencies.partLatency(classIndex).orElse(guess);
    }

    /** What a part of the first class in force usually takes: the unit of times that belong to no class. */
    double typicalLatency() {
        return typicalLatency(leadingClass);
    }

    /** A factor around one, drawn at most so much to either side. */
    double jitter(double spread) {
        return 1 - spread + 2 * spread * random.nextDouble();
    }
}
