package wallmoor.config;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertThrows;
import static org.junit.Assert.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.Test;
import wallmoor.decision.Idempotency;
import wallmoor.decision.QueryClass;
import wallmoor.json.Json;

/** Places of classes over settings that change, and files that lack a key. */
public class ClassIndexesTest {
    private static QueryClass kind(double worth) {
        return new QueryClass(worth, 0, 1_000, 0, 2_000, Idempotency.IDEMPOTENT, 0, 1, 1, 0, 0);
    }

    private static ClassIndexes none() {
        return new ClassIndexes(List.of(), List.of(), Set.of());
    }

    /** Whatever comes and goes: a name never moves, and those in force are exactly the last file's, as it has them. */
    @Property
    void aClassKeepsItsPlace(@ForAll @Size(max = 12) List<@Size(max = 5) List<@IntRange(max = 6) Integer>> files) {
        ClassIndexes places = none();
        var first = new HashMap<String, Integer>();
        double worth = 0;
        for (List<Integer> file : files) {
            var names = new TreeSet<String>();
            file.forEach(n -> names.add("c" + n));
            var kinds = new ArrayList<QueryClass>();
            for (String ignored : names) {
                kinds.add(kind(++worth));
            }
            places = places.changedTo(List.copyOf(names), kinds);
            int i = 0;
            for (String name : names) {
                int place = places.of(name);
                assertEquals(first.computeIfAbsent(name, n -> place).intValue(), place);
                assertEquals(kinds.get(i++), places.classes().get(place));
            }
            assertEquals(names.size(), places.names().size() - places.vanished().size());
            assertTrue(places.vanished().stream().map(places.names()::get).noneMatch(names::contains));
        }
    }

    @Test
    public void whatCantBePlacedIsRefusedWhole() {
        ClassIndexes one = none().changedTo(List.of("a"), List.of(kind(1)));
        assertThrows(ConfigException.class, () -> one.changedTo(List.of("b", "b"), List.of(kind(1), kind(2))));
        ClassIndexes many = one;
        for (int i = 1; i < ClassIndexes.MOST; i++) {
            many = many.changedTo(List.of("n" + i), List.of(kind(1)));
        }
        ClassIndexes full = many;
        var e = assertThrows(ConfigException.class, () -> full.changedTo(List.of("more"), List.of(kind(1))));
        assertTrue(e.getMessage(), e.getMessage().contains("restart"));
        assertEquals(0, full.changedTo(List.of("a"), List.of(kind(3))).of("a"));
    }

    private static Set<String> keys(String json) throws Json.Malformed {
        byte[] text = json.getBytes(java.nio.charset.StandardCharsets.UTF_8);
        return ConfigurationKeys.of(Json.object(text, 0, text.length));
    }

    @Test
    public void aFileThatLacksAKeyIsIncomplete() throws Exception {
        Set<String> force = keys(
                "{\"name\":\"n\",\"known\":{\"revision\":1},\"settings\":{\"Limits\":{\"MaxAttempts\":4,\"MaxOpen\":9},"
                        + "\"Classes\":[{\"Name\":\"a\",\"GiveUp\":1},{\"Name\":\"b\",\"GiveUp\":1,"
                        + "\"DedupWindow\":5}],\"Dcs\":[\"x\"]}}");
        String sound = "{\"name\":\"n\",\"settings\":{\"Limits\":{\"MaxAttempts\":2,\"MaxOpen\":9,\"New\":1},"
                + "\"Classes\":[{\"Name\":\"c\",\"GiveUp\":7}],\"Dcs\":[]}}";
        assertEquals(null, ConfigurationKeys.missing(keys(sound), force));
        assertEquals("settings.Limits.MaxOpen",
                ConfigurationKeys.missing(keys(sound.replace(",\"MaxOpen\":9", "")), force));
        assertEquals("settings.Classes.*.GiveUp",
                ConfigurationKeys.missing(keys(sound.replace(",\"GiveUp\":7", "")), force));
        assertEquals("settings.Limits.MaxAttempts",
                ConfigurationKeys.missing(keys(sound.replace("\"MaxAttempts\":2", "\"MaxAttempts\":null")), force));
        assertEquals("name", ConfigurationKeys.missing(keys(sound.replace("\"name\":\"n\",", "")), force));
        assertEquals("settings.Dcs", ConfigurationKeys.missing(keys(sound.replace(",\"Dcs\":[]", "")), force));
    }
}
