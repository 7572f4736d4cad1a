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

/**
 * Guards against leases that depend on the wall clock: wall clocks are five minutes apart or go back. Incarnations
 * depend on the wall clock unless a stored one is higher.
 */
public class ClocksTest {
    private static final long FIVE_MINUTES_MILLIS = 300_000;
    private static final long TERM_MILLIS = 1_000;
    private static final int MAX_WAIT_SECONDS = 30;

    @Rule
    public final TemporaryFolder folder = new TemporaryFolder();
    private final TreeMap<String, InetSocketAddress> voters = new TreeMap<>();
    private final Map<String, ConsensusService> services = new TreeMap<>();
    private final CapturedWarnings warnings = new CapturedWarnings("wallmoor.consensus");

    private void start(String name, long offsetMillis) throws Exception {
        Path directory = folder.getRoot().toPath().resolve(name);
        var config = new RulesConfig(voters, voters.get(name), TERM_MILLIS, directory, null);
        services.put(name, new ConsensusService(config, name, name.charAt(0), (document, rule) -> {},
                () -> System.currentTimeMillis() + offsetMillis));
        services.get(name).start();
    }

    private void restart(String name, long offsetMillis) throws Exception {
        services.remove(name).close();
        // the transport's thread releases the port of the closed service only after close() has returned
        await("port of " + name + " released", () -> Ports.isFree(voters.get(name)));
        start(name, offsetMillis);
    }

    private static void await(String event, BooleanSupplier condition) throws Exception {
        long deadline = System.nanoTime() + TimeUnit.SECONDS.toNanos(MAX_WAIT_SECONDS);
        while (!condition.getAsBoolean()) {
            assertTrue("not observed in time: " + event, System.nanoTime() < deadline);
            Thread.sleep(10);
        }
    }

    /** Proposes the next version through one gatherer and waits until it is active on all of them. */
    private void proposeAndAwaitActive(String proposer) throws Exception {
        ConsensusService.ProposalOutcome outcome;
        do { // verdicts may be late during a change of leader: the rejection asks for a new proposal
            List<RuleDocument> versions = services.get(proposer).history("settings", MAX_WAIT_SECONDS * 1_000)
                    .versions();
            RuleDocument parent = versions.isEmpty() ? null : versions.get(versions.size() - 1);
            String body = "{\"limits.open\":" + (1 + versions.size()) + "}";
            outcome = services.get(proposer).propose(new RuleProposal("settings", parent == null ? 0 : parent.version(),
                    parent == null ? "" : parent.hash(), "ann", body, body), MAX_WAIT_SECONDS * 1_000);
        } while (outcome.rejection().contains("no verdict came"));
        assertEquals("", outcome.rejection());
        long version = outcome.version();
        for (String gatherer : services.keySet()) {
            await(gatherer + " activates version " + version,
                    () -> services.get(gatherer).effectiveRule("settings").basis() == EffectiveRule.Basis.VERSION
                            && services.get(gatherer).effectiveRule("settings").activeVersion() == version);
        }
    }

    @After
    public void stop() {
        services.values().forEach(ConsensusService::close);
        warnings.close();
    }

    @Test
    public void activatesVersionsWithSkewedClocksAndRejectsBackwardClockOnlyAfterFileLoss() throws Exception {
        for (String voter : new String[] {"a", "b", "c"}) {
            voters.put(voter, Ports.freeAddress());
        }
        start("a", 0);
        start("b", FIVE_MINUTES_MILLIS);
        start("c", -FIVE_MINUTES_MILLIS);
        start("d", FIVE_MINUTES_MILLIS);
        proposeAndAwaitActive("d");
        restart("b", -FIVE_MINUTES_MILLIS); // its stored incarnation is higher than its clock
        restart("c", FIVE_MINUTES_MILLIS);
        restart("d", -FIVE_MINUTES_MILLIS);
        proposeAndAwaitActive("d");
        assertEquals(List.of(), warnings.messages());

        services.remove("c").close();
        for (String file : new String[] {"vote", "log", "known"}) {
            Files.delete(folder.getRoot().toPath().resolve("c").resolve(file));
        }
        start("c", -FIVE_MINUTES_MILLIS);
        await("warning about the older incarnation",
                () -> warnings.messages().stream()
                        .anyMatch(w -> w.contains("older incarnation than the last one seen: peer=c")));
        assertTrue(services.get("c").effectiveRule("settings").basis() != EffectiveRule.Basis.VERSION);
        restart("c", FIVE_MINUTES_MILLIS + 1_000); // the clock was corrected
        proposeAndAwaitActive("d");
    }
}
