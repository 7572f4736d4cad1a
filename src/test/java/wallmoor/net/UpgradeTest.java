package wallmoor.net;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertTrue;

import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.junit.Test;

/** Replaces the real program by a second process on the inherited listening socket while clients send queries. */
public class UpgradeTest extends HeldFleet {
    /** The platform gives a new process 6 s to be ready; twice that allows for a loaded machine. */
    private static final long READY_MILLIS = 2 * 6_000;
    /** From SIGTERM to SIGKILL: the longest client timeout in {@link Program#SETTINGS}, and 0.7 s. */
    private static final long SHUTDOWN_MILLIS = 2_700;
    /** How long a connection is idle after SIGTERM; its last query then still has more time than the aim. */
    private static final long IDLE_MILLIS = 500;
    private static final int CLIENTS = 18;
    private static final long PAUSE_MILLIS = 80;
    private static final List<String> CLASSES = List.of("any", "all", "once");
    /** The number of queries without a complete response that are allowed for each upgrade. */
    private static final int MAX_BROKEN = 2;
    /**
     * The drain grace of the settings, after which both processes must observe a ban: the parts assigned before it have
     * been sent, and each process has read the ban that the other received.
     */
    private static final long GRACE_MILLIS = 2_000;
    /** Each of two processes may open half of this, which is enough for all {@link #CLIENTS}. */
    private static final int MAX_OPEN = 120;

    public UpgradeTest() {
        super(60);
    }

    private String member(int worker) {
        return member(worker, "SERVING");
    }

    private HeldSocket.Run start(String name) throws Exception {
        String members = member(0) + "," + member(1) + "," + member(2) + "," + member(3);
        return socket.start(temporary,
                Program.config(name, Program.SEED + name.hashCode(), socket.port, discovery.port(),
                        members, 1024).replace("\"MaxOpen\":60", "\"MaxOpen\":" + MAX_OPEN));
    }

    /**
     * Replaces a process by a new one and returns that.
     *
     * @param pauseMillis how long the old process is stopped after SIGTERM, or 0
     */
    private HeldSocket.Run replace(HeldSocket.Run old, String name, long pauseMillis) throws Exception {
        var idle = new Client(socket.port).send(Client.query("rests-" + name, "all", 1900, 0));
        open.add(idle);
        assertEquals(200, idle.answer().status);
        HeldSocket.Run next = start(name);
        long took = next.awaitReady();
        assertTrue("ready after " + took + " ms", took < READY_MILLIS);
        assertTrue("the old process exited before SIGTERM", old.isRunning());
        String last = Client.query("last-" + name, "all", 1900, 0);
        old.signal("TERM");
        long signalledAt = System.nanoTime();
        Program.await("shutdown logged", () -> old.logText().contains("told to leave"));
        Thread.sleep(PAUSE_MILLIS / 2); // the old process still has open queries and connections
        if (pauseMillis > 0) {
            old.signal("STOP");
            Thread.sleep(pauseMillis / 2);
            idle.send(last);
            Thread.sleep(pauseMillis / 2);
            old.signal("CONT");
        } else {
            for (int i = 0; i < 5; i++) {
                var answer = Client.post(socket.port, "fresh-" + name + i, "all", 1900, 0);
                assertEquals("answered by the new process: " + answer.head, null, answer.header("Connection"));
            }
            Thread.sleep(IDLE_MILLIS);
            idle.send(last);
        }
        var answer = idle.answer();
        assertEquals("an idle connection is served, then closed", 200, answer.status);
        assertEquals("close", answer.header("Connection"));
        while (old.isRunning()
                && System.nanoTime() - signalledAt < TimeUnit.MILLISECONDS.toNanos(SHUTDOWN_MILLIS + pauseMillis)) {
            Thread.sleep(20);
        }
        old.signal("KILL");
        old.end().get(5, TimeUnit.SECONDS);
        assertTrue("the new process exited: " + next.logText(), next.isRunning());
        return next;
    }

    private void assertFewBroken(String when, SteadyLoad load, long from, long until) {
        var broken = load.broken(from, until);
        assertTrue(when + ": " + broken, broken.size() <= MAX_BROKEN);
    }

    @Test(timeout = 60_000)
    public void answersEveryQueryOnceWhileProcessesAreReplaced() throws Exception {
        HeldSocket.Run first = start("first");
        first.awaitReady();
        try (var load = new SteadyLoad(socket.port, CLIENTS, PAUSE_MILLIS, CLASSES, 0, 1)) {
            Thread.sleep(1_000);
            long begun = System.nanoTime();
            HeldSocket.Run second = replace(first, "second", 0);
            long replaced = System.nanoTime();
            assertFewBroken("an upgrade", load, begun, replaced);
            HeldSocket.Run third = replace(second, "third", 1_000);
            long replacedAgain = System.nanoTime();
            assertFewBroken("an upgrade with the old process paused", load, replaced, replacedAgain);
            long answeredBefore = load.count(200);
            Program.await("served by the third", () -> load.count(200) > answeredBefore + 2 * CLIENTS);
            load.stop();
            assertEquals("refused, failed or late: " + load.counts(), load.all.size(),
                    load.count(200) + load.broken(begun, System.nanoTime()).size());
            assertTrue("too few queries: " + load.counts(), load.all.size() > 500);
            assertTrue(load.unexpectedAnswers.toString(), load.unexpectedAnswers.isEmpty());
            assertEquals(Map.of(), repeatedParts("once"));
            assertTrue(third.isRunning());
        }
    }

    /** Sends a worker's change on the open watches of the list, and the complete list on those opened later. */
    private void updateList(int revision, int worker, String phase, long upSince) throws Exception {
        String entry = member(worker, phase)
                .replace("\"up_since_ms\":0", "\"up_since_ms\":" + upSince);
        String others = IntStream.range(0, workers.size()).filter(i -> i != worker).mapToObj(this::member)
                .collect(Collectors.joining(","));
        discovery.opening = "{\"revision\":" + revision + ",\"complete\":true,\"members\":[" + others
                + (phase.equals("DELETED") ? "" : "," + entry) + "]}";
        discovery.send("{\"revision\":" + revision + ",\"complete\":false,\"members\":[" + entry + "]}");
    }

    @Test(timeout = 90_000)
    public void keepsABanOverListChangesAnUpgradeAndARestartUntilItIsLifted() throws Exception {
        HeldSocket.Run old = start("old");
        old.awaitReady();
        try (var load = new SteadyLoad(socket.port, 6, 30, List.of("all"), 0, 1)) {
            awaitUsed("in use before", 0);
            awaitUsed("in use before", 1);
            assertEquals("a worker that was never listed", 4, old.admin().putWorkerAction("detach", "w9") / 100);
            assertEquals(2, old.admin().putWorkerAction("detach", "w0") / 100);
            assertEquals("repeated request", 2, old.admin().putWorkerAction("detach", "w0") / 100);
            assertLeftOut("detached", 0);
            updateList(42, 0, "DELETED", 0);
            assertLeftOut("deleted from the list", 0);
            workers.get(0).close(); // a restart: the worker returns under its id at another address
            workers.set(0, new StandIn.Worker(id -> "ok"));
            open.add(workers.get(0));
            updateList(43, 0, "SERVING", System.currentTimeMillis());
            assertLeftOut("listed again, restarted", 0);

            HeldSocket.Run next = start("next");
            next.awaitReady();
            Program.await("served by both", () -> servedByAnyone(next) > 5);
            assertLeftOut("banned at the old process, with both running", 0);
            assertEquals(2, next.admin().putWorkerAction("detach", "w1") / 100);
            Thread.sleep(GRACE_MILLIS);
            long servedBefore = servedByAnyone(old);
            assertLeftOut("banned at the new process, with both running", 1);
            Program.await("the old process still serves", () -> servedByAnyone(old) > servedBefore);
            assertEquals(2, old.admin().putWorkerAction("attach", "w1") / 100);
            old.signal("TERM");
            old.end().get(10, TimeUnit.SECONDS);
            awaitUsed("ban lifted at the old process, worker used by the new one", 1);
            assertLeftOut("with only the new process", 0);
            updateList(44, 0, "SERVING", System.currentTimeMillis());
            assertLeftOut("restarted once more", 0);
            assertEquals(2, next.admin().putWorkerAction("attach", "w0") / 100);
            awaitUsed("ban lifted", 0);
            load.stop();
            assertEquals("not all answered: " + load.counts(), load.all.size(), load.count(200));
        }
    }
}
