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

/** Indexes of classes while settings change, and detection of files that lack a key. */
public class ClassIndexesTest {
    private static QueryClass queryClass(double worth) {
        return new QueryClass(worth, 0, 1_000, 0, 2_000, Idempotency.IDEMPOTENT, 0, 1, 1, 0, 0);
    }

    private static ClassIndexes empty() {
        return new ClassIndexes(List.of(), List.of(), Set.of());
    }

    /** A name never changes its index, and the active classes are exactly those of the last file. */
    @Property
    void classKeepsItsIndexWhileSettingsChange(
            @ForAll @Size(max = 12) List<@Size(max = 5) List<@IntRange(max = 6) Integer>> files) {
        ClassIndexes indexes = empty();
        var firstIndexes = new HashMap<String, Integer>();
        double worth = 0;
        for (List<Integer> file : files) {
            var names = new TreeSet<String>();
            file.forEach(n -> names.add("c" + n));
            var classes = new ArrayList<QueryClass>();
            for (String ignored : names) {
                classes.add(queryClass(++worth));
            }
            indexes = indexes.changedTo(List.copyOf(names), classes);
            int i = 0;
            for (String name : names) {
                int index = indexes.of(name);
                assertEquals(firstIndexes.computeIfAbsent(name, n -> index).intValue(), index);
                assertEquals(classes.get(i++), indexes.classes().get(index));
            }
            assertEquals(names.size(), indexes.names().size() - indexes.removed().size());
            assertTrue(indexes.removed().stream().map(indexes.names()::get).noneMatch(names::contains));
        }
    }

    /** Guards against an exception, and so a status 500, for a request without a class. */
    @Test
    public void returnsNoIndexForAbsentNameOrRemovedClass() {
        ClassIndexes indexes = empty().changedTo(List.of("a"), List.of(queryClass(1)))
                .changedTo(List.of("b"), List.of(queryClass(2)));
        assertEquals(-1, indexes.of(null));
        assertEquals(-1, indexes.of("a"));
        assertEquals(0, indexes.ofAny("a"));
        assertEquals(-1, indexes.ofAny("c"));
    }

    @Test
    public void rejectsDuplicateNamesAndTooManyNames() {
        ClassIndexes one = empty().changedTo(List.of("a"), List.of(queryClass(1)));
        assertThrows(ConfigException.class,
                () -> one.changedTo(List.of("b", "b"), List.of(queryClass(1), queryClass(2))));
        ClassIndexes many = one;
        for (int i = 1; i < ClassIndexes.MAX_CLASS_NAMES; i++) {
            many = many.changedTo(List.of("n" + i), List.of(queryClass(1)));
        }
        ClassIndexes full = many;
        var e = assertThrows(ConfigException.class, () -> full.changedTo(List.of("more"), List.of(queryClass(1))));
        assertTrue(e.getMessage(), e.getMessage().contains("restart"));
        assertEquals(0, full.changedTo(List.of("a"), List.of(queryClass(3))).of("a"));
    }

    private static Set<String> keys(String json) throws Json.Malformed {
        byte[] text = json.getBytes(java.nio.charset.StandardCharsets.UTF_8);
        return ConfigurationKeys.of(Json.object(text, 0, text.length));
    }

    @Test
    public void findsTheFirstMissingKeyOfAFile() throws Exception {
        Set<String> active = keys(
                "{\"name\":\"n\",\"known\":{\"revision\":1},\"settings\":{\"Limits\":{\"MaxAttempts\":4,\"MaxOpen\":9},"
                        + "\"Classes\":[{\"Name\":\"a\",\"GiveUp\":1},{\"Name\":\"b\",\"GiveUp\":1,"
                        + "\"DedupWindow\":5}],\"Dcs\":[\"x\"]}}");
        String complete = "{\"name\":\"n\",\"settings\":{\"Limits\":{\"MaxAttempts\":2,\"MaxOpen\":9,\"New\":1},"
                + "\"Classes\":[{\"Name\":\"c\",\"GiveUp\":7}],\"Dcs\":[]}}";
        assertEquals(null, ConfigurationKeys.missing(keys(complete), active));
        assertEquals("settings.Limits.MaxOpen",
                ConfigurationKeys.missing(keys(complete.replace(",\"MaxOpen\":9", "")), active));
        assertEquals("settings.Classes.*.GiveUp",
                ConfigurationKeys.missing(keys(complete.replace(",\"GiveUp\":7", "")), active));
        assertEquals("settings.Limits.MaxAttempts",
                ConfigurationKeys.missing(keys(complete.replace("\"MaxAttempts\":2", "\"MaxAttempts\":null")), active));
        assertEquals("name", ConfigurationKeys.missing(keys(complete.replace("\"name\":\"n\",", "")), active));
        assertEquals("settings.Dcs", ConfigurationKeys.missing(keys(complete.replace(",\"Dcs\":[]", "")), active));
    }
}
