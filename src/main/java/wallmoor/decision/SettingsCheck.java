package wallmoor.decision;

import java.util.Objects;
import wallmoor.decision.RouterApi.Effect;
import wallmoor.decision.RouterApi.QueryClass;
import wallmoor.decision.RouterApi.Rules;
import wallmoor.decision.RouterApi.Settings;

/** Refuses settings that are absent or contradict themselves, with a message that names them. */
public final class SettingsCheck {
    private SettingsCheck() {}

    /** Throws unless these settings are present and agree. */
    public static void check(Settings s) {
        Objects.requireNonNull(s, "settings are null");
        Objects.requireNonNull(s.classes(), "settings.classes is null");
        Objects.requireNonNull(s.tenants(), "settings.tenants is null");
        Objects.requireNonNull(s.layout(), "settings.layout is null");
        Objects.requireNonNull(s.limits(), "settings.limits is null");
        Objects.requireNonNull(s.rules(), "settings.rules is null");
        Objects.requireNonNull(s.costs(), "settings.costs is null");
        require(s.roots() >= 1, "roots", "at least 1");
        require(s.position() >= 0 && s.position() < s.roots(), "position", "from 0 to roots - 1");
        require(s.round() > 0, "round", "above 0");
        require(!s.classes().isEmpty(), "classes", "at least one");
        require(s.layout().cells() >= 1, "layout.cells", "at least 1");
        require(s.layout().reach() >= 1 && s.layout().reach() <= s.layout().cells(), "layout.reach",
                "from 1 to layout.cells");
        require(s.limits().maxAttempts() >= 1, "limits.maxAttempts", "at least 1");
        for (int i = 0; i < s.classes().size(); i++) {
            check(s.classes().get(i), "classes[" + i + "]");
        }
        check(s.rules());
    }

    private static void check(QueryClass c, String name) {
        Objects.requireNonNull(c, name + " is null");
        require(c.aim() > 0, name + ".aim", "above 0");
        require(c.giveUp() >= c.aim(), name + ".giveUp", "at least aim");
        require(c.effect() != null, name + ".effect", "present");
        require(c.need() > 0 && c.need() <= 1, name + ".need", "above 0 and at most 1");
        require(c.floor() > 0 && c.floor() <= c.need(), name + ".floor", "above 0 and at most need");
        require(c.followUp() >= 0, name + ".followUp", "at least 0");
        require(c.effect() != Effect.KEYED || c.dedupWindow() > 0, name + ".dedupWindow", "above 0");
    }

    private static void check(Rules r) {
        require(r.drainGrace() >= 0, "rules.drainGrace", "at least 0");
        require(r.coldShare() > 0 && r.coldShare() <= 1, "rules.coldShare", "above 0 and at most 1");
        require(r.cold() >= 0, "rules.cold", "at least 0");
        require(r.fallMultiple() > 0, "rules.fallMultiple", "above 0");
        require(r.overloadFor() > 0, "rules.overloadFor", "above 0");
        require(r.askWithin() >= 0, "rules.askWithin", "at least 0");
        require(r.budgetWindow() >= 0, "rules.budgetWindow", "at least 0");
        require(r.minExtra() >= 0 && r.repeatRatio() >= 0, "rules.minExtra and rules.repeatRatio", "at least 0");
    }

    private static void require(boolean kept, String name, String bound) {
        if (!kept) {
            throw new IllegalArgumentException("settings." + name + " must be " + bound);
        }
    }
}
