package wallmoor.service;

import java.util.List;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Supplier;
import wallmoor.config.LaunchConfig;
import wallmoor.decision.PlatformLimits;
import wallmoor.decision.RoutingSettings;
import wallmoor.rules.EffectiveRule;

/**
 * What the gatherer goes by: the settings of the file in force, lowered to what is agreed on, and of what all processes
 * of this gatherer may hold together this one's part. Each of the three changes at its own time. Here alone the
 * gatherer is told of settings, whole and under one lock: at no moment it goes by more than all three allow.
 */
final class EffectiveSettings {
    /** Who goes by them; settings that contradict themselves it refuses whole, by an IllegalArgumentException. */
    interface SettingsListener {
        /** As {@link wallmoor.core.Gatherer#updateSettings}. */
        void settings(RoutingSettings next, List<String> classes, Set<Integer> vanished);
    }

    /** So much this process may hold, of so much that all processes may hold together. */
    private record ProcessQuota(int most, int all) {
        /** The same of another bound. */
        int of(int other) {
            return other == all ? most : (int) ((long) other * most / Math.max(1, all));
        }
    }

    private final SettingsListener taker;
    private final Supplier<EffectiveRule> agreedRule;
    private final Consumer<String> log;
    /** Written under the lock, read by every query. */
    private volatile LaunchConfig launch;
    private ProcessQuota processQuota = new ProcessQuota(1, 1);
    /** Those of all processes together. */
    private volatile PlatformLimits limits;

    /**
     * Makes it; nothing is told before something changes.
     *
     * @param start  what the taker was made with
     * @param agreed what is agreed on just now of {@code settings}; asked at each change
     * @param log    hears of limits that have changed
     */
    EffectiveSettings(LaunchConfig start, SettingsListener taker, Supplier<EffectiveRule> agreed,
            Consumer<String> log) {
        launch = start;
        limits = start.settings().limits();
        this.taker = taker;
        this.agreedRule = agreed;
        this.log = log;
    }

    /** The start's configuration, as files read again have changed it. */
    LaunchConfig launch() {
        return launch;
    }

    /** Queries and parts that all processes of this gatherer may hold together. */
    int maxOpenOfAllProcesses() {
        return limits.maxInFlight();
    }

    /**
     * Another file holds from now on.
     *
     * @throws IllegalArgumentException if its settings contradict themselves; nothing has changed then
     */
    synchronized void launch(LaunchConfig changed) {
        publish(changed, processQuota);
        launch = changed; // a query that finds a new class here finds it in the gatherer too
    }

    /** Something else is agreed on. */
    synchronized void agreedRule() {
        publish(launch, processQuota);
    }

    /** This process may hold so many queries and parts from now on, where all processes may hold that. */
    synchronized void processQuota(int most, int all) {
        var changed = new ProcessQuota(most, all);
        publish(launch, changed);
        processQuota = changed;
    }

    private void publish(LaunchConfig launch, ProcessQuota own) {
        RoutingSettings all = AgreedLimits.of(launch.settings(), agreedRule.get());
        RoutingSettings now = AgreedLimits.holding(all, own.of(all.limits().maxInFlight()));
        taker.settings(now, launch.classes(), launch.vanished());
        if (!all.limits().equals(limits)) {
            limits = all.limits();
            log.accept("limits in force: open " + limits.maxInFlight() + ", attempts " + limits.maxAttempts());
        }
    }
}
