package wallmoor;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertTrue;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Collectors;
import org.junit.Test;

/** What each package may use: fronts use the core, the core the decisions, and nothing the other way. */
public class LayersTest {
    private static final Map<String, Set<String>> MAY_USE = Map.of(
            "decision", Set.of(), "json", Set.of(), "http", Set.of(),
            "core", Set.of("decision"), "config", Set.of("decision", "json"),
            "adapter", Set.of("decision", "config"),
            "platform", Set.of("core", "config", "http", "json"),
            "ogc", Set.of("core", "config", "http", "json", "decision"));

    @Test
    public void packagesUseOnlyWhatLiesBelow() throws Exception {
        Path root = Path.of("src/main/java/wallmoor");
        List<Path> files;
        try (var all = Files.walk(root)) {
            files = all.filter(f -> f.toString().endsWith(".java") && !f.getParent().equals(root)).toList();
        }
        assertTrue(files.size() > 30);
        for (Path file : files) {
            String own = file.getParent().getFileName().toString();
            var used = new TreeSet<String>();
            Matcher m = Pattern.compile("wallmoor\\.([a-z]+)\\.[A-Z]").matcher(Files.readString(file));
            while (m.find()) {
                used.add(m.group(1));
            }
            used.remove(own);
            used.removeAll(MAY_USE.get(own));
            assertEquals(file + " uses", Set.of(), used);
        }
    }

    @Test
    public void frontsSeeNoEventsOrActionsOfTheModule() throws Exception {
        for (String front : List.of("platform", "ogc")) {
            try (var files = Files.list(Path.of("src/main/java/wallmoor", front))) {
                String text = files.map(LayersTest::read).collect(Collectors.joining());
                assertTrue(front, Pattern.compile("decision\\.(?!RouterApi\\.(Settings|Effect|Layout);)").matcher(text)
                        .results().findAny().isEmpty());
            }
        }
    }

    private static String read(Path file) {
        try {
            return Files.readString(file);
        } catch (java.io.IOException e) {
            throw new java.io.UncheckedIOException(e);
        }
    }
}
