package wallmoor.decision;

import java.util.Objects;

/** Refuses settings that are absent or contradict themselves, with a message that names them. */
public final class SettingsValidator {
    private SettingsValidator() {}

    /** Throws unless these settings are present and agree. */
    public static void check(RoutingSettings s) {
        Objects.requireNonNull(s, "settings are null");
        Objects.requireNonNull(s.classes(), "settings.classes is null");
        Objects.requireNonNull(s.tenants(), "settings.tenants is null");
        Objects.requireNonNull(s.layout(), "settings.layout is null");
        Objects.requireNonNull(s.limits(), "settings.limits is null");
        Objects.requireNonNull(s.rules(), "settings.rules is null");
        Objects.requireNonNull(s.costs(), "settings.costs is null");
        require(s.gatherers() >= 1, "roots", "at least 1");
        require(s.position() >= 0 && s.position() < s.gatherers(), "position", "from 0 to roots - 1");
        require(s.roundInterval() > 0, "round", "above 0");
        require(!s.classes().isEmpty(), "classes", "at least one");
        require(s.layout().cells() >= 1, "layout.cells", "at least 1");
        require(s.layout().cellsPerShard() >= 1 && s.layout().cellsPerShard() <= s.layout().cells(), "layout.reach",
                "from 1 to layout.cells");
        require(s.limits().maxAttempts() >= 1, "limits.maxAttempts", "at least 1");
        for (int i = 0; i < s.classes().size(); i++) {
            check(s.classes().get(i), "classes[" + i + "]");
        }
        check(s.rules());
    }

    private static void check(QueryClass c, String name) {
        Objects.requireNonNull(c, name + " is null");
        require(c.latencyObjective() > 0, name + ".aim", "above 0");
        require(c.clientTimeout() >= c.latencyObjective(), name + ".giveUp", "at least aim");
        require(c.idempotency() != null, name + ".effect", "present");
        require(c.completeShare() > 0 && c.completeShare() <= 1, name + ".need", "above 0 and at most 1");
        require(c.minimumShare() > 0 && c.minimumShare() <= c.completeShare(), name + ".floor",
                "above 0 and at most need");
        require(c.followUpParts() >= 0, name + ".followUp", "at least 0");
        require(c.idempotency() != Idempotency.WITH_KEY || c.deduplicationWindow() > 0, name + ".dedupWindow",
                "above 0");
    }

    private static void check(PlatformRules r) {
        require(r.drainGrace() >= 0, "rules.drainGrace", "at least 0");
        require(r.slowStartShare() > 0 && r.slowStartShare() <= 1, "rules.coldShare", "above 0 and at most 1");
        require(r.slowStartWindow() >= 0, "rules.cold", "at least 0");
        require(r.overloadMultiple() > 0, "rules.fallMultiple", "above 0");
        require(r.overloadWindow() > 0, "rules.overloadFor", "above 0");
        require(r.pollWithin() >= 0, "rules.askWithin", "at least 0");
        require(r.retryBudgetWindow() >= 0, "rules.budgetWindow", "at least 0");
        require(r.retryBudgetMinimum() >= 0 && r.retryBudgetRatio() >= 0, "rules.minExtra and rules.repeatRatio",
                "at least 0");
    }

    private static void require(boolean kept, String name, String bound) {
        if (!kept) {
            throw new IllegalArgumentException("settings." + name + " must be " + bound);
        }
    }
}
