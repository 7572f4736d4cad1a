package wallmoor.net;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertTrue;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.junit.Test;

/** Tests the device commands of the command line against the edge of the real program. */
public class EdgeCommandTest extends EdgeFixture {
    private static String output;

    private static int run(String... args) {
        var console = wallmoor.cli.Console.run(args);
        output = console.out().trim();
        return console.code();
    }

    @Test
    public void addsDeviceSendsQueriesAndRevokesDeviceByCommandLine() throws Exception {
        start(id -> "ok");
        assertEquals(0, run("devices", "add", "--file", devices.toString(), "counter"));
        Path token = folder.newFile("token").toPath();
        Files.writeString(token, output + "\n");
        assertEquals("device exists already", 2, run("devices", "add", "--file", devices.toString(), "counter"));
        assertEquals(0, run("devices", "list", "--file", devices.toString()));
        assertEquals(List.of("d1", "d2", "counter"), output.lines().toList());
        Program.await("the edge accepts the new device",
                () -> run("device", "outcome", "--edge", "http://127.0.0.1:" + httpPort, "--token-file",
                        token.toString(), "--patience", "1", id()) != 2);
        String id = id();
        String[] askCommand = {"device", "ask", "--edge", "http://127.0.0.1:" + httpPort, "--token-file",
            token.toString(), "--class",
            "once", "--shards", "0", "--id", id, "lhr"};
        assertEquals(0, run(askCommand));
        String first = output;
        assertTrue(first, first.startsWith("{\"outcome\":\"answered\",\"complete\":true"));
        askCommand[3] = "coap://127.0.0.1:" + coapPort;
        assertEquals(0, run(askCommand));
        assertEquals(first, output);
        assertEquals(1, parts(""));
        askCommand[askCommand.length - 1] = "other";
        assertEquals("conflicts with the query sent under this id", 2, run(askCommand));
        askCommand[askCommand.length - 1] = "lhr";
        askCommand[9] = "1";
        askCommand[11] = id();
        assertEquals("refused: no worker holds shard 1", 6, run(askCommand));
        assertEquals(0, run("devices", "revoke", "--file", devices.toString(), "counter"));
        askCommand[3] = "http://127.0.0.1:" + httpPort;
        Program.await("the revoked device is refused", () -> run(askCommand) == 2);
    }
}
