package wallmoor.net;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertTrue;

import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.attribute.BasicFileAttributes;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import org.junit.After;
import org.junit.Rule;
import org.junit.Test;
import org.junit.rules.TemporaryFolder;
import wallmoor.standin.Ports;

/**
 * Guards against a second start beside a voter that replaces its log: versions accepted later are lost with the first
 * process, as in review case 7.
 */
public class SecondVoterStartTest {
    private static final int EXIT_STORE_IN_USE = 3;
    private static final int MAX_START_SECONDS = 20;

    @Rule
    public final TemporaryFolder folder = new TemporaryFolder();
    private final List<Process> processes = new ArrayList<>();
    private final List<String> log = new CopyOnWriteArrayList<>();

    @After
    public void stop() {
        processes.forEach(p -> p.destroyForcibly().onExit().join());
    }

    private Process start(Path operator) throws Exception {
        Process process = Program.launch(Program.config("m0", Program.SEED, Ports.free(), 1, "", 1024), operator);
        processes.add(process);
        Program.read(process, log);
        return process;
    }

    private Path operatorFile(Path directory) throws Exception {
        return Files.writeString(folder.newFile().toPath(), """
                rules:
                  voters: {m0: "127.0.0.1:%d", m1: "127.0.0.1:%d", m2: "127.0.0.1:%d"}
                  listen: 127.0.0.1:%d
                  term: 1s
                  directory: %s
                """.formatted(Ports.free(), Ports.free(), Ports.free(), Ports.free(), directory));
    }

    @Test(timeout = 60_000)
    public void endsSecondStartOfAVoterWithoutTouchingItsFiles() throws Exception {
        Path directory = folder.getRoot().toPath().resolve("rules");
        Path operator = operatorFile(directory);
        Path storedLog = directory.resolve("log");
        Process first = start(operator);
        Program.await("the log is created", () -> Files.exists(storedLog));
        Object fileBefore = Files.readAttributes(storedLog, BasicFileAttributes.class).fileKey();

        Process second = start(operator);
        assertTrue("the second process ends", second.waitFor(MAX_START_SECONDS, TimeUnit.SECONDS));

        assertEquals("the log is the same file", fileBefore,
                Files.readAttributes(storedLog, BasicFileAttributes.class).fileKey());
        assertEquals(EXIT_STORE_IN_USE, second.exitValue());
        Program.await("the error names the directory",
                () -> log.stream().anyMatch(l -> l.contains("rules.directory " + directory + " is in use")));
        assertTrue("the first one runs on", first.isAlive());
        first.destroyForcibly().onExit().join();
        Process next = start(operator);
        Thread.sleep(TimeUnit.SECONDS.toMillis(2));
        assertTrue("a start after the end of the first one runs", next.isAlive());
    }
}
