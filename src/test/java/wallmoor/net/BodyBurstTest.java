package wallmoor.net;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertTrue;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.After;
import org.junit.Test;
import wallmoor.standin.Ports;

/** Guards against bodies within the limit whose many short values fill the heap, so that no client is answered. */
public class BodyBurstTest {
    /** The heap of a gatherer on the platform. */
    private static final int HEAP_MB = 48;
    private static final int BURST = 150;
    private static final int DEADLINE_MILLIS = 1_900;
    private static final long SOUND_NANOS = TimeUnit.SECONDS.toNanos(5);

    private Process program;

    @After
    public void stop() {
        if (program != null) {
            program.destroyForcibly().onExit().join();
        }
    }

    private static String query(int number) {
        String body = "{\"q\":\"x\",\"shards\":[" + "{},".repeat(21_700) + "{}]}";
        return "POST /api HTTP/1.1\r\nHost: h\r\nX-Request-Id: burst" + number
                + "\r\nX-Class: all\r\nX-Deadline: 1900m\r\nContent-Length: " + body.length() + "\r\n\r\n" + body;
    }

    /** Sends all requests but for their last bytes, then the last bytes, so that all are read at the same time. */
    private static List<Client> sendBurst(int port) throws IOException {
        var clients = new ArrayList<Client>();
        for (int i = 0; i < BURST; i++) {
            String text = query(i);
            clients.add(new Client(port).send(text.substring(0, text.length() - 1)));
        }
        for (Client client : clients) {
            client.send("}");
        }
        return clients;
    }

    @Test
    public void answersSoundClientsWhileBurstOfBodiesIsRefused() throws Exception {
        try (var worker = new StandIn.Worker(id -> "ok"); var discovery = new StandIn.Discovery()) {
            int port = Ports.free();
            program = Program.launch(
                    Program.config("t", Program.SEED, port, discovery.port(), worker.member("a", 0, "SERVING"), 1024),
                    null, HEAP_MB);
            Program.awaitReady(port);
            assertEquals(200, Client.post(port, "first", "all", DEADLINE_MILLIS, 0).status);
            List<Client> burst = sendBurst(port);
            long end = System.nanoTime() + SOUND_NANOS;
            for (int i = 0; System.nanoTime() < end; i++) {
                assertEquals(200, Client.post(port, "q" + i, "all", DEADLINE_MILLIS, 0).status);
            }
            for (Client client : burst) {
                int status = client.answer().status;
                assertTrue("refused: " + status, status == 400 || status == 503);
                client.close();
            }
            assertTrue("the program runs on", program.isAlive());
        }
    }
}
