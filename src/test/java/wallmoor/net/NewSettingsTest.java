package wallmoor.net;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertNotEquals;
import static org.junit.Assert.assertTrue;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.After;
import org.junit.Before;
import org.junit.Rule;
import org.junit.Test;
import org.junit.rules.TemporaryFolder;

/** The real program reloads valid and broken settings on SIGHUP while queries are in flight. */
public class NewSettingsTest {
    private static final String FRESH_CLASS = "{\"Name\":\"fresh\",\"Aim\":1000000,\"GiveUp\":2000000,"
            + "\"LateWorth\":0.1,\"Repeat\":\"free\",\"Worth\":1.0}";
    private static final String ANY_CLASS_ENTRY = FRESH_CLASS.replace("fresh", "any") + ",";

    @Rule
    public final TemporaryFolder folder = new TemporaryFolder();
    private final List<AutoCloseable> resources = new ArrayList<>();
    private final Map<String, AtomicInteger> attemptsByPart = new ConcurrentHashMap<>();
    private HeldSocket socket;
    private HeldSocket.Run run;
    private String config;

    @Before
    public void start() throws Exception {
        socket = new HeldSocket();
        resources.add(socket);
        var discovery = new StandIn.Discovery();
        resources.add(discovery);
        var members = new ArrayList<String>();
        for (int i = 0; i < 6; i++) { // all in one cell, so that a failed part can be retried elsewhere
            var worker = new StandIn.Worker(id -> {
                int attempt = attemptsByPart.computeIfAbsent(id, k -> new AtomicInteger()).incrementAndGet();
                return id.startsWith("bad") || (id.startsWith("late-bad") && attempt == 1) ? "err" : "ok";
            });
            worker.delayMillis = id -> id.startsWith("late") ? 500 : 0;
            resources.add(worker);
            members.add(worker.member("w" + i, 0, "SERVING"));
        }
        config = Program.config("t", Program.SEED, socket.port, discovery.port(), String.join(",", members), 1024);
        run = socket.start(folder.newFolder().toPath(), config);
        run.awaitReady();
    }

    @After
    public void stop() throws Exception {
        for (AutoCloseable resource : resources) {
            resource.close();
        }
    }

    private int post(String id, String queryClass) throws Exception {
        return Client.post(socket.port, id, queryClass, 1900, 0).status;
    }

    private int attempts(String id) {
        return attemptsByPart.getOrDefault(id + ".0", new AtomicInteger()).get();
    }

    /** Replaces the first {@code target}, which the text must contain. */
    private static String replaceFirst(String text, String target, String replacement) {
        assertTrue(target, text.contains(target));
        return text.substring(0, text.indexOf(target)) + replacement
                + text.substring(text.indexOf(target) + target.length());
    }

    @Test(timeout = 60_000)
    public void rejectsCountsAndLogsBrokenFiles() throws Exception {
        String changed = replaceFirst(config, "\"Name\":\"any\"", "\"Name\":\"fresh\"");
        var broken = new LinkedHashMap<String, String>(); // by broken file, the text that the log must contain
        broken.put("", "ROUTER_CONFIG");
        broken.put(changed.substring(0, changed.length() * 2 / 3), "ROUTER_CONFIG");
        for (String key : List.of("\"MaxAttempts\":4,", "\"Repeat\":\"free\",", "\"Aim\":1000000,",
                "\"DrainGrace\":2000000,", "\"MaxOpen\":60,", "\"Cancelling\":true,", "\"LateWorth\":0.1,",
                "\"CrossZone\":0.026,")) {
            broken.put(replaceFirst(changed, key, ""), key.split("\"")[1]); // also keys that could have a default
        }
        for (String bad : List.of("0", "-1", "\"many\"")) {
            broken.put(replaceFirst(changed, "\"MaxAttempts\":4", "\"MaxAttempts\":" + bad), "MaxAttempts");
            broken.put(replaceFirst(changed, "\"GiveUp\":2000000", "\"GiveUp\":" + bad), "GiveUp");
            broken.put(replaceFirst(changed, "\"Aim\":1000000", "\"Aim\":" + bad), "Aim");
        }
        assertTrue("the log suppresses further lines of the same form", broken.size() < 20);
        int failed = 0;
        for (var entry : broken.entrySet()) {
            int logLength = run.logText().length();
            run.reload(entry.getKey());
            long count = ++failed;
            String description = entry.getValue() + " in " + entry.getKey();
            Program.await("rejected: " + description, () -> run.admin().figure("reloads_failed") == count);
            String logged = run.logText().substring(logLength);
            assertTrue(logged + " names " + description, logged.toLowerCase(Locale.ROOT)
                    .contains(entry.getValue().toLowerCase(Locale.ROOT)));
            assertEquals(description, 200, post("old" + count, "any"));
            assertEquals(description, 400, post("new" + count, "fresh"));
        }
        assertEquals(0, run.admin().figure("reloads_ok"));
        run.reload(changed);
        Program.await("accepted", () -> run.admin().figure("reloads_ok") == 1);
        assertEquals(failed, run.admin().figure("reloads_failed"));
    }

    @Test(timeout = 60_000)
    public void appliesAddedRemovedAndStricterClassesToNewQueriesOnly() throws Exception {
        assertNotEquals("four attempts", 200, post("bad-before", "all"));
        assertEquals(4, attempts("bad-before"));
        var ofRemovedClass = new Client(socket.port).send(Client.query("late-1", "any", 1900, 0));
        var ofStricterClass = new Client(socket.port).send(Client.query("late-bad-2", "all", 1900, 0));
        resources.add(ofRemovedClass);
        resources.add(ofStricterClass);
        Program.await("queries in flight", () -> attempts("late-1") == 1 && attempts("late-bad-2") == 1);

        String stricter = replaceFirst(replaceFirst(config, ANY_CLASS_ENTRY, ""), "\"Repeat\":\"free\"",
                "\"Repeat\":\"single_shot\"");
        stricter = replaceFirst(stricter, "],\n \"Domain\"", "," + FRESH_CLASS + "],\n \"Domain\"");
        stricter = replaceFirst(stricter, "\"NeedByClass\":[0.5,1.0,1.0]", "\"NeedByClass\":[1.0,1.0,1.0]");
        stricter = replaceFirst(stricter, "\"FloorByClass\":[0.5,1.0,1.0]", "\"FloorByClass\":[1.0,1.0,1.0]");
        run.reload(replaceFirst(stricter, "\"MaxAttempts\":4", "\"MaxAttempts\":2"));
        Program.await("accepted", () -> run.admin().figure("reloads_ok") == 1);
        assertEquals(200, post("f1", "fresh"));
        assertEquals("the class is removed", 400, post("a1", "any"));
        assertEquals("in flight when its class is removed", 200, ofRemovedClass.answer().status);
        assertEquals("retried, as its class allowed on arrival", 200, ofStricterClass.answer().status);
        assertEquals(2, attempts("late-bad-2"));
        assertEquals("counted under the class on arrival", 1, run.admin().figure("served.any"));
        assertEquals("counted under the class on arrival", 1, run.admin().figure("served.all"));
        assertEquals("not retried any more", 502, post("bad-strict", "all"));
        assertEquals(1, attempts("bad-strict"));
        assertNotEquals("retried, with two attempts at most", 200, post("bad-fresh", "fresh"));
        assertEquals(2, attempts("bad-fresh"));
        assertTrue("metrics of the new class", run.admin().figure("served.fresh") >= 1);

        run.reload(config); // the first settings again
        Program.await("accepted again", () -> run.admin().figure("reloads_ok") == 2);
        assertEquals(200, post("a2", "any"));
        assertEquals(400, post("f2", "fresh"));
        assertNotEquals(200, post("bad-again", "all"));
        assertEquals(4, attempts("bad-again"));
    }
}
