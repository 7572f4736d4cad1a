package wallmoor.net;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertTrue;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.junit.After;
import org.junit.Before;
import org.junit.Rule;
import org.junit.Test;
import org.junit.rules.TemporaryFolder;
import wallmoor.cli.Console;
import wallmoor.json.Json;
import wallmoor.migration.MigrationPlan;
import wallmoor.migration.ReplicaRecord;
import wallmoor.migration.UnreadablePlanException;
import wallmoor.rules.DocumentSchemas;
import wallmoor.rules.InvalidRuleException;
import wallmoor.standin.DiskNode;

/**
 * Blocks move between real nodes by a plan that real gatherers agree on, carried out by two authors at once; the leader
 * of the voters and an author are killed and cut off, while clients go by what a gatherer says of the plan at each
 * query.
 */
public class MigrationConsensusProcessTest {
    private static final long TERM_MILLIS = 1_500;
    private static final long LONGEST_QUERY = 200;
    private static final int MANY = 900;

    @Rule
    public TemporaryFolder folder = new TemporaryFolder();
    private DiskFleet fleet;
    private RulesGroup group;
    private final List<String> logOfA = Collections.synchronizedList(new ArrayList<>());
    private final List<String> logOfB = Collections.synchronizedList(new ArrayList<>());
    private final List<Process> movers = new ArrayList<>();

    @Before
    public void start() throws Exception {
        fleet = new DiskFleet(folder.newFolder().toPath(), 1);
        fleet.settleMillis = TERM_MILLIS + LONGEST_QUERY;
        fleet.planSource = this::byGatherer;
        group = new RulesGroup(folder.newFolder().toPath(), 4, RulesGroup.VOTERS, TERM_MILLIS, "plan", n -> "");
        fleet.startAll(true);
        fleet.startClients(2);
    }

    @After
    public void end() throws Exception {
        movers.forEach(p -> p.destroyForcibly().onExit().join());
        fleet.close();
        if (group != null) {
            group.close();
        }
    }

    /** As one that routes by the plan would: what it goes by now, careful where a version waits to act. */
    private DiskFleet.KnownPlan byGatherer(Random random) throws IOException {
        try (var asker = new Socket("127.0.0.1", group.all.get(random.nextInt(4)).control)) {
            asker.setSoTimeout(2_000);
            asker.getOutputStream().write("{\"do\":\"show\",\"name\":\"plan\"}\n".getBytes(StandardCharsets.US_ASCII));
            byte[] said = asker.getInputStream().readAllBytes();
            Json.Obj o = Json.object(said, 0, said.length);
            boolean leased = o.number("lease_ms", 0) > 0;
            return o.text("basis").equals("none") || !leased ? null
                    : new DiskFleet.KnownPlan((long) o.number("from", 0),
                            MigrationPlan.decode(DocumentSchemas.PLAN.parse(o.text("body"))),
                            leased);
        } catch (Json.Malformed e) {
            throw new IOException(e); // it was killed as it answered
        } catch (InvalidRuleException | UnreadablePlanException e) {
            throw new AssertionError(e);
        }
    }

    private String[] at(int... gatherers) {
        return new String[] {"--rules", IntStream.of(gatherers).mapToObj(g -> "127.0.0.1:" + group.all.get(g).control)
                .collect(Collectors.joining(","))};
    }

    private Console rebalance(int at, String... words) {
        var line = new ArrayList<>(List.of("rebalance"));
        line.addAll(List.of(words));
        line.addAll(List.of(at(at)));
        return Console.run(line.toArray(String[]::new));
    }

    private Process mover(List<String> log, int... gatherers) throws IOException {
        Process p = fleet.startCoordinator(log, at(gatherers));
        movers.add(p);
        return p;
    }

    /** What can't be agreed on, or would drop what somebody may still read, is told before anything is proposed. */
    private void refusedBeforeAnythingMoves() throws Exception {
        Path big = folder.newFile("big.yaml").toPath();
        String text = Files.readString(fleet.file) + IntStream.range(0, MANY)
                .mapToObj(i -> "- {id: " + "b".repeat(100) + i + ", mb: 1, on: [a, b]}\n")
                .collect(Collectors.joining());
        Files.writeString(big, text);
        Console large = rebalance(3, "start", big.toString());
        assertEquals(large.err(), 2, large.code());
        assertTrue(large.err(), large.err().contains("gatherers agree on 524288 at most"));
        Files.writeString(big, Files.readString(fleet.file).replace("settle: " + fleet.settleMillis, "settle: 1699"));
        Console soon = rebalance(3, "start", big.toString());
        assertEquals(soon.err(), 2, soon.code());
        assertTrue(soon.err(), soon.err().contains("set it to 1700ms at least"));
        assertEquals(2, rebalance(3, "pause").code());
        assertEquals("", group.all.get(3).rules("history", "plan").out());
    }

    /** What lies on the nodes' disks of blocks that are not whole. */
    private long filling() throws IOException {
        long bytes = 0;
        for (String node : fleet.ports.keySet()) {
            for (ReplicaRecord h : DiskNode.readReplicas(fleet.dir.resolve(node)).values()) {
                bytes += h.state() == ReplicaRecord.ReplicaState.FILLING
                        ? h.sizeBytes() - (long) h.missingChunks().size() * h.chunkBytes() : 0;
            }
        }
        return bytes;
    }

    @Test
    public void twoAuthorsReachTheGoalWhileTheyAndTheVotersLeadersAreKilledAndCutOff() throws Exception {
        fleet.writeFleetFile(3);
        refusedBeforeAnythingMoves();
        Process a = mover(logOfA, 0, 1);
        Process b = mover(logOfB, 2, 1);
        Program.await("copying", () -> rebalance(3, "explain", "x").out().contains("fetches chunks"));

        assertEquals(0, rebalance(3, "pause").code());
        assertTrue(rebalance(0, "status").out().startsWith("paused"));
        Thread.sleep(300); // a chunk may be out
        long there = filling();
        Thread.sleep(400);
        assertEquals(there, filling());
        assertEquals(0, rebalance(2, "resume").code());

        int killed = group.leader();
        group.isolate(3, true); // its lease holds the next step up
        int other = (killed + 1) % RulesGroup.VOTERS;
        group.await("a step is accepted and does not act", l -> l.to() > l.from(), other);
        group.all.get(killed).kill();
        group.relay.heal();
        a.destroyForcibly().onExit().join();
        a = mover(logOfA, other);
        long seen = group.all.get(other).lastObservation.to();
        group.await("its step or a rival's acts", l -> l.acts() && l.from() >= seen, other);
        group.all.get(killed).start();
        group.await("it is back", l -> l.acts() && l.from() >= seen, killed);

        int cut = group.leader();
        group.isolate(cut, true);
        long before = group.all.get(3).lastObservation.from();
        // how soon the others find a leader is RulesTest's: here it is cut off for three terms at most
        long until = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(3 * TERM_MILLIS);
        for (RulesGroup.RuleObservation l = group.all.get(3).lastObservation; System.nanoTime() < until
                && (l == null || l.from() <= before); l = group.all.get(3).lastObservation) {
            Thread.sleep(20);
        }
        group.relay.heal();

        for (Process p : List.of(a, b)) {
            assertTrue(said(), p.waitFor(60, TimeUnit.SECONDS));
            assertEquals(said(), 0, p.exitValue());
        }
        fleet.verifyInvariants();
        for (ReplicaRecord h : DiskNode.readReplicas(fleet.dir.resolve("a")).values()) {
            assertEquals(ReplicaRecord.ReplicaState.ABSENT, h.state());
        }
        assertTrue(rebalance(3, "status").out().startsWith("finished"));
        assertTrue("each won and lost: " + said(), said().contains("proposed first on the same parent"));
    }

    private String said() {
        return String.join("\n", logOfA) + "\n" + String.join("\n", logOfB) + "\n" + rebalance(3, "status").out()
                + Arrays.toString(movers.stream().map(Process::isAlive).toArray())
                + group.all.stream().map(o -> "\nm" + o.number + ' ' + o.lastObservation).collect(Collectors.joining());
    }
}
