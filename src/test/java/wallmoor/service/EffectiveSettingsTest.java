package wallmoor.service;

import static org.junit.Assert.assertEquals;
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
import net.jqwik.api.Example;
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
 * The limits passed to the gatherer never exceed what the file, the agreed rule and the process quota allow, whatever
 * the order of their changes.
 */
public class EffectiveSettingsTest {
    private static final LaunchConfig START = launch(243, 4);

    private EffectiveRule agreed = new EffectiveRule(EffectiveRule.Basis.NONE, 0, 0, RuleBody.EMPTY);
    private final List<PlatformLimits> published = new ArrayList<>();
    private final List<PlatformLimits> publishedToFeaturesFront = new ArrayList<>();
    private EffectiveSettings effectiveSettings = create();

    private EffectiveSettings create() {
        return new EffectiveSettings(START, (settings, classes, vanished) -> {
            if (settings.classes().isEmpty()) {
                throw new IllegalArgumentException("no class");
            }
            published.add(settings.limits());
        }, (settings, classes, vanished) -> publishedToFeaturesFront.add(settings.limits()), () -> agreed);
    }

    /** Guards against a front that keeps the limits of its start, or the quota of another front's queries. */
    @Example
    void lowersLimitsOfFeaturesFrontByAgreedRuleButNotByQuota() {
        agreed = agreedRule(100, 2);
        effectiveSettings.onAgreedRuleChanged();
        effectiveSettings.onProcessQuotaChanged(10, 100);
        assertEquals(List.of(100, 100), publishedToFeaturesFront.stream().map(PlatformLimits::maxInFlight).toList());
        assertEquals(2, publishedToFeaturesFront.get(1).maxAttempts());
        assertEquals(10, published.get(1).maxInFlight());
    }

    private static LaunchConfig launch(int open, int attempts) {
        try {
            Path file = Files.createTempFile("wallmoor", ".json");
            Files.writeString(file, Files.readString(Path.of("example/config.json"))
                    .replaceFirst("\"MaxOpen\": *[0-9]+", "\"MaxOpen\": " + open)
                    .replaceFirst("\"MaxAttempts\": *[0-9]+", "\"MaxAttempts\": " + attempts));
            LaunchConfig config = LaunchConfig.read(Map.of("ROUTER_CONFIG", file.toString()));
            Files.delete(file);
            return config;
        } catch (IOException e) {
            throw new java.io.UncheckedIOException(e);
        }
    }

    private static EffectiveRule agreedRule(int open, int attempts) {
        var fields = new TreeMap<String, FieldValue>();
        fields.put(AgreedLimits.MAX_OPEN_FIELD, new FieldValue.Amount(open));
        fields.put(AgreedLimits.MAX_ATTEMPTS_FIELD, new FieldValue.Amount(attempts));
        return new EffectiveRule(EffectiveRule.Basis.VERSION, 1, 1, new RuleBody(fields));
    }

    /** Each step changes one of the three; the minimum of all three is published, exactly once. */
    @Property(tries = 100)
    void publishesMinimumOfFileAgreedRuleAndQuotaOnce(
            @ForAll @Size(max = 12) List<@IntRange(min = 0, max = 29) Integer> steps) {
        agreed = new EffectiveRule(EffectiveRule.Basis.NONE, 0, 0, RuleBody.EMPTY);
        effectiveSettings = create();
        int open = 243;
        int quotaPercent = 100;
        for (int step : steps) {
            int amount = 1 + step / 3;
            published.clear();
            switch (step % 3) {
                case 0 -> {
                    open = 20 * amount;
                    effectiveSettings.onConfigReloaded(launch(open, amount));
                }
                case 1 -> {
                    agreed = agreedRule(15 * amount, amount);
                    effectiveSettings.onAgreedRuleChanged();
                }
                default -> {
                    quotaPercent = 100 / amount;
                    effectiveSettings.onProcessQuotaChanged(100 / amount, 100);
                }
            }
            assertEquals("published once", 1, published.size());
            int all = (int) Math.min(open, agreed.body().amount(AgreedLimits.MAX_OPEN_FIELD, open));
            assertEquals(Math.max(1, all * quotaPercent / 100), published.get(0).maxInFlight());
            assertEquals(all, effectiveSettings.maxOpenOfAllProcesses());
            int attempts = effectiveSettings.launch().settings().limits().maxAttempts();
            assertEquals((int) Math.min(attempts, agreed.body().amount(AgreedLimits.MAX_ATTEMPTS_FIELD, attempts)),
                    published.get(0).maxAttempts());
        }
    }

    @Test
    public void rejectsSettingsWithoutClassesAndKeepsThePreviousOnes() {
        LaunchConfig changed = launch(500, 2);
        LaunchConfig withoutClasses = new LaunchConfig(changed.name(), changed.listen(), changed.discovery(), 1,
                changed.settings().withClasses(List.of()),
                null, List.of(), List.of(), List.of(), 64, 64, 1, 1, 1, null, false,
                java.util.Set.of(), java.util.Set.of(), true);
        assertThrows(IllegalArgumentException.class, () -> effectiveSettings.onConfigReloaded(withoutClasses));
        assertEquals(START, effectiveSettings.launch());
        assertEquals(243, effectiveSettings.maxOpenOfAllProcesses());
        effectiveSettings.onProcessQuotaChanged(121, 243);
        assertEquals(121, published.get(published.size() - 1).maxInFlight());
    }

    /**
     * With a second caller of {@code updateSettings}, one could briefly publish limits above those of the other.
     */
    @Test
    public void onlyServicePassesUpdateSettings() throws Exception {
        var call = Pattern.compile("(gatherer|control)(\\(\\))?(\\.|::)updateSettings\\b");
        try (var files = Files.walk(Path.of("src/main/java/wallmoor"))) {
            List<Path> all = files.filter(f -> f.toString().endsWith(".java") && Files.isRegularFile(f)).toList();
            assertTrue(all.size() > 100);
            for (Path file : all) {
                String text = Files.readString(file);
                // the front for features has a gatherer of its own, and is updated by the service alone
                boolean mayCall = file.endsWith("service/Service.java") || file.endsWith("ogc/FeaturesFront.java");
                assertEquals(file.toString(), mayCall ? 1 : 0, call.matcher(text).results().count());
                boolean updatesFront = Pattern.compile("features(\\.|::)updateSettings\\b").matcher(text).find();
                assertEquals(file.toString(), file.endsWith("service/Service.java"), updatesFront);
            }
        }
    }
}
