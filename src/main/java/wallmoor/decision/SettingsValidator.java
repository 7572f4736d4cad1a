package wallmoor.decision;

import java.util.Objects;

/** Rejects settings that are absent or contradict themselves, with a message that names them. */
public final class SettingsValidator {
    private SettingsValidator() {}

    /**
     * Checks that settings are present and agree.
     *
     * @throws InvalidSettingsException if they contradict themselves
     * @throws NullPointerException     if a part of them is absent
     */
    public static void check(RoutingSettings s) {
        Objects.requireNonNull(s, "settings are null");
        Objects.requireNonNull(s.classes(), "settings.classes is null");
        Objects.requireNonNull(s.tenants(), "settings.tenants is null");
        Objects.requireNonNull(s.layout(), "settings.layout is null");
        Objects.requireNonNull(s.limits(), "settings.limits is null");
        Objects.requireNonNull(s.rules(), "settings.rules is null");
        Objects.requireNonNull(s.costs(), "settings.costs is null");
        require(s.gatherers() >= 1, "gatherers", "at least 1");
        require(s.position() >= 0 && s.position() < s.gatherers(), "position", "from 0 to gatherers - 1");
        require(s.roundInterval() > 0, "roundInterval", "above 0");
        require(!s.classes().isEmpty(), "classes", "at least one");
        require(s.layout().cells() >= 1, "layout.cells", "at least 1");
        require(s.layout().cellsPerShard() >= 1 && s.layout().cellsPerShard() <= s.layout().cells(),
                "layout.cellsPerShard", "from 1 to layout.cells");
        require(s.limits().maxAttempts() >= 1, "limits.maxAttempts", "at least 1");
        for (int i = 0; i < s.classes().size(); i++) {
            check(s.classes().get(i), "classes[" + i + "]");
        }
        check(s.rules());
    }

    private static void check(QueryClass c, String path) {
        Objects.requireNonNull(c, path + " is null");
        require(c.latencyObjective() > 0, path + ".latencyObjective", "above 0");
        require(c.clientTimeout() >= c.latencyObjective(), path + ".clientTimeout", "at least latencyObjective");
        require(c.idempotency() != null, path + ".idempotency", "present");
        require(c.completeShare() > 0 && c.completeShare() <= 1, path + ".completeShare", "above 0 and at most 1");
        require(c.minimumShare() > 0 && c.minimumShare() <= c.completeShare(), path + ".minimumShare",
                "above 0 and at most completeShare");
        require(c.followUpParts() >= 0, path + ".followUpParts", "at least 0");
        require(c.idempotency() != Idempotency.WITH_KEY || c.deduplicationWindow() > 0,
                path + ".deduplicationWindow", "above 0");
    }

    private static void check(PlatformRules r) {
        require(r.drainGrace() >= 0, "rules.drainGrace", "at least 0");
        require(r.slowStartShare() > 0 && r.slowStartShare() <= 1, "rules.slowStartShare", "above 0 and at most 1");
        require(r.slowStartWindow() >= 0, "rules.slowStartWindow", "at least 0");
        require(r.overloadMultiple() > 0, "rules.overloadMultiple", "above 0");
        require(r.overloadWindow() > 0, "rules.overloadWindow", "above 0");
        require(r.pollWithin() >= 0, "rules.pollWithin", "at least 0");
        require(r.retryBudgetWindow() >= 0, "rules.retryBudgetWindow", "at least 0");
        require(r.retryBudgetMinimum() >= 0 && r.retryBudgetRatio() >= 0,
                "rules.retryBudgetMinimum and rules.retryBudgetRatio", "at least 0");
    }

    private static void require(boolean kept, String path, String bound) {
        if (!kept) {
            throw new InvalidSettingsException(path, bound);
        }
    }
}
