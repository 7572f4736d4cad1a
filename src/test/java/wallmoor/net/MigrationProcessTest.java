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

/**
 * Moves blocks between the disks of real nodes by the real command. The command and the nodes are killed while clients
 * send queries.
 */
public class MigrationProcessTest {
    /** A move of the first wave that has copied some of its data but not all; others may not have started. */
    private static final Pattern PARTIAL_COPY = Pattern
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

    private Path nodeDirectory(String node) {
        return fleet.dir.resolve(node);
    }

    private void awaitFinished() throws Exception {
        assertTrue(fleet.status(), fleet.coordinator.waitFor(60, TimeUnit.SECONDS));
        assertEquals(fleet.log.toString(), 0, fleet.coordinator.exitValue());
        fleet.verifyInvariants();
    }

    @Test
    public void completesMovesWhileNodesAndCommandAreKilled() throws Exception {
        var random = new Random(5);
        int faults = 0;
        fleet.startCoordinator(6);
        while (fleet.coordinator.isAlive() && faults < 8) {
            Thread.sleep(300 + random.nextInt(300));
            int action = random.nextInt(4);
            if (action == 0) {
                String node = "" + "abc".charAt(random.nextInt(3));
                fleet.kill(node);
                Thread.sleep(random.nextInt(300));
                fleet.start(node);
            } else if (action == 1) { // loses a request or its answer, and what a node fetches
                fleet.relay.resetLinks(DiskFleet.COORDINATOR_INDEX, random.nextInt(3));
                fleet.relay.resetLinks(0, 1 + random.nextInt(2));
                fleet.relay.fault(0, 1 + random.nextInt(2), TcpRelay.Fault.STALLED);
                Thread.sleep(200);
                fleet.relay.heal();
            } else if (fleet.coordinator.isAlive()) {
                fleet.coordinator.destroyForcibly().onExit().join();
                fleet.startCoordinator(6);
            }
            faults++;
        }
        awaitFinished();
        assertTrue("" + faults, faults >= 3);
        assertTrue(blocksOnDrainingNode().isEmpty());
    }

    /** Returns the blocks of which the draining node still has a copy. */
    private List<String> blocksOnDrainingNode() throws Exception {
        return wallmoor.standin.DiskNode.readReplicas(nodeDirectory("a")).entrySet().stream()
                .filter(e -> e.getValue().state() != ReplicaRecord.ReplicaState.ABSENT).map(Map.Entry::getKey).toList();
    }

    @Test
    public void copiesAgainAfterFlippedByteAndPlansAgainAfterFullDisk() throws Exception {
        Files.writeString(nodeDirectory("b").resolve("flip"), "");
        Files.writeString(nodeDirectory("c").resolve("flip"), "");
        fleet.startCoordinator(5); // slow enough to observe each copy while it runs
        var target = new String[1];
        Program.await("copying", () -> {
            Matcher copying = PARTIAL_COPY.matcher(fleet.status());
            target[0] = copying.find() ? copying.group(1) : null;
            return target[0] != null;
        });
        String to = target[0];
        Files.writeString(nodeDirectory(to).resolve("other"), "14"); // another file fills the disk during the copy
        Program.await("the full disk is reported", () -> fleet.status().contains("no room any more"));
        Program.await("no copy is running", () -> !fleet.status().contains("\"stage\":\"copy\""));
        Files.delete(nodeDirectory(to).resolve("other"));
        awaitFinished();
        assertTrue(blocksOnDrainingNode().isEmpty());
    }

    @Test
    public void pausesResumesAndStopsDespiteSecondCommandAndLostSource() throws Exception {
        fleet.startCoordinator(3);
        Program.await("copying", () -> fleet.status().contains("\"stage\":\"copy\""));
        fleet.sendOperatorCommand("pause");
        Program.await("paused", () -> fleet.status().contains("\"phase\":\"paused\""));
        String progressBefore = copyProgress();
        Thread.sleep(600);
        assertEquals(progressBefore, copyProgress());
        assertTrue(Console.run("rebalance", "status", "--dir", fleet.plan.toString()).out().startsWith("paused"));
        assertTrue(Console.run("rebalance", "explain", "--dir", fleet.plan.toString(), "x").out()
                .contains("fetches chunks"));
        Console second = Console.run("rebalance", "start", fleet.file.toString(), "--dir", fleet.plan.toString());
        assertEquals(second.err(), 1, second.code());
        assertTrue(second.err(), second.err().contains("another process carries this plan out"));
        fleet.kill("a"); // the source fails half-way: its moves are abandoned, and planned again when it returns
        fleet.sendOperatorCommand("resume");
        Program.await("the lost source is reported", () -> fleet.status().contains("does not get it from a"));
        fleet.start("a");
        Program.await("copying again", () -> fleet.status().contains("\"stage\":\"copy\""));
        fleet.sendOperatorCommand("stop");
        Program.await("stopped", () -> !fleet.coordinator.isAlive());
        assertTrue(fleet.status(), fleet.status().contains("\"phase\":\"stopped\""));
        fleet.verifyInvariants();
        Path tornPlan = folder.newFolder().toPath().resolve("plan");
        byte[] plan = Files.readAllBytes(fleet.plan.resolve("plan"));
        byte[] truncated = Arrays.copyOf(plan, plan.length - 7);
        Files.write(tornPlan, truncated);
        Console restart = Console.run("rebalance", "start", fleet.file.toString(), "--dir",
                tornPlan.getParent().toString());
        assertEquals(1, restart.code());
        assertTrue(restart.err(), restart.err().contains("put back a copy"));
        assertArrayEquals(truncated, Files.readAllBytes(tornPlan));
        assertEquals(2, Console.run("rebalance", "pause", "--dir", "no-such").code());
        assertEquals(2, Console.run("rebalance", "status", "--dir", "no-such").code());
        fleet.startCoordinator(50);
        awaitFinished();
        assertTrue(blocksOnDrainingNode().isEmpty());
    }

    private String copyProgress() {
        return Arrays.toString(fleet.status().split("\"there\":")).replaceAll("\"at_ms\":[0-9]+", "");
    }
}
