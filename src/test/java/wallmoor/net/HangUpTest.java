package wallmoor.net;

import static org.junit.Assert.assertTrue;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import org.junit.Test;
import wallmoor.standin.Ports;

/** Guards against a reload by SIGHUP that has no effect unnoticed, because the process started with SIGHUP ignored. */
public class HangUpTest {
    @Test
    public void warnsAtStartIfSighupIsIgnored() throws Exception {
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
            Program.await("the warning is logged", () -> log.stream().anyMatch(l -> l.contains("SIGHUP is ignored")));
            Program.signal(process, "HUP");
            Program.await("the program serves", () -> log.stream().anyMatch(l -> l.contains("serving as t")));
            assertTrue("process still runs after SIGHUP", process.isAlive());
        } finally {
            process.destroyForcibly().waitFor();
            java.nio.file.Files.delete(config);
        }
    }
}
