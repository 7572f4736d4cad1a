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

/** The agreed plan against control ports that answer as they are told. */
public class ConsensusPlanStoreTest {
    private static final MigrationPlan FIRST = of(1);
    private static final MigrationPlan PAUSED = FIRST
            .withCommand(wallmoor.migration.MigrationCoordinator.OperatorCommand.PAUSE);

    private final List<String> proposed = Collections.synchronizedList(new ArrayList<>());
    private final List<String> log = Collections.synchronizedList(new ArrayList<>());
    private final ConcurrentLinkedQueue<String> answers = new ConcurrentLinkedQueue<>();
    private volatile String show = "";
    private volatile boolean firstIsGone;
    private final Logger logger = (Logger) LoggerFactory.getLogger(ConsensusPlanStore.class);
    private final AppenderBase<ILoggingEvent> appender = new AppenderBase<>() {
        @Override
        protected void append(ILoggingEvent event) {
            log.add(event.getLevel() + " " + event.getFormattedMessage());
        }
    };
    private ConsensusPlanStore plan;

    @Before
    public void captureLog() {
        appender.setContext(logger.getLoggerContext());
        appender.start();
        logger.addAppender(appender);
    }

    private static MigrationPlan of(int blocks) {
        var all = new ArrayList<BlockReplicas>();
        for (int i = 0; i < blocks; i++) {
            all.add(new BlockReplicas("b" + i, 1, List.of("n")));
        }
        return MigrationPlan.initial(new PlacementProblem(0, FailureDomain.NODE, PlacementProblem.NO_LEVEL,
                List.of(new StorageNode("n", "", 100_000, false)), all), 2);
    }

    private String ask(InetSocketAddress at, String line, long millis) throws IOException {
        if (at.getPort() == 1 && firstIsGone) {
            throw new IOException("gone");
        } else if (line.contains("\"show\"")) {
            return show;
        }
        proposed.add(at.getPort() + line);
        String answer = answers.poll();
        if (answer == null) {
            throw new IOException("nobody answers");
        }
        return answer;
    }

    private static String shown(int lease, String basis, int acting, MigrationPlan says) {
        var to = new StringBuilder("{\"lease_ms\":" + lease + ",\"basis\":\"" + basis + "\",\"acting\":" + acting);
        if (says != null) {
            Json.quote(to.append(",\"body\":"), says.body());
        }
        return to.append("}\n").toString();
    }

    private PlanStore.PlanUpdate next() throws Exception {
        for (int i = 0; i < 1_500; i++) {
            PlanStore.PlanUpdate n = plan.poll();
            if (n != null) {
                return n;
            }
            Thread.sleep(10);
        }
        throw new AssertionError("no news: " + log);
    }

    private void begin() {
        plan = new ConsensusPlanStore(
                new PlanControlClient(
                        List.of(new InetSocketAddress("127.0.0.1", 1), new InetSocketAddress("127.0.0.1", 2)),
                        this::ask, "ann"));
    }

    @After
    public void end() {
        plan.close();
        logger.detachAppender(appender);
    }

    @Test
    public void aVersionIsGoneByOnceItActsWhollyAndSurelyWhileTheLeaseLasts() throws Exception {
        show = shown(60_000, "careful", 3, FIRST); // a later one is known: its meet is no version's body
        begin();
        Thread.sleep(300);
        assertNull(plan.poll());
        show = shown(60_000, "version", 4, FIRST);
        assertEquals(new PlanStore.PlanUpdate(4, FIRST), next());
        assertTrue(plan.isCurrent());
        show = shown(400, "version", 4, null);
        Thread.sleep(300);
        show = shown(0, "fallback", 0, PAUSED);
        for (int i = 0; i < 1_500 && plan.isCurrent(); i++) {
            Thread.sleep(10);
        }
        assertFalse("without a lease elsewhere it may be paused", plan.isCurrent());
        assertNull(plan.poll());
    }

    @Test
    public void aProposalIsToldToTheNextUntilItIsKnownWhatCameOfIt() throws Exception {
        show = shown(60_000, "version", 4, FIRST);
        firstIsGone = true;
        answers.add("{\"unknown\":\"it is accepted\"}\n");
        answers.add("{\"name\":\"plan\",\"version\":5,\"state\":\"acts\"}\n");
        answers.add("{\"name\":\"plan\",\"version\":6,\"refused\":\"plan 6 by bob was proposed first\"}\n");
        begin();
        next();
        plan.propose(new MigrationAction.ProposePlan(4, PAUSED));
        assertEquals(new PlanStore.PlanUpdate(5, PAUSED), next());
        assertEquals("the same: one proposal", 1, proposed.stream().distinct().count());
        plan.propose(new MigrationAction.ProposePlan(5, FIRST));
        assertEquals(new PlanStore.PlanUpdate(5, null), next());
        assertTrue(proposed.get(2),
                proposed.get(2).contains("\"number\":5") && proposed.get(2).contains("\"author\":\"ann\""));
        assertTrue(log.toString(), log.contains("INFO plan proposal rejected: plan 6 by bob was proposed first"));
    }

    @Test
    public void whatCantBeAgreedOnIsRefusedBeforeItIsTold() {
        begin();
        PlanStoreException e = assertThrows(PlanStoreException.class,
                () -> plan.propose(new MigrationAction.ProposePlan(4, of(6_000))));
        assertTrue(e.getMessage(), e.getMessage().contains("524288 at most: drain fewer nodes at once"));
        assertEquals(List.of(), proposed);
    }
}
