package wallmoor.net;

import static org.junit.Assert.assertArrayEquals;
import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertTrue;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.junit.After;
import org.junit.Before;
import org.junit.Rule;
import org.junit.Test;
import org.junit.rules.TemporaryFolder;
import wallmoor.cli.Console;
import wallmoor.migration.ReplicaRecord;
import wallmoor.standin.TcpRelay;

/** Blocks move between real nodes' disks by the real command, which is killed, as are the nodes, while clients ask. */
public class MigrationProcessTest {
    /** A migration of the first wave of which some was copied and not all; others may not have begun. */
    private static final Pattern COPY_ON_ITS_WAY = Pattern
            .compile("\"to\":\"(.)\",\"mb\":[0-9]+,\"wave\":1,\"stage\":\"copy\",\"there\":(?!0\\.0,)");

    @Rule
    public TemporaryFolder folder = new TemporaryFolder();
    private DiskFleet fleet;

    @Before
    public void start() throws Exception {
        fleet = new DiskFleet(folder.newFolder().toPath(), 1);
        fleet.startAll(true);
        fleet.startClients(2);
    }

    @After
    public void end() {
        fleet.close();
    }

    private Path dir(String node) {
        return fleet.dir.resolve(node);
    }

    private void finished() throws Exception {
        assertTrue(fleet.status(), fleet.coordinator.waitFor(60, TimeUnit.SECONDS));
        assertEquals(fleet.log.toString(), 0, fleet.coordinator.exitValue());
        fleet.verifyInvariants();
    }

    @Test
    public void movesEndWhoeverIsKilledWhenever() throws Exception {
        var random = new Random(5);
        int kills = 0;
        fleet.startCoordinator(6);
        while (fleet.coordinator.isAlive() && kills < 8) {
            Thread.sleep(300 + random.nextInt(300));
            int which = random.nextInt(4);
            if (which == 0) {
                String node = "" + "abc".charAt(random.nextInt(3));
                fleet.kill(node);
                Thread.sleep(random.nextInt(300));
                fleet.start(node);
            } else if (which == 1) { // a request or its answer is lost, and so is what a node was fetching
                fleet.relay.resetLinks(DiskFleet.COORDINATOR_INDEX, random.nextInt(3));
                fleet.relay.resetLinks(0, 1 + random.nextInt(2));
                fleet.relay.fault(0, 1 + random.nextInt(2), TcpRelay.Fault.STALLED);
                Thread.sleep(200);
                fleet.relay.heal();
            } else if (fleet.coordinator.isAlive()) {
                fleet.coordinator.destroyForcibly().onExit().join();
                fleet.startCoordinator(6);
            }
            kills++;
        }
        finished();
        assertTrue("" + kills, kills >= 3);
        assertTrue(left().isEmpty());
    }

    /** What still lies on the node that drains. */
    private List<String> left() throws Exception {
        return wallmoor.standin.DiskNode.readReplicas(dir("a")).entrySet().stream()
                .filter(e -> e.getValue().state() != ReplicaRecord.ReplicaState.ABSENT).map(Map.Entry::getKey).toList();
    }

    @Test
    public void aFlippedByteIsCopiedAgainAndAFullDiskMakesAnotherPlan() throws Exception {
        Files.writeString(dir("b").resolve("flip"), "");
        Files.writeString(dir("c").resolve("flip"), "");
        fleet.startCoordinator(5); // slow enough for a look at every copy on its way
        var target = new String[1];
        Program.await("copying", () -> {
            Matcher copying = COPY_ON_ITS_WAY.matcher(fleet.status());
            target[0] = copying.find() ? copying.group(1) : null;
            return target[0] != null;
        });
        String to = target[0];
        Files.writeString(dir(to).resolve("other"), "14"); // something else fills it half-way
        Program.await("given up", () -> fleet.status().contains("no room any more"));
        Program.await("stuck or moved", () -> !fleet.status().contains("\"stage\":\"copy\""));
        Files.delete(dir(to).resolve("other"));
        finished();
        assertTrue(left().isEmpty());
    }

    @Test
    public void pausedStoppedAndResumedBesideASecondOneAndASourceThatIsGone() throws Exception {
        fleet.startCoordinator(3);
        Program.await("copying", () -> fleet.status().contains("\"stage\":\"copy\""));
        fleet.sendOperatorCommand("pause");
        Program.await("paused", () -> fleet.status().contains("\"phase\":\"paused\""));
        String there = copied();
        Thread.sleep(600);
        assertEquals(there, copied());
        assertTrue(Console.run("rebalance", "status", "--dir", fleet.plan.toString()).out().startsWith("paused"));
        assertTrue(Console.run("rebalance", "explain", "--dir", fleet.plan.toString(), "x").out()
                .contains("fetches chunks"));
        Console second = Console.run("rebalance", "start", fleet.file.toString(), "--dir", fleet.plan.toString());
        assertEquals(second.err(), 1, second.code());
        assertTrue(second.err(), second.err().contains("another process carries this plan out"));
        fleet.kill("a"); // the source, half-way: its moves are given up, and planned again when it is there
        fleet.sendOperatorCommand("resume");
        Program.await("given up", () -> fleet.status().contains("does not get it from a"));
        fleet.start("a");
        Program.await("copying again", () -> fleet.status().contains("\"stage\":\"copy\""));
        fleet.sendOperatorCommand("stop");
        Program.await("stopped", () -> !fleet.coordinator.isAlive());
        assertTrue(fleet.status(), fleet.status().contains("\"phase\":\"stopped\""));
        fleet.verifyInvariants();
        Path kept = folder.newFolder().toPath().resolve("plan");
        byte[] plan = Files.readAllBytes(fleet.plan.resolve("plan"));
        byte[] half = Arrays.copyOf(plan, plan.length - 7);
        Files.write(kept, half);
        Console torn = Console.run("rebalance", "start", fleet.file.toString(), "--dir", kept.getParent().toString());
        assertEquals(1, torn.code());
        assertTrue(torn.err(), torn.err().contains("put back a copy"));
        assertArrayEquals(half, Files.readAllBytes(kept));
        assertEquals(2, Console.run("rebalance", "pause", "--dir", "no-such").code());
        assertEquals(2, Console.run("rebalance", "status", "--dir", "no-such").code());
        fleet.startCoordinator(50);
        finished();
        assertTrue(left().isEmpty());
    }

    private String copied() {
        return Arrays.toString(fleet.status().split("\"there\":")).replaceAll("\"at_ms\":[0-9]+", "");
    }
}
