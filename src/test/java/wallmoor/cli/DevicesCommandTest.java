package wallmoor.cli;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertFalse;
import static org.junit.Assert.assertTrue;

import java.io.IOException;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.Rule;
import org.junit.Test;
import org.junit.rules.TemporaryFolder;

/** Guards against a device that is lost because two commands change the file of devices at the same time. */
public class DevicesCommandTest {
    private static final int MAX_SECONDS = 20;

    @Rule
    public final TemporaryFolder folder = new TemporaryFolder();

    private static Process add(Path file, String device) throws IOException {
        String java = ProcessHandle.current().info().command().orElse("java");
        return new ProcessBuilder(List.of(java, "-cp", System.getProperty("java.class.path"), "wallmoor.Main",
                "devices", "add", "--file", file.toString(), device)).redirectErrorStream(true).start();
    }

    /** The lock of the test stands for another command between its reading and its writing of the file. */
    @Test
    public void waitsUntilAnotherCommandHasChangedTheFile() throws Exception {
        Path file = folder.getRoot().toPath().resolve("devices.csv");
        Process second;
        try (var other = FileChannel.open(folder.getRoot().toPath().resolve("devices.csv.lock"),
                StandardOpenOption.CREATE, StandardOpenOption.WRITE)) {
            other.lock();
            second = add(file, "second");
            assertFalse("it changes the file beside another command", second.waitFor(2, TimeUnit.SECONDS));
            Files.writeString(file, "device,sha256\nfirst," + "0".repeat(64) + "\n");
        }
        assertTrue(second.waitFor(MAX_SECONDS, TimeUnit.SECONDS));
        assertEquals(new String(second.getInputStream().readAllBytes(), java.nio.charset.StandardCharsets.UTF_8), 0,
                second.exitValue());
        assertEquals(List.of("device", "first", "second"),
                Files.readAllLines(file).stream().map(l -> l.split(",")[0]).toList());
    }
}
