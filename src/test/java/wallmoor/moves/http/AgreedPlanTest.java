package wallmoor.moves.http;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertFalse;
import static org.junit.Assert.assertNull;
import static org.junit.Assert.assertThrows;
import static org.junit.Assert.assertTrue;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.concurrent.ConcurrentLinkedQueue;
import org.junit.After;
import org.junit.Test;
import wallmoor.json.Json;
import wallmoor.moves.Action;
import wallmoor.moves.State;
import wallmoor.placement.Block;
import wallmoor.placement.Fleet;
import wallmoor.placement.Node;
import wallmoor.placement.Spread;

/** The agreed plan against control ports that answer as they are told. */
public class AgreedPlanTest {
    private static final State FIRST = of(1);
    private static final State PAUSED = FIRST.wished(wallmoor.moves.Mover.Wish.PAUSE);

    private final List<String> proposed = Collections.synchronizedList(new ArrayList<>());
    private final List<String> log = Collections.synchronizedList(new ArrayList<>());
    private final ConcurrentLinkedQueue<String> answers = new ConcurrentLinkedQueue<>();
    private volatile String show = "";
    private volatile boolean firstIsGone;
    private AgreedPlan plan;

    private static State of(int blocks) {
        var all = new ArrayList<Block>();
        for (int i = 0; i < blocks; i++) {
            all.add(new Block("b" + i, 1, List.of("n")));
        }
        return State.of(new Fleet(0, Spread.NODE, Fleet.NO_LEVEL, List.of(new Node("n", "", 100_000, false)), all), 2);
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

    private static String shown(int lease, String basis, int acting, State says) {
        var to = new StringBuilder("{\"lease_ms\":" + lease + ",\"basis\":\"" + basis + "\",\"acting\":" + acting);
        if (says != null) {
            Json.quote(to.append(",\"body\":"), says.body());
        }
        return to.append("}\n").toString();
    }

    private Plan.News next() throws Exception {
        for (int i = 0; i < 1_500; i++) {
            Plan.News n = plan.news();
            if (n != null) {
                return n;
            }
            Thread.sleep(10);
        }
        throw new AssertionError("no news: " + log);
    }

    private void begin() {
        plan = new AgreedPlan(
                new RulesPort(List.of(new InetSocketAddress("127.0.0.1", 1), new InetSocketAddress("127.0.0.1", 2)),
                        this::ask, "ann"),
                log::add);
    }

    @After
    public void end() {
        plan.close();
    }

    @Test
    public void aVersionIsGoneByOnceItActsWhollyAndSurelyWhileTheLeaseLasts() throws Exception {
        show = shown(60_000, "careful", 3, FIRST); // a later one is known: its meet is no version's body
        begin();
        Thread.sleep(300);
        assertNull(plan.news());
        show = shown(60_000, "version", 4, FIRST);
        assertEquals(new Plan.News(4, FIRST), next());
        assertTrue(plan.sure());
        show = shown(400, "version", 4, null);
        Thread.sleep(300);
        show = shown(0, "fallback", 0, PAUSED);
        for (int i = 0; i < 1_500 && plan.sure(); i++) {
            Thread.sleep(10);
        }
        assertFalse("without a lease elsewhere it may be paused", plan.sure());
        assertNull(plan.news());
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
        plan.propose(new Action.Propose(4, PAUSED));
        assertEquals(new Plan.News(5, PAUSED), next());
        assertEquals("the same: one proposal", 1, proposed.stream().distinct().count());
        plan.propose(new Action.Propose(5, FIRST));
        assertEquals(new Plan.News(5, null), next());
        assertTrue(proposed.get(2),
                proposed.get(2).contains("\"number\":5") && proposed.get(2).contains("\"author\":\"ann\""));
        assertTrue(log.toString(), log.contains("moves: refused: plan 6 by bob was proposed first"));
    }

    @Test
    public void whatCantBeAgreedOnIsRefusedBeforeItIsTold() {
        begin();
        PlanException e = assertThrows(PlanException.class, () -> plan.propose(new Action.Propose(4, of(6_000))));
        assertTrue(e.getMessage(), e.getMessage().contains("524288 at most: drain fewer nodes at once"));
        assertEquals(List.of(), proposed);
    }
}
