package wallmoor.consensus;

import static org.junit.Assert.assertEquals;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HexFormat;
import java.util.LinkedHashMap;
import java.util.Map;

/** Bytes that an earlier version of the program wrote: a file of lines, each a name and its bytes in hexadecimal. */
final class Golden {
    private static final Path FOLDER = Path.of("src/test/resources/golden/consensus");

    private Golden() {}

    /** The samples of a file in their order, by name. */
    static Map<String, byte[]> read(String file) throws IOException {
        Map<String, byte[]> samples = new LinkedHashMap<>();
        for (String line : Files.readAllLines(FOLDER.resolve(file))) {
            String[] parts = line.split(" ", 2);
            byte[] earlier = samples.put(parts[0], HexFormat.of().parseHex(parts[1]));
            assertEquals("two samples are named " + parts[0], null, earlier);
        }
        return samples;
    }

    static String hex(byte[] bytes) {
        return HexFormat.of().formatHex(bytes);
    }

    /** The lines of a golden file with these samples. */
    static String lines(Map<String, byte[]> samples) {
        var lines = new StringBuilder();
        samples.forEach((name, bytes) -> lines.append(name).append(' ').append(hex(bytes)).append('\n'));
        return lines.toString();
    }

    /** The samples are those of the file, in the same order and to the byte. */
    static void assertSame(String file, Map<String, byte[]> written) throws IOException {
        assertEquals(Files.readString(FOLDER.resolve(file)), lines(written));
    }
}
