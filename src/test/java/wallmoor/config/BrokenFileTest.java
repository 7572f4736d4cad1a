package wallmoor.config;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertThrows;
import static org.junit.Assert.assertTrue;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.junit.Rule;
import org.junit.Test;
import org.junit.rules.TemporaryFolder;

/** Each kind of broken file in {@code ROUTER_CONFIG} is rejected with the name of the faulty key. */
public class BrokenFileTest {
    @Rule
    public final TemporaryFolder folder = new TemporaryFolder();

    /** A text in the valid file, its faulty replacement, and the key that the error must name. */
    private static final String[][] FAULTY_REPLACEMENTS = {
        {"\"MaxAttempts\": 4", "\"MaxAttempts\": 0", "settings.Limits.MaxAttempts"},
        {"\"MaxAttempts\": 4", "\"MaxAttempts\": -3", "settings.Limits.MaxAttempts"},
        {"\"MaxAttempts\": 4", "\"MaxAttempts\": 1.5", "settings.Limits.MaxAttempts"},
        {"\"MaxAttempts\": 4", "\"MaxAttempts\": \"4 or 5\"", "settings.Limits.MaxAttempts"},
        {"\"MaxAttempts\": 4", "\"MaxAttempts\": null", "settings.Limits.MaxAttempts"},
        {"\"MaxAttempts\": 4", "\"MaxAttempts\": [4, 5]", "settings.Limits.MaxAttempts"},
        {"\"MaxAttempts\": 4", "\"MaxAttempts\": {\"n\": 4}", "settings.Limits.MaxAttempts"},
        {"\"MaxAttempts\": 4", "\"MaxAttempts\": 1e12", "settings.Limits.MaxAttempts"},
        {"\"MaxAttempts\": 4", "\"MaxAttempts\": \"NaN\"", "settings.Limits.MaxAttempts"},
        {"\"MaxOpen\": 243", "\"MaxOpen\": 0", "settings.Limits.MaxOpen"},
        {"\"MaxOpen\": 243", "\"MaxOpen\": -1", "settings.Limits.MaxOpen"},
        {"\"MaxOpen\": 243", "\"MaxOpen\": true", "settings.Limits.MaxOpen"},
        {"\"Cancelling\": true", "\"Cancelling\": \"maybe\"", "settings.Limits.Cancelling"},
        {"\"Repeat\": \"free\"", "\"Repeat\": \"often\"", "settings.Classes.0.Repeat"},
        {"\"Limits\"", "\"Limitz\"", "settings.Limits"},
        {"\"Contract\"", "\"Contrakt\"", "settings.Contract"},
        {"\"Classes\"", "\"Klasses\"", "settings.Classes"},
        {"\"settings\"", "\"setings\"", "settings"},
        {"\"listen\"", "\"lissten\"", "listen"},
        {"\"discovery\": \"", "\"discovery\": \"nowhere:", "discovery"},
    };

    private String rejectionOf(String text) throws Exception {
        Path file = folder.newFile().toPath();
        Files.writeString(file, text);
        var e = assertThrows(text, ConfigException.class,
                () -> LaunchConfig.read(Map.of("ROUTER_CONFIG", file.toString())));
        return e.key() + ": " + e.getMessage();
    }

    @Test
    public void namesTheKeyOfEachFault() throws Exception {
        String valid = Files.readString(Path.of("example/config.json"));
        List<String> failures = new ArrayList<>();
        for (String[] replacement : FAULTY_REPLACEMENTS) {
            assertTrue(replacement[0], valid.contains(replacement[0]));
            try {
                String message = rejectionOf(valid.replace(replacement[0], replacement[1]));
                if (!message.startsWith(replacement[2])) {
                    failures.add(replacement[1] + " -> " + message);
                }
            } catch (AssertionError e) {
                failures.add(replacement[1] + " -> accepted");
            }
        }
        for (String key : List.of("Aim", "GiveUp")) {
            for (String bad : List.of("0", "-1", "null", "\"soon\"", "[]", "1.5")) {
                String text = valid.replaceFirst("\"" + key + "\": *[0-9]+", "\"" + key + "\": " + bad);
                try {
                    String message = rejectionOf(text);
                    if (!message.startsWith("settings.Classes.0." + key)) {
                        failures.add(key + " " + bad + " -> " + message);
                    }
                } catch (AssertionError e) {
                    failures.add(key + " " + bad + " -> accepted");
                }
            }
        }
        assertEquals(String.join("\n", failures), 0, failures.size());
    }

    @Test
    public void namesRouterConfigWhenTheFileIsUnreadableOrNotJson() throws Exception {
        String valid = Files.readString(Path.of("example/config.json"));
        for (String text : List.of("", " \n", "[]", "null", valid.substring(0, valid.length() / 2), valid + "}",
                "\u0000\u0001\u0002", "name: yaml")) {
            assertTrue(text, rejectionOf(text).startsWith("ROUTER_CONFIG"));
        }
        for (String path : List.of(folder.getRoot().toString(), folder.getRoot() + "/none", "")) {
            var e = assertThrows(ConfigException.class, () -> LaunchConfig.read(Map.of("ROUTER_CONFIG", path)));
            assertEquals("ROUTER_CONFIG", e.key());
        }
    }
}
