package wallmoor.consensus;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertTrue;

import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import org.junit.After;
import org.junit.Rule;
import org.junit.Test;
import org.junit.rules.TemporaryFolder;
import wallmoor.config.RulesConfig;
import wallmoor.rules.EffectiveRule;
import wallmoor.rules.RuleDocument;
import wallmoor.rules.RuleProposal;
import wallmoor.standin.CapturedWarnings;
import wallmoor.standin.Ports;

/** Wall clocks five minutes apart, either way, and such that go back: leases are not counted by them, lives are. */
public class ClocksTest {
    private static final long FIVE_MINUTES = 300_000;
    private static final long TERM_MILLIS = 1_000;
    private static final int MOST_WAIT = 30;

    @Rule
    public final TemporaryFolder folder = new TemporaryFolder();
    private final TreeMap<String, InetSocketAddress> voters = new TreeMap<>();
    private final Map<String, ConsensusService> all = new TreeMap<>();
    private final CapturedWarnings warnings = new CapturedWarnings("wallmoor.consensus");

    private void start(String name, long ahead) throws Exception {
        Path kept = folder.getRoot().toPath().resolve(name);
        var config = new RulesConfig(voters, voters.get(name), TERM_MILLIS, kept, null);
        all.put(name, new ConsensusService(config, name, name.charAt(0), (document, rule) -> {},
                () -> System.currentTimeMillis() + ahead));
        all.get(name).start();
    }

    private void again(String name, long ahead) throws Exception {
        all.remove(name).close();
        start(name, ahead);
    }

    private static void await(String what, BooleanSupplier came) throws Exception {
        long until = System.nanoTime() + TimeUnit.SECONDS.toNanos(MOST_WAIT);
        while (!came.getAsBoolean()) {
            assertTrue("did not come: " + what, System.nanoTime() < until);
            Thread.sleep(10);
        }
    }

    /** The next version acts at all of them, wholly. */
    private void agree(String at) throws Exception {
        ConsensusService.ProposalOutcome outcome;
        do { // while a leader hands over verdicts may come late: the refusal says to propose again
            List<RuleDocument> before = all.get(at).history("settings", MOST_WAIT * 1_000).versions();
            RuleDocument parent = before.isEmpty() ? null : before.get(before.size() - 1);
            String body = "{\"limits.open\":" + (1 + before.size()) + "}";
            outcome = all.get(at).propose(new RuleProposal("settings", parent == null ? 0 : parent.version(),
                    parent == null ? "" : parent.hash(), "ann", body, body), MOST_WAIT * 1_000);
        } while (outcome.rejection().contains("no verdict came"));
        assertEquals("", outcome.rejection());
        long number = outcome.version();
        for (String who : all.keySet()) {
            await(who + " acts on " + number,
                    () -> all.get(who).effectiveRule("settings").basis() == EffectiveRule.Basis.VERSION
                            && all.get(who).effectiveRule("settings").activeVersion() == number);
        }
    }

    @After
    public void stop() {
        all.values().forEach(ConsensusService::close);
        warnings.close();
    }

    @Test
    public void theyAgreeAndWhatWentBackMustBeSetOnlyWhereFilesWereLost() throws Exception {
        for (String voter : new String[] {"a", "b", "c"}) {
            voters.put(voter, Ports.freeAddress());
        }
        start("a", 0);
        start("b", FIVE_MINUTES);
        start("c", -FIVE_MINUTES);
        start("d", FIVE_MINUTES);
        agree("d");
        again("b", -FIVE_MINUTES); // it has kept its life, and goes on from there
        again("c", FIVE_MINUTES);
        again("d", -FIVE_MINUTES);
        agree("d");
        assertEquals(List.of(), warnings.messages());

        all.remove("c").close();
        for (String file : new String[] {"vote", "log", "known"}) {
            Files.delete(folder.getRoot().toPath().resolve("c").resolve(file));
        }
        start("c", -FIVE_MINUTES);
        await("it is said",
                () -> warnings.messages().stream()
                        .anyMatch(w -> w.contains("a process of c is older than one that was heard")));
        assertTrue(all.get("c").effectiveRule("settings").basis() != EffectiveRule.Basis.VERSION);
        again("c", FIVE_MINUTES + 1_000); // the clock was set
        agree("d");
    }
}
