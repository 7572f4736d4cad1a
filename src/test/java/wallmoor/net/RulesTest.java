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
 * Five real gatherers, three of them voters, agree on {@code settings} while a relay and signals do them harm. One
 * group for all cases: each takes it whole and leaves it whole, but for the last one, and the versions go on. After one
 * that failed it is begun anew.
 */
@FixMethodOrder(MethodSorters.NAME_ASCENDING) // the last leaves one voter out
public class RulesTest {
    /** Each change of leader waits for it: no shorter, or a slow machine's pauses would end leases all the time. */
    private static final long TERM_MILLIS = 1_000;
    private static final int FIVE = 5;
    /** A change of leader takes 5 s; a machine that shares one core with another program took five times that. */
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
            group = new RulesGroup(FOLDER.newFolder().toPath(), FIVE, TERM_MILLIS);
            version = 0;
            propose(3);
            group.awaitAll(1, group.others());
            Program.await("the gatherer takes its limit from there",
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

    /** The next version, by way of one of them. */
    private void propose(int at) throws Exception {
        Console said = group.all.get(at).propose(++version, WAIT_SECONDS);
        for (int i = 0; i < 3 && said.toString().contains("no verdict came"); i++) { // on a slow machine, within a term
            said = group.all.get(at).propose(++version, WAIT_SECONDS);
        }
        assertTrue(said.code() == 0 ? "" : said + group.describe(), said.code() == 0);
        assertTrue(said.out(), said.out().contains("state acts"));
    }

    private CompletableFuture<String> proposing(int at, int number, int wait) {
        return CompletableFuture.supplyAsync(() -> group.all.get(at).proposeDirectly(number, wait));
    }

    /** Nobody was seen to act beside another for longer than a term; and none wholly beside one that did not know. */
    private void checkInvariants() {
        assertTrue("looked " + group.observations() + " times", group.observations() > 300);
        assertTrue("contradicted for " + group.longestContradictionMicros() + " us",
                group.longestContradictionMicros() <= TERM_MILLIS * 1_000);
        assertTrue("side by side for " + group.longestOverlapMicros() + " us", group.longestOverlapMicros() <= 0);
    }

    @Test
    public void fiveAgreeWhileTheLeaderIsCutOffOneWayAndThenTheOther() throws Exception {
        int before = version;
        for (boolean sends : new boolean[] {true, false}) {
            int cut = group.leader();
            group.isolate(cut, sends);
            propose(4);
            group.awaitAll(version, group.others(cut));
            group.await("it has no lease", l -> !l.acts(), cut);
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
    public void aLeaderIsKilledBetweenAcceptedAndActingAndTheNextPausedPastItsLease() throws Exception {
        int killed = group.leader();
        group.isolate(3, true); // its lease holds the change up
        CompletableFuture<String> next = proposing(4, ++version, WAIT_SECONDS);
        group.await("it is accepted", l -> l.to() == version, 4);
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
    public void proposalsFromBothSidesThenAllRestartedWithOneFileTornOneDamagedAndOneVotersFilesLost()
            throws Exception {
        int alone = group.leader();
        for (int n : group.others(alone, 3)) {
            for (int few : new int[] {alone, 3}) {
                group.relay.fault(few, n, TcpRelay.Fault.CUT);
                group.relay.fault(n, few, TcpRelay.Fault.CUT);
            }
        }
        CompletableFuture<String> fewer = proposing(3, 100, 3);
        propose(4);
        assertTrue(fewer.get(), fewer.get().contains("\"unknown\""));
        group.relay.heal();
        group.awaitAll(version, group.others());
        checkInvariants();
        CompletableFuture<String> third = proposing(4, ++version, 1);
        group.await("it is known", l -> l.to() == version, 4);
        group.all.forEach(RulesGroup.RulesGatherer::kill);
        third.get();
        Path torn = group.all.get(0).directory.resolve("log");
        Files.write(torn, new byte[] {0x57, 0x4d, 0x72, 0x31, 0, 0}, StandardOpenOption.APPEND);
        long grown = Files.size(torn);
        for (RulesGroup.RulesGatherer o : group.all) {
            o.start();
        }
        group.awaitAll(version, group.others());
        assertTrue(Files.size(torn) != grown);
        while (version < 16) { // more than a snapshot's worth of entries, which is 64: each version has five
            propose(4);
        }
        loseOne(1);
        damageOne(2);
        checkInvariants();
    }

    /** A voter without its files votes for nobody until it has learned; then one of the others may go. */
    private void loseOne(int lost) throws Exception {
        group.all.get(lost).kill();
        for (String file : new String[] {"vote", "log", "known"}) {
            Files.delete(group.all.get(lost).directory.resolve(file));
        }
        group.all.get(lost).start();
        Program.await("it learns", () -> group.all.get(lost).hasLogged("voter lost its durable state: catches up"));
        Program.await("it has learned", () -> group.all.get(lost).hasLogged("voter caught up and votes"));
        group.all.get(0).kill();
        propose(4);
        group.all.get(0).start();
        group.awaitAll(version, group.others());
    }

    /**
     * A file that is damaged in its middle is not gone on with, and is said; the gatherer follows, and does not vote.
     */
    private void damageOne(int damaged) throws Exception {
        group.all.get(damaged).kill();
        Path log = group.all.get(damaged).directory.resolve("log");
        byte[] bytes = Files.readAllBytes(log);
        bytes[20] ^= 1;
        Files.write(log, bytes);
        group.all.get(damaged).start();
        Program.await("it says so",
                () -> group.all.get(damaged).hasLogged("voting disabled, durable state unreadable: directory="));
        propose(4);
        group.awaitAll(version, group.others());
    }
}
