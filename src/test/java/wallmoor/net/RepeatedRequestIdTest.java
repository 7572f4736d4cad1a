package wallmoor.net;

import static org.junit.Assert.assertEquals;

import java.util.List;
import org.junit.Test;

/** Guards against a hold that begins twice, as its client left and sent the same id again on another connection. */
public class RepeatedRequestIdTest {
    private static final int WORKER_MILLIS = 40;
    private static final int MAX_PAUSE_MILLIS = 35;
    private static final int PAUSE_STEP_MILLIS = 5;
    private static final int DEADLINE_MILLIS = 1_900;

    @Test
    public void beginsSingleShotPartOnceThoughItsIdComesAgain() throws Exception {
        try (var worker = new StandIn.Worker(id -> "ok"); var discovery = new StandIn.Discovery();
                var program = new Program(discovery.port(), worker.member("a", 0, "SERVING"), null)) {
            worker.delayMillis = id -> WORKER_MILLIS;
            for (int pause = 0; pause <= MAX_PAUSE_MILLIS; pause += PAUSE_STEP_MILLIS) {
                String id = "hold" + pause;
                try (var client = new Client(program.port)) {
                    client.send(Client.query(id, "once", DEADLINE_MILLIS, 0));
                    Thread.sleep(pause);
                }
                for (int i = 0; i < 3; i++) {
                    Client.post(program.port, id, "once", DEADLINE_MILLIS, 0);
                    Thread.sleep(WORKER_MILLIS);
                }
                assertEquals("after " + pause + " ms", 1, List.copyOf(worker.seen).stream()
                        .filter(frame -> frame.startsWith("Q" + id + ".")).count());
            }
            String free = "free";
            for (int i = 0; i < 2; i++) {
                assertEquals("a part that may run twice", 200,
                        Client.post(program.port, free, "all", DEADLINE_MILLIS, 0).status);
            }
        }
    }
}
