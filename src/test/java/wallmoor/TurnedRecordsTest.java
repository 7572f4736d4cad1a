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
 * The record methods that the build generates (src/build/java) behave as those of the JDK, and the rewritten classes
 * pass verification.
 */
public class TurnedRecordsTest {
    private static final int MIN_CHECKED_RECORDS = 30;

    @Test
    public void generatedRecordMethodsBehaveAsThoseOfTheJdk() throws Exception {
        int checked = 0;
        for (Class<?> type : loadRewrittenClasses()) {
            if (type.isRecord() && hasMethod(type, "record$equals") && check(type)) {
                checked++;
            }
        }
        assertTrue("checked " + checked, checked >= MIN_CHECKED_RECORDS);
    }

    /**
     * Returns the classes that the build rewrote: those of lambdas, and records. Initializes them, which fails for a
     * class that doesn't verify.
     */
    private static List<Class<?>> loadRewrittenClasses() throws Exception {
        Path root = Path.of("target/classes");
        List<Class<?>> rewritten = new ArrayList<>();
        try (Stream<Path> files = Files.walk(root.resolve("wallmoor"))) {
            for (Path file : files.filter(f -> f.toString().endsWith(".class")).toList()) {
                String name = root.relativize(file).toString().replace(".class", "").replace('/', '.');
                Class<?> type = Class.forName(name, false, TurnedRecordsTest.class.getClassLoader());
                if (name.contains("$$L") || type.isRecord()) {
                    rewritten.add(Class.forName(name, true, TurnedRecordsTest.class.getClassLoader()));
                }
            }
        }
        return rewritten;
    }

    private static boolean hasMethod(Class<?> type, String method) {
        return Arrays.stream(type.getDeclaredMethods()).anyMatch(m -> m.getName().equals(method));
    }

    /** Checks the methods of a record type; returns false if its constructor rejects the test values. */
    private static boolean check(Class<?> type) throws ReflectiveOperationException {
        RecordComponent[] components = type.getRecordComponents();
        Class<?>[] types = Arrays.stream(components).map(RecordComponent::getType).toArray(Class<?>[]::new);
        Constructor<?> constructor = type.getDeclaredConstructor(types);
        constructor.setAccessible(true);
        Object original;
        Object equalRecord;
        try {
            original = constructor.newInstance(Arrays.stream(types).map(t -> value(t, 1)).toArray());
            equalRecord = constructor.newInstance(Arrays.stream(types).map(t -> value(t, 1)).toArray());
        } catch (InvocationTargetException e) {
            return false; // the constructor rejects the test values
        }
        int hash = 0;
        var text = new StringBuilder(type.getSimpleName()).append('[');
        for (RecordComponent component : components) {
            component.getAccessor().setAccessible(true);
            Object value = component.getAccessor().invoke(original);
            hash = 31 * hash + Objects.hashCode(value);
            text.append(component == components[0] ? "" : ", ").append(component.getName()).append('=').append(value);
        }
        assertEquals(type.getName(), original, equalRecord);
        assertNotEquals(type.getName(), original, "");
        if (hasMethod(type, "record$hashCode")) {
            assertEquals(type.getName(), hash, original.hashCode());
        }
        if (hasMethod(type, "record$toString")) {
            assertEquals(text.append(']').toString(), original.toString());
        }
        for (int i = 0; i < types.length; i++) {
            int index = i;
            Object[] other = Arrays.stream(types).map(t -> value(t, 1)).toArray();
            other[index] = value(types[index], 2);
            try {
                assertEquals(type.getName() + "." + components[i].getName(),
                        Objects.equals(other[index], value(types[index], 1)),
                        original.equals(constructor.newInstance(other)));
            } catch (InvocationTargetException e) {
                // the constructor rejects the test values
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
