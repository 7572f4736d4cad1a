package wallmoor.decision;

import java.util.Objects;

/**
 * Rejects settings that are missing, out of range or contradict each other. Messages name the key in the operator's
 * file that the field is read from.
 */
public final class SettingsValidator {
    private SettingsValidator() {}

    /**
     * Checks that settings are present and consistent.
     *
     * @throws InvalidSettingsException if a value is out of range or contradicts another
     * @throws NullPointerException     if a section is missing
     */
    public static void check(RoutingSettings settings) {
        Objects.requireNonNull(settings, "settings are null");
        Objects.requireNonNull(settings.classes(), "settings.Classes is null");
        Objects.requireNonNull(settings.tenants(), "settings.Projects is null");
        Objects.requireNonNull(settings.layout(), "settings.Domain is null");
        Objects.requireNonNull(settings.limits(), "settings.Limits is null");
        Objects.requireNonNull(settings.rules(), "settings.Contract is null");
        Objects.requireNonNull(settings.costs(), "settings.Costs is null");
        require(settings.gatherers() >= 1, "Instances", settings.gatherers(), "at least 1");
        require(settings.position() >= 0 && settings.position() < settings.gatherers(), "Position",
                settings.position(), "from 0 to settings.Instances - 1 (Instances is " + settings.gatherers() + ")");
        require(settings.roundInterval() > 0, "Round", settings.roundInterval(), "above 0");
        require(!settings.classes().isEmpty(), "Classes", "empty", "a list of at least one class");
        ShardLayout layout = settings.layout();
        require(layout.cells() >= 1, "Domain.Sets", layout.cells(), "at least 1");
        require(layout.cellsPerShard() >= 1 && layout.cellsPerShard() <= layout.cells(), "Domain.Reach",
                layout.cellsPerShard(), "from 1 to settings.Domain.Sets (" + layout.cells() + ")");
        int maxAttempts = settings.limits().maxAttempts();
        require(maxAttempts >= 1, "Limits.MaxAttempts", maxAttempts, "at least 1");
        for (int i = 0; i < settings.classes().size(); i++) {
            check(settings.classes().get(i), i);
        }
        check(settings.rules());
    }

    private static void check(QueryClass queryClass, int index) {
        String path = "Classes." + index;
        Objects.requireNonNull(queryClass, "settings." + path + " is null");
        require(queryClass.latencyObjective() > 0, path + ".Aim", queryClass.latencyObjective(), "above 0");
        require(queryClass.clientTimeout() >= queryClass.latencyObjective(), path + ".GiveUp",
                queryClass.clientTimeout(), "at least settings." + path + ".Aim (" + queryClass.latencyObjective()
                        + ")");
        require(queryClass.idempotency() != null, path + ".Repeat", null, "one of free, guarded, single_shot");
        require(queryClass.completeShare() > 0 && queryClass.completeShare() <= 1, "Domain.NeedByClass[" + index + "]",
                queryClass.completeShare(), "above 0 and at most 1");
        require(queryClass.minimumShare() > 0 && queryClass.minimumShare() <= queryClass.completeShare(),
                "Domain.FloorByClass[" + index + "]", queryClass.minimumShare(),
                "above 0 and at most settings.Domain.NeedByClass[" + index + "] (" + queryClass.completeShare() + ")");
        require(queryClass.followUpParts() >= 0, "Domain.FollowUp[" + index + "]", queryClass.followUpParts(),
                "at least 0");
        require(queryClass.idempotency() != Idempotency.WITH_KEY || queryClass.deduplicationWindow() > 0,
                path + ".DedupWindow", queryClass.deduplicationWindow(),
                "above 0 where settings." + path + ".Repeat is guarded");
    }

    private static void check(PlatformRules rules) {
        require(rules.drainGrace() >= 0, "Contract.DrainGrace", rules.drainGrace(), "at least 0");
        require(rules.slowStartShare() > 0 && rules.slowStartShare() <= 1, "Contract.ColdShare",
                rules.slowStartShare(), "above 0 and at most 1");
        require(rules.slowStartWindow() >= 0, "Contract.Cold", rules.slowStartWindow(), "at least 0");
        require(rules.overloadMultiple() > 0, "Contract.FallMultiple", rules.overloadMultiple(), "above 0");
        require(rules.overloadWindow() > 0, "Contract.OverloadFor", rules.overloadWindow(), "above 0");
        require(rules.pollWithin() >= 0, "Contract.AskWithin", rules.pollWithin(), "at least 0");
        require(rules.retryBudgetWindow() >= 0, "Contract.BudgetWindow", rules.retryBudgetWindow(), "at least 0");
        require(rules.retryBudgetMinimum() >= 0, "Contract.MinExtra", rules.retryBudgetMinimum(), "at least 0");
        require(rules.retryBudgetRatio() >= 0, "Contract.RepeatRatio", rules.retryBudgetRatio(), "at least 0");
    }

    private static void require(boolean isValid, String key, Object value, String allowed) {
        if (!isValid) {
            throw new InvalidSettingsException(key, value, allowed);
        }
    }
}
