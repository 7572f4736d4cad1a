package wallmoor.net;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertTrue;

import java.io.IOException;
import java.util.Map;
import org.junit.Test;

/** Guards against a hold that begins at both processes of an upgrade, as its id came again after its client left. */
public class RepeatedIdInUpgradeTest extends HeldFleet {
    private static final int IDS = 40;
    private static final int REPEATS = 4;
    private static final int MAX_PAUSE_MILLIS = 36;
    private static final int DEADLINE_MILLIS = 1_900;

    public RepeatedIdInUpgradeTest() {
        super(40);
    }

    private HeldSocket.Run start(String name) throws Exception {
        String members = member(0, "SERVING") + "," + member(1, "SERVING");
        return socket.start(temporary, Program.config(name, Program.SEED + name.hashCode(), socket.port,
                discovery.port(), members, 1024));
    }

    /** Sends a hold and leaves after a pause, then sends the same id again on new connections. */
    private void sendRepeatedly(String id, int pauseMillis) throws Exception {
        try (var client = new Client(socket.port)) {
            client.send(Client.query(id, "once", DEADLINE_MILLIS, 0));
            Thread.sleep(pauseMillis);
        }
        repeat(id);
    }

    private void repeat(String id) {
        for (int i = 0; i < REPEATS; i++) {
            try {
                Client.post(socket.port, id, "once", DEADLINE_MILLIS, 0);
            } catch (IOException e) {
                // its process closed the connection
            }
        }
    }

    @Test(timeout = 60_000)
    public void beginsSingleShotPartAtOneOfTwoProcesses() throws Exception {
        HeldSocket.Run old = start("old");
        old.awaitReady();
        for (int i = 0; i < IDS; i++) {
            sendRepeatedly("hold-before" + i, i % MAX_PAUSE_MILLIS);
        }
        HeldSocket.Run next = start("next");
        next.awaitReady();
        Program.await("both know of each other", () -> old.logText().contains("processes=2"));
        for (int i = 0; i < IDS; i++) {
            repeat("hold-before" + i);
            sendRepeatedly("hold" + i, i % MAX_PAUSE_MILLIS);
        }
        assertEquals(Map.of(), repeatedParts("hold"));
        old.signal("TERM");
        Program.await("the new process is alone", () -> next.logText().contains("processes=1"));
        for (int i = 0; i < IDS; i++) {
            repeat("hold" + i);
        }
        assertEquals("ids of the process that has ended", Map.of(), repeatedParts("hold"));
        assertTrue(next.isRunning());
    }
}
