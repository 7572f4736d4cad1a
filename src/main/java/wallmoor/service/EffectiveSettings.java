package wallmoor.service;

import java.util.List;
import java.util.Set;
import java.util.function.Supplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.slf4j.Marker;
import org.slf4j.MarkerFactory;
import wallmoor.config.LaunchConfig;
import wallmoor.decision.PlatformLimits;
import wallmoor.decision.RoutingSettings;
import wallmoor.log.Logging;
import wallmoor.rules.EffectiveRule;

/**
 * The settings in effect: those of the configuration file, lowered by the agreed rule and by this process's quota of
 * the limits that all processes of the gatherer share. Each of the three changes independently. Only this class updates
 * the gatherers, with complete settings and under one lock, so that the settings never permit more than all three
 * allow.
 */
final class EffectiveSettings {
    private static final Logger LOG = LoggerFactory.getLogger(EffectiveSettings.class);
    private static final Marker STATE = MarkerFactory.getMarker(Logging.STATE);

    /** Receives the settings in effect; rejects contradictory ones with an IllegalArgumentException. */
    interface SettingsListener {
        /** As {@link wallmoor.core.GathererControl#updateSettings}. */
        void onSettingsChanged(RoutingSettings next, List<String> classes, Set<Integer> vanished);
    }

    /** The quota of this process when all processes together may have {@code total} queries and parts in flight. */
    private record ProcessQuota(int quota, int total) {
        /** Returns the quota of another total, in the same proportion. */
        int of(int limit) {
            return limit == total ? quota : (int) ((long) limit * quota / Math.max(1, total));
        }
    }

    private final SettingsListener listener;
    private final SettingsListener featuresFront;
    private final Supplier<EffectiveRule> agreedRule;
    /** Written under the lock, read by every query. */
    private volatile LaunchConfig launch;
    private ProcessQuota processQuota = new ProcessQuota(1, 1);
    /** The limits of all processes together; written under the lock. */
    private volatile PlatformLimits limits;

    /**
     * Creates the settings; the listener is first called at the first change.
     *
     * @param initial       the configuration that the listeners were created with
     * @param listener      the gatherer of the platform's front and the edge, to which the process's quota applies
     * @param featuresFront the front for features, whose queries the quota does not count
     * @param agreedRule    the rule {@code settings} in effect, read at each change
     */
    EffectiveSettings(LaunchConfig initial, SettingsListener listener, SettingsListener featuresFront,
            Supplier<EffectiveRule> agreedRule) {
        launch = initial;
        limits = initial.settings().limits();
        this.listener = listener;
        this.featuresFront = featuresFront;
        this.agreedRule = agreedRule;
    }

    /** Returns the configuration as of the start or the last reload. */
    LaunchConfig launch() {
        return launch;
    }

    /** Returns the queries and parts that all processes of this gatherer may have in flight together. */
    int maxOpenOfAllProcesses() {
        return limits.maxInFlight();
    }

    /**
     * Applies a reloaded configuration.
     *
     * @throws IllegalArgumentException if its settings are contradictory; then nothing changes
     */
    synchronized void onConfigReloaded(LaunchConfig reloaded) {
        publish(reloaded, processQuota);
        launch = reloaded; // after the gatherer: a query that finds a new class here finds it in the gatherer too
    }

    /** Applies a change of the agreed rule in effect. */
    synchronized void onAgreedRuleChanged() {
        publish(launch, processQuota);
    }

    /**
     * Applies this process's quota of queries and parts in flight.
     *
     * @param quota the number that this process may have in flight
     * @param total the number that all processes may have in flight together
     */
    synchronized void onProcessQuotaChanged(int quota, int total) {
        var changed = new ProcessQuota(quota, total);
        publish(launch, changed);
        processQuota = changed;
    }

    private void publish(LaunchConfig config, ProcessQuota quota) {
        RoutingSettings all = AgreedLimits.lower(config.settings(), agreedRule.get());
        RoutingSettings own = AgreedLimits.withMaxOpen(all, quota.of(all.limits().maxInFlight()));
        listener.onSettingsChanged(own, config.classes(), config.removedClasses());
        featuresFront.onSettingsChanged(all, config.classes(), config.removedClasses());
        if (!all.limits().equals(limits)) {
            limits = all.limits();
            LOG.info(STATE, "limits in force: open {}, attempts {}", limits.maxInFlight(), limits.maxAttempts());
        }
    }
}
