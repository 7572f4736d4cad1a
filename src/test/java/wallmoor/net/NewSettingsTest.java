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

/** The real program told by SIGHUP of new settings, sound and broken ones, while queries are under way. */
public class NewSettingsTest {
    private static final String FRESH = "{\"Name\":\"fresh\",\"Aim\":1000000,\"GiveUp\":2000000,\"LateWorth\":0.1,"
            + "\"Repeat\":\"free\",\"Worth\":1.0}";
    private static final String ANY = FRESH.replace("fresh", "any") + ",";

    @Rule
    public final TemporaryFolder folder = new TemporaryFolder();
    private final List<AutoCloseable> open = new ArrayList<>();
    private final Map<String, AtomicInteger> sends = new ConcurrentHashMap<>();
    private HeldSocket socket;
    private HeldSocket.Run run;
    private String config;

    @Before
    public void start() throws Exception {
        socket = new HeldSocket();
        open.add(socket);
        var discovery = new StandIn.Discovery();
        open.add(discovery);
        var members = new ArrayList<String>();
        for (int i = 0; i < 6; i++) { // of one cell, so that a part that fails everywhere has somewhere to go
            var worker = new StandIn.Worker(id -> {
                int sent = sends.computeIfAbsent(id, k -> new AtomicInteger()).incrementAndGet();
                return id.startsWith("bad") || (id.startsWith("late-bad") && sent == 1) ? "err" : "ok";
            });
            worker.delayMillis = id -> id.startsWith("late") ? 500 : 0;
            open.add(worker);
            members.add(worker.member("w" + i, 0, "SERVING"));
        }
        config = Program.config("t", Program.SEED, socket.port, discovery.port(), String.join(",", members), 1024);
        run = socket.start(folder.newFolder().toPath(), config);
        run.awaitReady();
    }

    @After
    public void stop() throws Exception {
        for (AutoCloseable o : open) {
            o.close();
        }
    }

    private int ask(String id, String queryClass) throws Exception {
        return Client.post(socket.port, id, queryClass, 1900, 0).status;
    }

    private int sent(String id) {
        return sends.getOrDefault(id + ".0", new AtomicInteger()).get();
    }

    /** The first {@code was} replaced; it must be there. */
    private static String with(String text, String was, String is) {
        assertTrue(was, text.contains(was));
        return text.substring(0, text.indexOf(was)) + is + text.substring(text.indexOf(was) + was.length());
    }

    @Test(timeout = 60_000)
    public void aBrokenFileChangesNothingIsCountedAndNamed() throws Exception {
        String changed = with(config, "\"Name\":\"any\"", "\"Name\":\"fresh\"");
        var broken = new LinkedHashMap<String, String>(); // what the log must name, by the file
        broken.put("", "ROUTER_CONFIG");
        broken.put(changed.substring(0, changed.length() * 2 / 3), "ROUTER_CONFIG");
        for (String key : List.of("\"MaxAttempts\":4,", "\"Repeat\":\"free\",", "\"Aim\":1000000,",
                "\"DrainGrace\":2000000,", "\"MaxOpen\":60,", "\"Cancelling\":true,", "\"LateWorth\":0.1,",
                "\"CrossZone\":0.026,")) {
            broken.put(with(changed, key, ""), key.split("\"")[1]); // also those that the program could do without
        }
        for (String bad : List.of("0", "-1", "\"many\"")) {
            broken.put(with(changed, "\"MaxAttempts\":4", "\"MaxAttempts\":" + bad), "MaxAttempts");
            broken.put(with(changed, "\"GiveUp\":2000000", "\"GiveUp\":" + bad), "GiveUp");
            broken.put(with(changed, "\"Aim\":1000000", "\"Aim\":" + bad), "Aim");
        }
        assertTrue("more lines of one form would be held back by the log", broken.size() < 20);
        int failed = 0;
        for (var entry : broken.entrySet()) {
            int told = run.logText().length();
            run.reload(entry.getKey());
            long count = ++failed;
            String file = entry.getValue() + " in " + entry.getKey();
            Program.await("turned down: " + file, () -> run.admin().figure("reloads_failed") == count);
            String said = run.logText().substring(told);
            assertTrue(said + " names " + file, said.toLowerCase(Locale.ROOT)
                    .contains(entry.getValue().toLowerCase(Locale.ROOT)));
            assertEquals(file, 200, ask("old" + count, "any"));
            assertEquals(file, 400, ask("new" + count, "fresh"));
        }
        assertEquals(0, run.admin().figure("reloads_ok"));
        run.reload(changed);
        Program.await("taken", () -> run.admin().figure("reloads_ok") == 1);
        assertEquals(failed, run.admin().figure("reloads_failed"));
    }

    @Test(timeout = 60_000)
    public void classesAppearVanishAndGrowStricterAndWhatIsUnderWayKeepsItsOwn() throws Exception {
        assertNotEquals("four attempts", 200, ask("bad-before", "all"));
        assertEquals(4, sent("bad-before"));
        var vanishing = new Client(socket.port).send(Client.query("late-1", "any", 1900, 0));
        var freeStill = new Client(socket.port).send(Client.query("late-bad-2", "all", 1900, 0));
        open.add(vanishing);
        open.add(freeStill);
        Program.await("under way", () -> sent("late-1") == 1 && sent("late-bad-2") == 1);

        String stricter = with(with(config, ANY, ""), "\"Repeat\":\"free\"", "\"Repeat\":\"single_shot\"");
        stricter = with(stricter, "],\n \"Domain\"", "," + FRESH + "],\n \"Domain\"");
        stricter = with(stricter, "\"NeedByClass\":[0.5,1.0,1.0]", "\"NeedByClass\":[1.0,1.0,1.0]");
        stricter = with(stricter, "\"FloorByClass\":[0.5,1.0,1.0]", "\"FloorByClass\":[1.0,1.0,1.0]");
        run.reload(with(stricter, "\"MaxAttempts\":4", "\"MaxAttempts\":2"));
        Program.await("taken", () -> run.admin().figure("reloads_ok") == 1);
        assertEquals(200, ask("f1", "fresh"));
        assertEquals("vanished", 400, ask("a1", "any"));
        assertEquals("under way as the class vanished", 200, vanishing.answer().status);
        assertEquals("may be repeated, as its class could when it came", 200, freeStill.answer().status);
        assertEquals(2, sent("late-bad-2"));
        assertEquals("counted as what they came as", 1, run.admin().figure("served.any"));
        assertEquals("counted as what they came as", 1, run.admin().figure("served.all"));
        assertEquals("may not any more", 502, ask("bad-strict", "all"));
        assertEquals(1, sent("bad-strict"));
        assertNotEquals("may, but twice at most", 200, ask("bad-fresh", "fresh"));
        assertEquals(2, sent("bad-fresh"));
        assertTrue("figures of the new class", run.admin().figure("served.fresh") >= 1);

        run.reload(config); // and back
        Program.await("taken again", () -> run.admin().figure("reloads_ok") == 2);
        assertEquals(200, ask("a2", "any"));
        assertEquals(400, ask("f2", "fresh"));
        assertNotEquals(200, ask("bad-again", "all"));
        assertEquals(4, sent("bad-again"));
    }
}
