package wallmoor.service;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertFalse;
import static org.junit.Assert.assertThrows;
import static org.junit.Assert.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.regex.Pattern;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.Test;
import wallmoor.config.LaunchConfig;
import wallmoor.decision.PlatformLimits;
import wallmoor.rules.EffectiveRule;
import wallmoor.rules.FieldValue;
import wallmoor.rules.RuleBody;

/**
 * Whatever changes in whatever order, the gatherer is told of nothing more than file, agreement and processes allow.
 */
public class EffectiveSettingsTest {
    private static final LaunchConfig START = launch(243, 4);

    private EffectiveRule agreed = new EffectiveRule(EffectiveRule.Basis.NONE, 0, 0, RuleBody.EMPTY);
    private final List<PlatformLimits> told = new ArrayList<>();
    private EffectiveSettings inForce = make();

    private EffectiveSettings make() {
        return new EffectiveSettings(START, (settings, classes, vanished) -> {
            if (settings.classes().isEmpty()) {
                throw new IllegalArgumentException("no class");
            }
            told.add(settings.limits());
        }, () -> agreed);
    }

    private static LaunchConfig launch(int open, int attempts) {
        try {
            Path file = Files.createTempFile("wallmoor", ".json");
            Files.writeString(file, Files.readString(Path.of("example/config.json"))
                    .replaceFirst("\"MaxOpen\": *[0-9]+", "\"MaxOpen\": " + open)
                    .replaceFirst("\"MaxAttempts\": *[0-9]+", "\"MaxAttempts\": " + attempts));
            LaunchConfig read = LaunchConfig.read(Map.of("ROUTER_CONFIG", file.toString()));
            Files.delete(file);
            return read;
        } catch (IOException e) {
            throw new java.io.UncheckedIOException(e);
        }
    }

    private static EffectiveRule act(int open, int attempts) {
        var fields = new TreeMap<String, FieldValue>();
        fields.put(AgreedLimits.MAX_OPEN_FIELD, new FieldValue.Amount(open));
        fields.put(AgreedLimits.MAX_ATTEMPTS_FIELD, new FieldValue.Amount(attempts));
        return new EffectiveRule(EffectiveRule.Basis.VERSION, 1, 1, new RuleBody(fields));
    }

    /** Each step changes one of the three; what is told at it is the least of all three, and told once. */
    @Property(tries = 100)
    void noMoreIsInForceThanAllAllow(@ForAll @Size(max = 12) List<@IntRange(min = 0, max = 29) Integer> steps) {
        agreed = new EffectiveRule(EffectiveRule.Basis.NONE, 0, 0, RuleBody.EMPTY);
        inForce = make();
        int open = 243;
        int share = 100;
        for (int step : steps) {
            int amount = 1 + step / 3;
            told.clear();
            switch (step % 3) {
                case 0 -> {
                    open = 20 * amount;
                    inForce.onConfigReloaded(launch(open, amount));
                }
                case 1 -> {
                    agreed = act(15 * amount, amount);
                    inForce.onAgreedRuleChanged();
                }
                default -> {
                    share = 100 / amount;
                    inForce.onProcessQuotaChanged(100 / amount, 100);
                }
            }
            assertEquals("told once", 1, told.size());
            int all = (int) Math.min(open, agreed.body().amount(AgreedLimits.MAX_OPEN_FIELD, open));
            assertEquals(Math.max(1, all * share / 100), told.get(0).maxInFlight());
            assertEquals(all, inForce.maxOpenOfAllProcesses());
            int attempts = inForce.launch().settings().limits().maxAttempts();
            assertEquals((int) Math.min(attempts, agreed.body().amount(AgreedLimits.MAX_ATTEMPTS_FIELD, attempts)),
                    told.get(0).maxAttempts());
        }
    }

    @Test
    public void whatContradictsItselfChangesNothing() {
        LaunchConfig bad = launch(500, 2);
        LaunchConfig none = new LaunchConfig(bad.name(), bad.listen(), bad.discovery(), 1,
                bad.settings().withClasses(List.of()),
                null, List.of(), List.of(), List.of(), 64, 64, 1, 1, 1, null, false,
                java.util.Set.of(), java.util.Set.of(), true);
        assertThrows(IllegalArgumentException.class, () -> inForce.onConfigReloaded(none));
        assertEquals(START, inForce.launch());
        assertEquals(243, inForce.maxOpenOfAllProcesses());
        inForce.onProcessQuotaChanged(121, 243);
        assertEquals(121, told.get(told.size() - 1).maxInFlight());
    }

    /** One place tells the gatherer of settings: two could tell of more than is allowed, if only for a moment. */
    @Test
    public void nobodyElseTellsTheGathererOfSettings() throws Exception {
        var call = Pattern.compile("(gatherer|control)(\\(\\))?(\\.|::)updateSettings\\b");
        try (var files = Files.walk(Path.of("src/main/java/wallmoor"))) {
            List<Path> all = files.filter(f -> f.toString().endsWith(".java") && Files.isRegularFile(f)).toList();
            assertTrue(all.size() > 100);
            for (Path file : all) {
                String text = Files.readString(file);
                if (!file.endsWith("service/Service.java")) {
                    assertFalse(file.toString(), call.matcher(text).find());
                } else {
                    assertEquals(1, call.matcher(text).results().count());
                }
            }
        }
    }
}
