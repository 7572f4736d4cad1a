package wallmoor.operator;

import static org.junit.Assert.assertArrayEquals;
import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.junit.Test;
import wallmoor.standin.LogCapture;

/** Finds, reads and rewrites the ban file that an earlier version left in the shared directory, byte for byte. */
public class BanFileGoldenTest {
    @Test
    public void rewritesGoldenFileByteForByte() throws Exception {
        try (var log = new LogCapture("wallmoor.operator")) {
            readAndWrite();
            assertEquals("no error is logged", List.of(), log.lines());
        }
    }

    private static void readAndWrite() throws IOException {
        Path directory = Files.createTempDirectory("bans");
        byte[] golden = golden();
        Files.write(directory.resolve("bans"), golden);
        var file = new BanFile(directory);
        assertTrue(file.refresh());
        assertEquals(5, file.content().size());
        Files.delete(directory.resolve("bans"));
        assertTrue(file.write(file.content()));
        assertArrayEquals(golden, Files.readAllBytes(directory.resolve("bans")));
        try (var remaining = Files.list(directory)) {
            assertEquals(List.of(directory.resolve("bans")), remaining.toList());
        }
    }

    private static byte[] golden() throws IOException {
        try (var in = BanFileGoldenTest.class.getResourceAsStream("/golden/bans/bans")) {
            return in.readAllBytes();
        }
    }
}
