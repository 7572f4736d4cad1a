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
 * The settings in effect: those of the configuration file, lowered by the agreed rule, and of the limits that all
 * processes of this gatherer share, this process's quota. Each of the three changes at its own time. It alone updates
 * the gatherer, with complete settings and under one lock, so that at no moment more is permitted than all three allow.
 */
final class EffectiveSettings {
    private static final Logger LOG = LoggerFactory.getLogger(EffectiveSettings.class);
    private static final Marker STATE = MarkerFactory.getMarker(Logging.STATE);

    /** Receives the settings in effect; rejects contradictory ones with an IllegalArgumentException. */
    interface SettingsListener {
        /** As {@link wallmoor.core.GathererControl#updateSettings}. */
        void onSettingsChanged(RoutingSettings next, List<String> classes, Set<Integer> vanished);
    }

    /** This process may have {@code most} in flight of {@code all} that all processes may have together. */
    private record ProcessQuota(int most, int all) {
        /** Returns the quota of another limit, in the same proportion. */
        int of(int limit) {
            return limit == all ? most : (int) ((long) limit * most / Math.max(1, all));
        }
    }

    private final SettingsListener listener;
    private final Supplier<EffectiveRule> agreedRule;
    /** Written under the lock, read by every query. */
    private volatile LaunchConfig launch;
    private ProcessQuota processQuota = new ProcessQuota(1, 1);
    /** Of all processes together; written under the lock. */
    private volatile PlatformLimits limits;

    /**
     * Creates them; the listener hears nothing before something changes.
     *
     * @param start      the configuration that the listener was created with
     * @param agreedRule the rule {@code settings} in effect, read at each change
     */
    EffectiveSettings(LaunchConfig start, SettingsListener listener, Supplier<EffectiveRule> agreedRule) {
        launch = start;
        limits = start.settings().limits();
        this.listener = listener;
        this.agreedRule = agreedRule;
    }

    /** Returns the configuration as last reloaded. */
    LaunchConfig launch() {
        return launch;
    }

    /** Returns the queries and parts that all processes of this gatherer may have in flight together. */
    int maxOpenOfAllProcesses() {
        return limits.maxInFlight();
    }

    /**
     * The configuration was reloaded.
     *
     * @throws IllegalArgumentException if its settings are contradictory; nothing has changed then
     */
    synchronized void onConfigReloaded(LaunchConfig reloaded) {
        publish(reloaded, processQuota);
        launch = reloaded; // after the gatherer: a query that finds a new class here finds it in the gatherer too
    }

    /** The agreed rule in effect has changed. */
    synchronized void onAgreedRuleChanged() {
        publish(launch, processQuota);
    }

    /** This process may have so much in flight from now on, of so much that all processes may have together. */
    synchronized void onProcessQuotaChanged(int most, int all) {
        var changed = new ProcessQuota(most, all);
        publish(launch, changed);
        processQuota = changed;
    }

    private void publish(LaunchConfig config, ProcessQuota quota) {
        RoutingSettings all = AgreedLimits.lower(config.settings(), agreedRule.get());
        RoutingSettings own = AgreedLimits.withMaxOpen(all, quota.of(all.limits().maxInFlight()));
        listener.onSettingsChanged(own, config.classes(), config.removedClasses());
        if (!all.limits().equals(limits)) {
            limits = all.limits();
            LOG.info(STATE, "limits in force: open {}, attempts {}", limits.maxInFlight(), limits.maxAttempts());
        }
    }
}
