package wallmoor.net;

import static org.junit.Assert.assertTrue;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import org.junit.Test;
import wallmoor.standin.Ports;

/** A process that was started with SIGHUP ignored can't be told to read its configuration again, and says so. */
public class HangUpTest {
    @Test
    public void whoIsStartedWithTheSignalIgnoredSaysSo() throws Exception {
        var config = java.nio.file.Files.createTempFile("wallmoor", ".json");
        java.nio.file.Files.writeString(config, Program.config("t", Program.SEED, Ports.free(), Ports.free(), "", 128));
        var command = new ArrayList<>(List.of("/bin/sh", "-c", "trap '' HUP; exec \"$@\"", "sh"));
        command.addAll(Program.command());
        var builder = new ProcessBuilder(command);
        builder.environment().put("ROUTER_CONFIG", config.toString());
        Process process = builder.start();
        List<String> log = Collections.synchronizedList(new ArrayList<>());
        Program.read(process, log);
        try {
            Program.await("the warning", () -> log.stream().anyMatch(l -> l.contains("SIGHUP is ignored")));
            Program.signal(process, "HUP");
            Program.await("serving", () -> log.stream().anyMatch(l -> l.contains("serving as t")));
            assertTrue("it goes on", process.isAlive());
        } finally {
            process.destroyForcibly().waitFor();
            java.nio.file.Files.delete(config);
        }
    }
}
