package wallmoor.migration.http;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import wallmoor.json.Json;
import wallmoor.migration.MigrationPlan;
import wallmoor.rules.DocumentSchemas;
import wallmoor.rules.InvalidRuleException;
import wallmoor.rules.RuleStateMachine;

/**
 * The document {@code plan} that gatherers agree on, over their control ports: one is asked until it can't be asked or
 * has no lease, then the next. Used by any number of threads.
 */
public final class PlanControlClient {
    /**
     * How long one gatherer is waited for with a proposal: the same is then told to the next, and is one proposal
     * there.
     */
    private static final long PROPOSE_MILLIS = 2_000;
    /** What a gatherer takes beside what it was told to wait: it may stand still for a moment. */
    private static final long SPARE_MILLIS = 3_000;
    /** A gatherer asks the leader for its history so long. */
    private static final long HISTORY_MILLIS = 5_000 + SPARE_MILLIS;
    private static final long AGAIN_MILLIS = 100;
    private static final long NANOS = 1_000_000;

    /** Carries a line to a control port and all lines of its answer back. */
    @FunctionalInterface
    public interface ControlTransport {
        /** Asks; waits so long for each piece of the answer. */
        String ask(InetSocketAddress at, String line, long millis) throws IOException;
    }

    /** A version that the voters keep; one that does not act yet is accepted. */
    public record PlanVersion(long number, MigrationPlan plan, boolean active, String author) {}

    /**
     * What one gatherer goes by.
     *
     * @param leaseMillis that it may at least, from when it was asked
     * @param version      the version that acts wholly; 0 where none does, or a later one is known
     * @param plan       what it says; null where it was known before
     */
    record LeasedPlan(long leaseMillis, long version, MigrationPlan plan) {}

    /** What came of a proposal: its number, and why it was refused; empty where it acts. */
    public record ProposalOutcome(long version, String rejection) {
        /** Whether it acts. */
        public boolean isActive() {
            return rejection.isEmpty();
        }
    }

    private final List<InetSocketAddress> at;
    private final ControlTransport asking;
    private final String author;
    private final AtomicInteger turn = new AtomicInteger();

    /** One that asks these in turn, and proposes as this author: one of its own for each process. */
    public PlanControlClient(List<InetSocketAddress> at, ControlTransport asking, String author) {
        this.at = List.copyOf(at);
        this.asking = asking;
        this.author = author;
    }

    /** The last version that the voters have accepted, or null where there is none. Tries for so long. */
    public PlanVersion latest(long millis) throws PlanStoreException, InterruptedException {
        String line = "{\"do\":\"history\",\"name\":\"plan\"}";
        return until(millis, turn -> {
            PlanVersion last = null;
            for (Json.Obj o : lines(turn, line, HISTORY_MILLIS)) {
                if (o.text("body") != null) {
                    long number = (long) o.number("version", 0);
                    boolean acts = !"accepted".equals(o.text("state"));
                    last = new PlanVersion(number, state(number, o.text("body")), acts, o.text("author"));
                }
            }
            return new PlanVersion[] {last};
        })[0];
    }

    /** The gatherers' term, milliseconds. Tries for so long. */
    public long termMillis(long millis) throws PlanStoreException, InterruptedException {
        return until(millis, turn -> {
            List<Json.Obj> said = lines(turn, "{\"do\":\"show\",\"name\":\"plan\"}", SPARE_MILLIS);
            if (said.isEmpty() || said.get(0).get("term_ms") == null) {
                throw new IOException("tells no term: it runs an older program");
            }
            return (long) said.get(0).number("term_ms", 0);
        });
    }

    /** Proposes until it is known what came of it. Tries for so long. */
    public ProposalOutcome proposeAndAwait(long parent, MigrationPlan next, long millis)
            throws PlanStoreException, InterruptedException {
        return until(millis, turn -> propose(turn, parent, next));
    }

    /** Tells a proposal to one gatherer; null where it is not known what came of it. */
    ProposalOutcome propose(long parent, MigrationPlan next) throws PlanStoreException {
        try {
            return once(turn -> propose(turn, parent, next));
        } catch (IOException e) {
            return null;
        }
    }

    /**
     * What a gatherer goes by under a lease. What acts as {@code known} is not told again.
     *
     * @throws IOException where this one has no lease or can't be asked; the next is asked the next time
     */
    LeasedPlan readLeased(long known) throws PlanStoreException, IOException {
        return once(turn -> {
            List<Json.Obj> said = lines(turn, "{\"do\":\"show\",\"name\":\"plan\",\"known\":" + known + "}",
                    SPARE_MILLIS);
            Json.Obj o = said.isEmpty() ? null : said.get(0);
            long lease = o == null ? 0 : (long) o.number("lease_ms", 0);
            String basis = o == null ? "" : o.text("basis");
            if (lease == 0 || !basis.equals("version") && !basis.equals("careful")) {
                throw new IOException("the gatherer at " + address(turn) + ": has no lease");
            }
            long number = basis.equals("version") ? (long) o.number("acting", 0) : 0;
            return new LeasedPlan(lease, number,
                    number == 0 || o.text("body") == null ? null : state(number, o.text("body")));
        });
    }

    /** What a version is too large by, or null: what is agreed on is bounded. */
    public static String sizeFault(MigrationPlan next) {
        return next.maxEncodedLength() <= RuleStateMachine.MAX_BODY_CHARS ? null
                : "the plan has " + next.maxEncodedLength() + " characters while its moves are"
                        + " out, and gatherers agree on " + RuleStateMachine.MAX_BODY_CHARS
                        + " at most: drain fewer nodes at once, give blocks and"
                        + " nodes shorter ids, or carry it out by one author with --dir";
    }

    private ProposalOutcome propose(int turn, long parent, MigrationPlan next) throws IOException, PlanStoreException {
        var line = new StringBuilder("{\"do\":\"propose\",\"name\":\"plan\",\"number\":").append(parent)
                .append(",\"wait_ms\":").append(PROPOSE_MILLIS);
        Json.quote(line.append(",\"author\":"), author);
        Json.quote(line.append(",\"body\":"), next.body());
        Json.quote(line.append(",\"fallback\":"), next.fallback());
        List<Json.Obj> said = lines(turn, line.append('}').toString(), PROPOSE_MILLIS + SPARE_MILLIS);
        if (said.isEmpty()) {
            throw new IOException("it did not answer");
        }
        String refused = said.get(0).text("refused");
        return new ProposalOutcome((long) said.get(0).number("version", 0), refused == null ? "" : refused);
    }

    private static MigrationPlan state(long number, String body) throws PlanStoreException {
        try {
            return MigrationPlan.decode(DocumentSchemas.PLAN.parse(body));
        } catch (InvalidRuleException | IllegalArgumentException e) {
            throw new PlanStoreException(
                    "version " + number + " of the plan can't be read by this program: " + e.getMessage()
                            + "; use the program that wrote it",
                    e);
        }
    }

    private String address(int turn) {
        InetSocketAddress a = at.get(Math.floorMod(turn, at.size()));
        return a.getHostString() + ':' + a.getPort();
    }

    /** An answer that is no fault; what is not known is told as one that can't be asked, as the next may know. */
    private List<Json.Obj> lines(int turn, String line, long millis) throws IOException {
        try {
            var all = new ArrayList<Json.Obj>();
            for (String l : asking.ask(at.get(Math.floorMod(turn, at.size())), line, millis).split("\n")) {
                byte[] bytes = l.getBytes(StandardCharsets.UTF_8);
                if (!l.isEmpty()) {
                    all.add(Json.object(bytes, 0, bytes.length));
                }
            }
            for (Json.Obj o : all) {
                String why = o.text("unknown") != null ? o.text("unknown") : o.text("fault");
                if (why != null) {
                    throw new IOException(why);
                }
            }
            return all;
        } catch (IOException | Json.Malformed e) {
            throw new IOException("the gatherer at " + address(turn) + ": " + e.getMessage(), e);
        }
    }

    private interface ControlCall<T> {
        T once(int turn) throws IOException, PlanStoreException;
    }

    /** Asks the one whose turn it is; where it fails the turn is the next one's. */
    private <T> T once(ControlCall<T> each) throws IOException, PlanStoreException {
        int now = turn.get();
        try {
            return each.once(now);
        } catch (IOException e) {
            turn.compareAndSet(now, now + 1);
            throw e;
        }
    }

    private <T> T until(long millis, ControlCall<T> each) throws PlanStoreException, InterruptedException {
        long until = System.nanoTime() + millis * NANOS;
        while (true) {
            try {
                return once(each);
            } catch (IOException e) {
                if (System.nanoTime() - until >= 0) {
                    throw new PlanStoreException(e.getMessage() + "; none of those in --rules could say more for "
                            + millis / 1_000
                            + " s: see that more than half of the voters run and hear each other (rules explain)", e);
                }
            }
            Thread.sleep(AGAIN_MILLIS);
        }
    }
}
