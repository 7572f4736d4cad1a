package wallmoor.net;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertTrue;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.junit.Test;

/** The edge asked by the command line. */
public class EdgeCommandTest extends EdgeFixture {
    private static String said;

    private static int command(String... args) {
        var console = wallmoor.cli.Console.run(args);
        said = console.out().trim();
        return console.code();
    }

    @Test
    public void aPersonAddsADeviceAndAsksByTheCommandLine() throws Exception {
        start(id -> "ok");
        assertEquals(0, command("devices", "add", "--file", devices.toString(), "counter"));
        Path token = folder.newFile("token").toPath();
        Files.writeString(token, said + "\n");
        assertEquals("there already", 2, command("devices", "add", "--file", devices.toString(), "counter"));
        assertEquals(0, command("devices", "list", "--file", devices.toString()));
        assertEquals(List.of("d1", "d2", "counter"), said.lines().toList());
        Program.await("known",
                () -> command("device", "outcome", "--edge", "http://127.0.0.1:" + httpPort, "--token-file",
                        token.toString(), "--patience", "1", id()) != 2);
        String id = id();
        String[] ask = {"device", "ask", "--edge", "http://127.0.0.1:" + httpPort, "--token-file", token.toString(),
            "--class",
            "once", "--shards", "0", "--id", id, "lhr"};
        assertEquals(0, command(ask));
        String first = said;
        assertTrue(first, first.startsWith("{\"outcome\":\"answered\",\"complete\":true"));
        ask[3] = "coap://127.0.0.1:" + coapPort;
        assertEquals(0, command(ask));
        assertEquals(first, said);
        assertEquals(1, parts(""));
        ask[ask.length - 1] = "other";
        assertEquals("a conflict", 2, command(ask));
        ask[ask.length - 1] = "lhr";
        ask[9] = "1";
        ask[11] = id();
        assertEquals("refused: nobody holds it", 6, command(ask));
        assertEquals(0, command("devices", "revoke", "--file", devices.toString(), "counter"));
        ask[3] = "http://127.0.0.1:" + httpPort;
        Program.await("refused", () -> command(ask) == 2);
    }
}
