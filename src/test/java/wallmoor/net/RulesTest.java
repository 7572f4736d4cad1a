package wallmoor.net;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertTrue;

import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.concurrent.CompletableFuture;
import org.junit.AfterClass;
import org.junit.Before;
import org.junit.ClassRule;
import org.junit.FixMethodOrder;
import org.junit.Rule;
import org.junit.Test;
import org.junit.rules.TemporaryFolder;
import org.junit.rules.TestWatcher;
import org.junit.runner.Description;
import org.junit.runners.MethodSorters;
import wallmoor.cli.Console;
import wallmoor.standin.TcpRelay;

/**
 * Five real gatherers, three of them voters, agree on {@code settings} while a relay and signals inject faults. All
 * tests share one group and its versions; each but the last one leaves the group intact. After a failed test a new
 * group is started.
 */
@FixMethodOrder(MethodSorters.NAME_ASCENDING) // the last test leaves a voter that no longer votes
public class RulesTest {
    /** A change of leader waits for one term. Shorter terms would let pauses of a slow machine end leases. */
    private static final long TERM_MILLIS = 1_000;
    private static final int GATHERERS = 5;
    /** A change of leader takes 5 s; it took five times that on a single core shared with another program. */
    private static final int WAIT_SECONDS = 40;

    @ClassRule
    public static final TemporaryFolder FOLDER = new TemporaryFolder();
    private static RulesGroup group;
    private static int version;

    @Rule
    public final TestWatcher restartAfterFailure = new TestWatcher() {
        @Override
        protected void failed(Throwable why, Description test) {
            stop();
        }
    };

    @Before
    public void start() throws Exception {
        if (group == null) {
            group = new RulesGroup(FOLDER.newFolder().toPath(), GATHERERS, TERM_MILLIS);
            version = 0;
            propose(3);
            group.awaitAll(1, group.others());
            Program.await("the gatherer applies the limit of the settings",
                    () -> group.all.get(4).hasLogged("limits in force: open 55, attempts 4"));
        }
    }

    @AfterClass
    public static void stop() {
        if (group != null) {
            group.close();
            group = null;
        }
    }

    /** Proposes the next version at a gatherer and checks that it is in force. */
    private void propose(int gatherer) throws Exception {
        Console result = group.all.get(gatherer).propose(++version, WAIT_SECONDS);
        // on a slow machine, verdicts may not come within a term
        for (int i = 0; i < 3 && result.toString().contains("no verdict came"); i++) {
            result = group.all.get(gatherer).propose(++version, WAIT_SECONDS);
        }
        assertTrue(result.code() == 0 ? "" : result + group.describe(), result.code() == 0);
        assertTrue(result.out(), result.out().contains("state acts"));
    }

    private CompletableFuture<String> proposeAsync(int gatherer, int number, int waitSeconds) {
        return CompletableFuture.supplyAsync(() -> group.all.get(gatherer).proposeDirectly(number, waitSeconds));
    }

    /**
     * Checks that no gatherer acted for longer than a term without following a version that another followed, and that
     * none was observed to do so beside another that acted on that version in full.
     */
    private void checkInvariants() {
        assertTrue("observed " + group.observations() + " times", group.observations() > 300);
        assertTrue("contradicted for " + group.longestContradictionMicros() + " us",
                group.longestContradictionMicros() <= TERM_MILLIS * 1_000);
        assertTrue("overlapped for " + group.longestOverlapMicros() + " us", group.longestOverlapMicros() <= 0);
    }

    @Test
    public void agreesWhileTheLeaderIsCutOffInOneDirectionAndThenTheOther() throws Exception {
        int before = version;
        for (boolean sends : new boolean[] {true, false}) {
            int cut = group.leader();
            group.isolate(cut, sends);
            propose(4);
            group.awaitAll(version, group.others(cut));
            group.await("the isolated leader has no lease", l -> !l.acts(), cut);
            assertEquals(3, group.all.get(cut).rules("show", "settings").code());
            group.relay.heal();
            group.awaitAll(version, group.others());
        }
        checkInvariants();
        Console history = group.all.get(4).rules("history", "settings");
        assertEquals(history.toString(), version, history.out().lines().count());
        assertEquals(0, group.all.get(3).rules("rollback", "settings", "" + before).code());
        group.awaitAll(++version, group.others());
        assertTrue(group.all.get(0).rules("show").out().contains("{\"limits.open\":" + (54 + before) + "}"));
    }

    @Test
    public void actsOnAcceptedVersionAfterItsLeaderIsKilledAndTheNextIsPaused() throws Exception {
        int killed = group.leader();
        group.isolate(3, true); // the change must wait until the lease of this gatherer expires
        CompletableFuture<String> next = proposeAsync(4, ++version, WAIT_SECONDS);
        group.await("the version is accepted", l -> l.to() == version, 4);
        assertEquals(version - 1, group.all.get(4).lastObservation.from());
        group.all.get(killed).kill();
        group.relay.heal();
        assertTrue(next.get(), next.get().contains("\"acts\""));
        group.awaitAll(version, group.others(killed));
        group.all.get(killed).start();
        group.awaitAll(version, group.others());
        int paused = group.leader();
        Program.signal(group.all.get(paused).process, "STOP");
        propose(4);
        group.awaitAll(version, group.others(paused));
        Program.signal(group.all.get(paused).process, "CONT");
        group.awaitAll(version, group.others());
        checkInvariants();
    }

    @Test
    public void recoversFromRivalProposalsRestartsAndDamagedOrLostFiles() throws Exception {
        int isolated = group.leader();
        for (int n : group.others(isolated, 3)) {
            for (int minority : new int[] {isolated, 3}) {
                group.relay.fault(minority, n, TcpRelay.Fault.CUT);
                group.relay.fault(n, minority, TcpRelay.Fault.CUT);
            }
        }
        CompletableFuture<String> ofMinority = proposeAsync(3, 100, 3);
        propose(4);
        assertTrue(ofMinority.get(), ofMinority.get().contains("\"unknown\""));
        group.relay.heal();
        group.awaitAll(version, group.others());
        checkInvariants();
        CompletableFuture<String> pending = proposeAsync(4, ++version, 1);
        group.await("the version is known", l -> l.to() == version, 4);
        group.all.forEach(RulesGroup.RulesGatherer::kill);
        pending.get();
        Path torn = group.all.get(0).directory.resolve("log");
        Files.write(torn, new byte[] {0x57, 0x4d, 0x72, 0x31, 0, 0}, StandardOpenOption.APPEND);
        long tornSize = Files.size(torn);
        for (RulesGroup.RulesGatherer gatherer : group.all) {
            gatherer.start();
        }
        group.awaitAll(version, group.others());
        assertTrue(Files.size(torn) != tornSize);
        while (version < 16) { // each version has five entries: more than the 64 of a snapshot
            propose(4);
        }
        loseFilesOfVoter(1);
        damageLogOfVoter(2);
        checkInvariants();
    }

    /** A voter that lost its files does not vote until it has caught up; after that another voter may fail. */
    private void loseFilesOfVoter(int lost) throws Exception {
        group.all.get(lost).kill();
        for (String file : new String[] {"vote", "log", "known"}) {
            Files.delete(group.all.get(lost).directory.resolve(file));
        }
        group.all.get(lost).start();
        Program.await("the voter catches up",
                () -> group.all.get(lost).hasLogged("voter lost its durable state: catches up"));
        Program.await("the voter votes again", () -> group.all.get(lost).hasLogged("voter caught up and votes"));
        group.all.get(0).kill();
        propose(4);
        group.all.get(0).start();
        group.awaitAll(version, group.others());
    }

    /** A log damaged in the middle is reported and not used; its gatherer follows the others and does not vote. */
    private void damageLogOfVoter(int damaged) throws Exception {
        group.all.get(damaged).kill();
        Path log = group.all.get(damaged).directory.resolve("log");
        byte[] bytes = Files.readAllBytes(log);
        bytes[20] ^= 1;
        Files.write(log, bytes);
        group.all.get(damaged).start();
        Program.await("the damage is logged",
                () -> group.all.get(damaged).hasLogged("voting disabled, durable state unreadable: directory="));
        propose(4);
        group.awaitAll(version, group.others());
    }
}
