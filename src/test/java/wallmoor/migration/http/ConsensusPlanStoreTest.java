package wallmoor.migration.http;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertFalse;
import static org.junit.Assert.assertNull;
import static org.junit.Assert.assertThrows;
import static org.junit.Assert.assertTrue;

import ch.qos.logback.classic.Logger;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.core.AppenderBase;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.concurrent.ConcurrentLinkedQueue;
import org.junit.After;
import org.junit.Before;
import org.junit.Test;
import org.slf4j.LoggerFactory;
import wallmoor.json.Json;
import wallmoor.migration.MigrationAction;
import wallmoor.migration.MigrationPlan;
import wallmoor.placement.BlockReplicas;
import wallmoor.placement.FailureDomain;
import wallmoor.placement.PlacementProblem;
import wallmoor.placement.StorageNode;

/** Tests the plan store against simulated control ports of two gatherers. */
public class ConsensusPlanStoreTest {
    private static final MigrationPlan ACTIVE_PLAN = planWithBlocks(1);
    private static final MigrationPlan PAUSED_PLAN = ACTIVE_PLAN
            .withCommand(wallmoor.migration.MigrationCoordinator.OperatorCommand.PAUSE);

    private final List<String> sentProposals = Collections.synchronizedList(new ArrayList<>());
    private final List<String> logLines = Collections.synchronizedList(new ArrayList<>());
    private final ConcurrentLinkedQueue<String> proposalAnswers = new ConcurrentLinkedQueue<>();
    private volatile String showAnswer = "";
    private volatile boolean isFirstGathererDown;
    private final Logger logger = (Logger) LoggerFactory.getLogger(ConsensusPlanStore.class);
    private final AppenderBase<ILoggingEvent> appender = new AppenderBase<>() {
        @Override
        protected void append(ILoggingEvent event) {
            logLines.add(event.getLevel() + " " + event.getFormattedMessage());
        }
    };
    private ConsensusPlanStore store;

    @Before
    public void captureLog() {
        appender.setContext(logger.getLoggerContext());
        appender.start();
        logger.addAppender(appender);
    }

    private static MigrationPlan planWithBlocks(int blocks) {
        var replicas = new ArrayList<BlockReplicas>();
        for (int i = 0; i < blocks; i++) {
            replicas.add(new BlockReplicas("b" + i, 1, List.of("n")));
        }
        return MigrationPlan.initial(new PlacementProblem(0, FailureDomain.NODE, PlacementProblem.NO_LEVEL,
                List.of(new StorageNode("n", "", 100_000, false)), replicas), 2);
    }

    private String exchange(InetSocketAddress address, String line, long timeoutMillis) throws IOException {
        if (address.getPort() == 1 && isFirstGathererDown) {
            throw new IOException("gone");
        } else if (line.contains("\"show\"")) {
            return showAnswer;
        }
        sentProposals.add(address.getPort() + line);
        String answer = proposalAnswers.poll();
        if (answer == null) {
            throw new IOException("nobody answers");
        }
        return answer;
    }

    private static String encodeShowAnswer(int leaseMillis, String basis, int actingVersion, MigrationPlan plan) {
        var json = new StringBuilder("{\"lease_ms\":" + leaseMillis + ",\"basis\":\"" + basis + "\",\"acting\":"
                + actingVersion);
        if (plan != null) {
            Json.quote(json.append(",\"body\":"), plan.body());
        }
        return json.append("}\n").toString();
    }

    private PlanStore.PlanUpdate awaitUpdate() throws Exception {
        for (int i = 0; i < 1_500; i++) {
            PlanStore.PlanUpdate update = store.poll();
            if (update != null) {
                return update;
            }
            Thread.sleep(10);
        }
        throw new AssertionError("no update of the plan within 15 s: " + logLines);
    }

    private void openStore() {
        store = new ConsensusPlanStore(
                new PlanControlClient(
                        List.of(new InetSocketAddress("127.0.0.1", 1), new InetSocketAddress("127.0.0.1", 2)),
                        this::exchange, "ann"));
    }

    @After
    public void closeStore() {
        store.close();
        logger.detachAppender(appender);
    }

    @Test
    public void reportsOnlyActiveVersionsAndIsNotCurrentOnceTheLeaseExpires() throws Exception {
        // a later version is known, and the common part of both is not the body of any version
        showAnswer = encodeShowAnswer(60_000, "careful", 3, ACTIVE_PLAN);
        openStore();
        Thread.sleep(300);
        assertNull(store.poll());
        showAnswer = encodeShowAnswer(60_000, "version", 4, ACTIVE_PLAN);
        assertEquals(new PlanStore.PlanUpdate(4, ACTIVE_PLAN), awaitUpdate());
        assertTrue(store.isCurrent());
        showAnswer = encodeShowAnswer(400, "version", 4, null);
        Thread.sleep(300);
        showAnswer = encodeShowAnswer(0, "fallback", 0, PAUSED_PLAN);
        for (int i = 0; i < 1_500 && store.isCurrent(); i++) {
            Thread.sleep(10);
        }
        assertFalse("without a lease the plan may have been paused meanwhile", store.isCurrent());
        assertNull(store.poll());
    }

    @Test
    public void repeatsProposalToNextGathererUntilItsOutcomeIsKnown() throws Exception {
        showAnswer = encodeShowAnswer(60_000, "version", 4, ACTIVE_PLAN);
        isFirstGathererDown = true;
        proposalAnswers.add("{\"unknown\":\"it is accepted\"}\n");
        proposalAnswers.add("{\"name\":\"plan\",\"version\":5,\"state\":\"acts\"}\n");
        proposalAnswers.add("{\"name\":\"plan\",\"version\":6,\"refused\":\"plan 6 by bob was proposed first\"}\n");
        openStore();
        awaitUpdate();
        store.propose(new MigrationAction.ProposePlan(4, PAUSED_PLAN));
        assertEquals(new PlanStore.PlanUpdate(5, PAUSED_PLAN), awaitUpdate());
        assertEquals("the repeated proposal is identical", 1, sentProposals.stream().distinct().count());
        store.propose(new MigrationAction.ProposePlan(5, ACTIVE_PLAN));
        assertEquals(new PlanStore.PlanUpdate(5, null), awaitUpdate());
        assertTrue(sentProposals.get(2),
                sentProposals.get(2).contains("\"number\":5") && sentProposals.get(2).contains("\"author\":\"ann\""));
        assertTrue(logLines.toString(),
                logLines.contains("INFO plan proposal rejected: reason=\"plan 6 by bob was proposed first\""));
    }

    @Test
    public void rejectsTooLargePlanWithoutSendingIt() {
        openStore();
        PlanStoreException e = assertThrows(PlanStoreException.class,
                () -> store.propose(new MigrationAction.ProposePlan(4, planWithBlocks(6_000))));
        assertTrue(e.getMessage(), e.getMessage().contains("524288 at most: drain fewer nodes at once"));
        assertEquals(List.of(), sentProposals);
    }
}
