package wallmoor.consensus;

import static org.junit.Assert.assertEquals;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HexFormat;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Golden files with bytes written by an earlier version of the program. Each line has a name and the bytes in
 * hexadecimal.
 */
final class Golden {
    private static final Path FOLDER = Path.of("src/test/resources/golden/consensus");

    private Golden() {}

    /** Returns the samples of a file in their order, by name. */
    static Map<String, byte[]> read(String file) throws IOException {
        Map<String, byte[]> samples = new LinkedHashMap<>();
        for (String line : Files.readAllLines(FOLDER.resolve(file))) {
            String[] parts = line.split(" ", 2);
            byte[] previous = samples.put(parts[0], HexFormat.of().parseHex(parts[1]));
            assertEquals("duplicate sample " + parts[0], null, previous);
        }
        return samples;
    }

    static String hex(byte[] bytes) {
        return HexFormat.of().formatHex(bytes);
    }

    /** Returns the content of a golden file with these samples. */
    static String lines(Map<String, byte[]> samples) {
        var lines = new StringBuilder();
        samples.forEach((name, bytes) -> lines.append(name).append(' ').append(hex(bytes)).append('\n'));
        return lines.toString();
    }

    /** Asserts that the samples equal those of the file in order and content. */
    static void assertSame(String file, Map<String, byte[]> written) throws IOException {
        assertEquals(Files.readString(FOLDER.resolve(file)), lines(written));
    }
}
