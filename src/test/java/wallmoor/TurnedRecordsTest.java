package wallmoor;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertNotEquals;
import static org.junit.Assert.assertTrue;

import java.lang.reflect.Constructor;
import java.lang.reflect.InvocationTargetException;
import java.lang.reflect.RecordComponent;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Objects;
import java.util.stream.Stream;
import org.junit.Test;

/**
 * What the build writes out for records (src/build/java) is what the JDK would put together, and all of it verifies.
 */
public class TurnedRecordsTest {
    private static final int FEWEST = 30;

    @Test
    public void recordsAreEqualAndPrintedAsEver() throws Exception {
        int checked = 0;
        for (Class<?> type : turned()) {
            if (type.isRecord() && has(type, "record$equals") && check(type)) {
                checked++;
            }
        }
        assertTrue("checked " + checked, checked >= FEWEST);
    }

    /** All classes that the build has turned, linked: one that does not verify fails here. */
    private static List<Class<?>> turned() throws Exception {
        Path root = Path.of("target/classes");
        List<Class<?>> all = new ArrayList<>();
        try (Stream<Path> files = Files.walk(root.resolve("wallmoor"))) {
            for (Path file : files.filter(f -> f.toString().endsWith(".class")).toList()) {
                String name = root.relativize(file).toString().replace(".class", "").replace('/', '.');
                Class<?> type = Class.forName(name, false, TurnedRecordsTest.class.getClassLoader());
                if (name.contains("$$L") || type.isRecord()) {
                    all.add(Class.forName(name, true, TurnedRecordsTest.class.getClassLoader()));
                }
            }
        }
        return all;
    }

    private static boolean has(Class<?> type, String method) {
        return Arrays.stream(type.getDeclaredMethods()).anyMatch(m -> m.getName().equals(method));
    }

    private static boolean check(Class<?> type) throws ReflectiveOperationException {
        RecordComponent[] parts = type.getRecordComponents();
        Class<?>[] types = Arrays.stream(parts).map(RecordComponent::getType).toArray(Class<?>[]::new);
        Constructor<?> made = type.getDeclaredConstructor(types);
        made.setAccessible(true);
        Object one;
        Object same;
        try {
            one = made.newInstance(Arrays.stream(types).map(t -> value(t, 1)).toArray());
            same = made.newInstance(Arrays.stream(types).map(t -> value(t, 1)).toArray());
        } catch (InvocationTargetException e) {
            return false; // one that checks what it is given
        }
        int hash = 0;
        var text = new StringBuilder(type.getSimpleName()).append('[');
        for (RecordComponent part : parts) {
            part.getAccessor().setAccessible(true);
            Object value = part.getAccessor().invoke(one);
            hash = 31 * hash + Objects.hashCode(value);
            text.append(part == parts[0] ? "" : ", ").append(part.getName()).append('=').append(value);
        }
        assertEquals(type.getName(), one, same);
        assertNotEquals(type.getName(), one, "");
        if (has(type, "record$hashCode")) {
            assertEquals(type.getName(), hash, one.hashCode());
        }
        if (has(type, "record$toString")) {
            assertEquals(text.append(']').toString(), one.toString());
        }
        for (int i = 0; i < types.length; i++) {
            int at = i;
            Object[] other = Arrays.stream(types).map(t -> value(t, 1)).toArray();
            other[at] = value(types[at], 2);
            try {
                assertEquals(type.getName() + "." + parts[i].getName(), Objects.equals(other[at], value(types[at], 1)),
                        one.equals(made.newInstance(other)));
            } catch (InvocationTargetException e) {
                // one that checks what it is given
            }
        }
        return true;
    }

    private static Object value(Class<?> type, int which) {
        return type == boolean.class ? which == 1 : type == char.class ? (char) ('a' + which) : type == byte.class
                ? (byte) which : type == short.class ? (short) which : type == int.class ? which : type == long.class
                        ? (1L << 40) + which : type == float.class ? 0.5f * which : type == double.class ? 0.25 * which
                                : type == String.class ? "s" + which : null;
    }
}
