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

/** Each kind of broken file in {@code ROUTER_CONFIG} is refused by the key at fault. */
public class BrokenFileTest {
    @Rule
    public final TemporaryFolder folder = new TemporaryFolder();

    /** What stands in the sound file, what stands there instead, and the key that must be named. */
    private static final String[][] FAULTS = {
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

    private String fault(String text) throws Exception {
        Path file = folder.newFile().toPath();
        Files.writeString(file, text);
        var e = assertThrows(text, ConfigException.class,
                () -> LaunchConfig.read(Map.of("ROUTER_CONFIG", file.toString())));
        return e.key() + ": " + e.getMessage();
    }

    @Test
    public void eachFaultIsNamedByItsKey() throws Exception {
        String sound = Files.readString(Path.of("example/config.json"));
        List<String> wrong = new ArrayList<>();
        for (String[] f : FAULTS) {
            assertTrue(f[0], sound.contains(f[0]));
            try {
                String said = fault(sound.replace(f[0], f[1]));
                if (!said.startsWith(f[2])) {
                    wrong.add(f[1] + " -> " + said);
                }
            } catch (AssertionError e) {
                wrong.add(f[1] + " -> taken");
            }
        }
        for (String key : List.of("Aim", "GiveUp")) {
            for (String bad : List.of("0", "-1", "null", "\"soon\"", "[]", "1.5")) {
                String text = sound.replaceFirst("\"" + key + "\": *[0-9]+", "\"" + key + "\": " + bad);
                try {
                    String said = fault(text);
                    if (!said.startsWith("settings.Classes.0." + key)) {
                        wrong.add(key + " " + bad + " -> " + said);
                    }
                } catch (AssertionError e) {
                    wrong.add(key + " " + bad + " -> taken");
                }
            }
        }
        assertEquals(String.join("\n", wrong), 0, wrong.size());
    }

    @Test
    public void whatIsNoFileOfSettingsIsNamedAsTheFile() throws Exception {
        String sound = Files.readString(Path.of("example/config.json"));
        for (String text : List.of("", " \n", "[]", "null", sound.substring(0, sound.length() / 2), sound + "}",
                "\u0000\u0001\u0002", "name: yaml")) {
            assertTrue(text, fault(text).startsWith("ROUTER_CONFIG"));
        }
        for (String path : List.of(folder.getRoot().toString(), folder.getRoot() + "/none", "")) {
            var e = assertThrows(ConfigException.class, () -> LaunchConfig.read(Map.of("ROUTER_CONFIG", path)));
            assertEquals("ROUTER_CONFIG", e.key());
        }
    }
}
