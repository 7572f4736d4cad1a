package wallmoor.net;

import static org.junit.Assert.assertFalse;

import java.util.ArrayList;
import java.util.Random;
import org.junit.Rule;
import org.junit.Test;
import org.junit.rules.TemporaryFolder;

/** Guards against a new group of voters that has no leader for long after its first one fails. */
public class RulesFirstStartTest {
    private static final long TERM_MILLIS = 1_000;
    private static final int VOTERS = 3;
    /** The number of the gatherer without a vote that observes the leases. */
    private static final int OBSERVER = 3;
    private static final int MAX_DELAY_MILLIS = 3_000;
    /** A trial by hand passes a higher number. */
    private static final int ROUNDS = Integer.getInteger("wallmoor.rounds", 3);

    @Rule
    public final TemporaryFolder folder = new TemporaryFolder();

    /** All voters start for the first time, at nearly the same time; none may believe that it has lost its files. */
    @Test
    public void electsAnotherLeaderAfterTheFirstOneIsKilled() throws Exception {
        var random = new Random(46);
        var secondsToLease = new ArrayList<Double>();
        for (int round = 0; round < ROUNDS; round++) {
            try (var group = new RulesGroup(folder.newFolder().toPath(), VOTERS + 1, TERM_MILLIS)) {
                Thread.sleep(random.nextInt(MAX_DELAY_MILLIS));
                for (int voter = 0; voter < VOTERS; voter++) {
                    assertFalse(group.describe(), group.all.get(voter).hasLogged("voter lost its durable state"));
                }
                secondsToLease.add(killLeader(group));
            }
        }
        System.out.println("seconds from the death of a first leader to a lease of the next: " + secondsToLease);
    }

    /** Kills the leader and returns the seconds until the observer has a lease of another one. */
    private static double killLeader(RulesGroup group) throws Exception {
        group.await("a lease", RulesFirstStartTest::hasLease, OBSERVER);
        String leader = group.all.get(OBSERVER).lastObservation.leader();
        long killedNanos = System.nanoTime();
        group.all.get(Integer.parseInt(leader.substring(1))).kill();
        long lastLeaseEnd = killedNanos / 1_000 + TERM_MILLIS * 1_000; // of a lease of the killed leader
        group.await("a lease of another leader", o -> hasLease(o) && o.until() > lastLeaseEnd, OBSERVER);
        return (System.nanoTime() - killedNanos) / 1e9;
    }

    private static boolean hasLease(RulesGroup.RuleObservation observation) {
        return observation.until() > observation.now();
    }
}
