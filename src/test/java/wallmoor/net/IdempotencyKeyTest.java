package wallmoor.net;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertFalse;
import static org.junit.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Function;
import java.util.function.UnaryOperator;
import org.junit.After;
import org.junit.Test;

/**
 * Guards against a payment that is applied twice because no attempt carries the idempotency key, by which workers
 * recognise a repeat. The real program as a process; class {@code once} has keys where a test says so.
 */
public class IdempotencyKeyTest {
    private static final String KEY = "5c0f6e1a2b3d4c59a8b7c6d5e4f30211";

    private final List<AutoCloseable> resources = new ArrayList<>();
    private StandIn.Discovery discovery;
    private StandIn.Worker worker;

    private void startWorker(Function<String, String> answer) throws Exception {
        discovery = new StandIn.Discovery();
        resources.add(discovery);
        worker = new StandIn.Worker(answer);
        resources.add(worker);
    }

    private Program startProgram(UnaryOperator<String> change) throws Exception {
        // two entries for one worker, so that a part can be sent again elsewhere
        var program = new Program(discovery.port(),
                worker.member("a", 0, "SERVING") + "," + worker.member("b", 0, "SERVING"), null, 1024, change);
        resources.add(program);
        return program;
    }

    @After
    public void stop() throws Exception {
        for (AutoCloseable resource : resources) {
            resource.close();
        }
    }

    private static String query(String id, String queryClass, String key) {
        return Client.query(id, queryClass, 1900, 0).replace("X-Class", "Idempotency-Key: " + key + "\r\nX-Class");
    }

    private static int post(Program program, String query) throws Exception {
        try (var client = new Client(program.port)) {
            return client.send(query).answer().status;
        }
    }

    /** Returns the frames that the worker received for the part of a query. */
    private List<String> frames(String queryId) {
        synchronized (worker.seen) {
            return worker.seen.stream().filter(frame -> frame.startsWith("Q" + queryId + ".0 ")).toList();
        }
    }

    private static void assertKey(List<String> frames, int count) {
        assertEquals(frames.toString(), count, frames.size());
        for (String frame : frames) {
            assertTrue(frame, frame.matches("(?s)Q\\S+ 0 d=\\d+,k=" + KEY + " 8\nc41e77d0"));
        }
    }

    @Test
    public void clientsRepeatCarriesTheSameKeyAfterItsGathererDied() throws Exception {
        startWorker(id -> id.startsWith("first") ? null : "ok");
        Program dying = startProgram(Program::withKeyedClass);
        Program other = startProgram(Program::withKeyedClass);
        try (var client = new Client(dying.port)) {
            client.send(query("first", "once", KEY));
            Program.await("the worker has the payment", () -> frames("first").size() == 1);
            dying.close();
        }
        assertEquals(200, post(other, query("repeat", "once", KEY)));
        assertKey(frames("first"), 1);
        assertKey(frames("repeat"), 1);
    }

    @Test
    public void eachRetryCarriesTheKey() throws Exception {
        var calls = new AtomicInteger();
        startWorker(id -> switch (calls.getAndIncrement()) {
            case 0 -> "err";
            case 1 -> "break";
            default -> "ok";
        });
        Program program = startProgram(Program::withKeyedClass);
        assertEquals(200, post(program, query("r", "once", KEY)));
        assertKey(frames("r"), 3);
    }

    @Test
    public void parallelAttemptCarriesTheKey() throws Exception {
        var calls = new AtomicInteger();
        startWorker(id -> id.startsWith("p") && calls.getAndIncrement() == 0 ? null : "ok");
        Program program = startProgram(config -> Program.withKeyedClass(config)
                .replace("\"ParallelTries\":false", "\"ParallelTries\":true"));
        for (int i = 0; i < 20; i++) { // the program learns how soon an answer is due
            assertEquals(200, post(program, query("warm" + i, "once", KEY)));
        }
        assertEquals(200, post(program, query("p", "once", KEY)));
        assertKey(frames("p"), 2);
    }

    @Test
    public void reloadedClassDecidesWhetherTheKeyIsSent() throws Exception {
        startWorker(id -> "ok");
        Program program = startProgram(UnaryOperator.identity());
        assertEquals(200, post(program, query("before", "once", KEY)));
        String members = worker.member("a", 0, "SERVING") + "," + worker.member("b", 0, "SERVING");
        String config = Program.config("t", Program.SEED, program.port, discovery.port(), members, 1024);
        reload(program, Program.withKeyedClass(config), 1);
        assertEquals(200, post(program, query("keyed", "once", KEY)));
        reload(program, config, 2);
        assertEquals(200, post(program, query("after", "once", KEY)));
        assertFalse("a class without keys", frames("before").get(0).contains(KEY));
        assertKey(frames("keyed"), 1);
        assertFalse("a class without keys again", frames("after").get(0).contains(KEY));
    }

    private void reload(Program program, String config, int count) throws Exception {
        program.reload(discovery.port(), config);
        Program.await("reload " + count, () -> {
            synchronized (program.log) {
                return program.log.stream().filter(line -> line.contains("configuration read again")).count() == count;
            }
        });
    }

    @Test
    public void queryWithoutKeyIsServedButNotResentOnceItMayHaveRun() throws Exception {
        startWorker(id -> id.startsWith("failing") ? "err" : "ok");
        Program program = startProgram(Program::withKeyedClass);
        assertEquals(200, Client.post(program.port, "plain", "once", 1900, 0).status);
        assertFalse(frames("plain").get(0).contains(",k="));
        assertEquals(502, Client.post(program.port, "failing", "once", 1900, 0).status);
        assertEquals("no worker could recognise a repeat", 1, frames("failing").size());
    }

    @Test
    public void malformedKeyIsRejectedByNameWhereTheClassHasKeys() throws Exception {
        startWorker(id -> "ok");
        Program program = startProgram(Program::withKeyedClass);
        for (String key : List.of("", "a b", "a,d=9", "\u00e9", "x".repeat(256))) {
            try (var client = new Client(program.port)) {
                var answer = client.send(query("bad", "once", key)).answer();
                assertEquals(key, 400, answer.status);
                assertTrue(answer.body, answer.body.contains("Idempotency-Key"));
            }
            assertEquals("a class without keys ignores the header", 200, post(program, query("ok", "all", key)));
        }
        assertEquals("nothing was sent", 0, frames("bad").size());
        assertEquals(200, post(program, query("long", "once", "x".repeat(255))));
    }
}
