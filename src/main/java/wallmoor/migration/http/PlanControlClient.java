package wallmoor.migration.http;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import wallmoor.json.Json;
import wallmoor.migration.MigrationPlan;
import wallmoor.rules.RuleStateMachine;

/**
 * Client of the gatherers' control ports for the document {@code plan}. It uses one gatherer until that cannot be
 * reached or has no lease, then fails over to the next. Thread-safe.
 */
public final class PlanControlClient {
    /** Time that one gatherer may take to decide on a proposal; then the same proposal is sent to the next one. */
    private static final long PROPOSE_WAIT_MILLIS = 2_000;
    /** Margin added to the time that a gatherer may wait by itself, because it may pause briefly. */
    private static final long TIMEOUT_MARGIN_MILLIS = 3_000;
    /** Timeout of a request for the history, for which the gatherer itself waits 5 s for the leader. */
    private static final long HISTORY_TIMEOUT_MILLIS = 5_000 + TIMEOUT_MARGIN_MILLIS;
    private static final long RETRY_DELAY_MILLIS = 100;
    private static final String SHOW_REQUEST = "{\"do\":\"show\",\"name\":\"plan\"}";
    private static final String HISTORY_REQUEST = "{\"do\":\"history\",\"name\":\"plan\"}";
    /** Basis of a gatherer that acts on one complete version. */
    private static final String BASIS_VERSION = "version";
    /** Basis of a gatherer that acts on what several versions have in common. */
    private static final String BASIS_CAREFUL = "careful";

    /** Sends a line to a control port, and returns all lines of the answer. */
    @FunctionalInterface
    public interface ControlTransport {
        /**
         * Sends a line to an address and returns the answer.
         *
         * @param timeoutMillis maximum wait for each piece of the answer
         */
        String exchange(InetSocketAddress address, String line, long timeoutMillis) throws IOException;
    }

    /**
     * A version that the voters have accepted.
     *
     * @param active whether it is active already
     */
    public record PlanVersion(long number, MigrationPlan plan, boolean active, String author) {}

    /**
     * The version that one gatherer acts on under its lease.
     *
     * @param leaseMillis minimum time that it may act on it, from when the request was sent
     * @param version     the version that is active everywhere; 0 where there is none, or a later one is known
     * @param plan        the plan of that version; null where the caller knows it, or there is none
     */
    record LeasedPlan(long leaseMillis, long version, MigrationPlan plan) {}

    /**
     * The outcome of a proposal.
     *
     * @param rejection why it was rejected; empty where it is active
     */
    public record ProposalOutcome(long version, String rejection) {
        /** Returns whether the proposal is the active version. */
        public boolean isActive() {
            return rejection.isEmpty();
        }
    }

    /** A call to one gatherer. */
    private interface ControlCall<T> {
        T call(int gatherer) throws IOException, PlanStoreException;
    }

    private final List<InetSocketAddress> addresses;
    private final ControlTransport transport;
    private final String author;
    /** Index of the present gatherer, modulo the number of gatherers. */
    private final AtomicInteger gathererIndex = new AtomicInteger();

    /** @param author name that is unique to this process */
    public PlanControlClient(List<InetSocketAddress> addresses, ControlTransport transport, String author) {
        this.addresses = List.copyOf(addresses);
        this.transport = transport;
        this.author = author;
    }

    /** Returns the last version that the voters have accepted, or null; retries until the timeout. */
    public PlanVersion latest(long timeoutMillis) throws PlanStoreException, InterruptedException {
        return callUntil(timeoutMillis, gatherer -> {
            PlanVersion last = null;
            for (Json.Obj line : exchange(gatherer, HISTORY_REQUEST, HISTORY_TIMEOUT_MILLIS)) {
                String body = line.text("body");
                if (body != null) {
                    long number = (long) line.number("version", 0);
                    boolean active = !"accepted".equals(line.text("state"));
                    last = new PlanVersion(number, PlanDocuments.decode(number, body), active, line.text("author"));
                }
            }
            return last;
        });
    }

    /** Returns the gatherers' lease term, in milliseconds; retries until the timeout. */
    public long termMillis(long timeoutMillis) throws PlanStoreException, InterruptedException {
        return callUntil(timeoutMillis, gatherer -> {
            List<Json.Obj> answer = exchange(gatherer, SHOW_REQUEST, TIMEOUT_MARGIN_MILLIS);
            if (answer.isEmpty() || answer.get(0).get("term_ms") == null) {
                throw new IOException(
                        "the gatherer does not report its lease term (term_ms): it runs an older program");
            }
            return (long) answer.get(0).number("term_ms", 0);
        });
    }

    /** Proposes a version and returns the outcome; repeats the proposal until the timeout. */
    public ProposalOutcome proposeAndAwait(long parentVersion, MigrationPlan plan, long timeoutMillis)
            throws PlanStoreException, InterruptedException {
        return callUntil(timeoutMillis, gatherer -> propose(gatherer, parentVersion, plan));
    }

    /** Proposes a version to one gatherer; returns null where the outcome is unknown. */
    ProposalOutcome propose(long parentVersion, MigrationPlan plan) throws PlanStoreException {
        try {
            return call(gatherer -> propose(gatherer, parentVersion, plan));
        } catch (IOException e) {
            return null;
        }
    }

    /**
     * Reads the version that a gatherer acts on under its lease.
     *
     * @param known version whose plan need not be sent again
     * @throws IOException where this gatherer has no lease or cannot be reached; the next call uses the next one
     */
    LeasedPlan readLeased(long known) throws PlanStoreException, IOException {
        String line = "{\"do\":\"show\",\"name\":\"plan\",\"known\":" + known + "}";
        return call(gatherer -> {
            List<Json.Obj> answer = exchange(gatherer, line, TIMEOUT_MARGIN_MILLIS);
            long leaseMillis = answer.isEmpty() ? 0 : (long) answer.get(0).number("lease_ms", 0);
            String basis = answer.isEmpty() ? "" : answer.get(0).text("basis");
            if (leaseMillis == 0 || (!BASIS_VERSION.equals(basis) && !BASIS_CAREFUL.equals(basis))) {
                throw new IOException("the gatherer at " + name(gatherer) + " has no lease");
            }
            long version = BASIS_VERSION.equals(basis) ? (long) answer.get(0).number("acting", 0) : 0;
            String body = answer.get(0).text("body");
            return new LeasedPlan(leaseMillis, version,
                    version == 0 || body == null ? null : PlanDocuments.decode(version, body));
        });
    }

    /** Returns the error, for operators, of a plan that is too large for consensus; null where it is not. */
    public static String sizeFault(MigrationPlan plan) {
        int length = plan.maxEncodedLength();
        return length <= RuleStateMachine.MAX_BODY_CHARS ? null
                : "the plan may grow to " + length + " characters during its moves, and gatherers agree on "
                        + RuleStateMachine.MAX_BODY_CHARS
                        + " at most: drain fewer nodes at once, give blocks and nodes shorter ids,"
                        + " or keep the plan in a directory with --dir";
    }

    private ProposalOutcome propose(int gatherer, long parentVersion, MigrationPlan plan) throws IOException {
        var line = new StringBuilder("{\"do\":\"propose\",\"name\":\"plan\",\"number\":").append(parentVersion)
                .append(",\"wait_ms\":").append(PROPOSE_WAIT_MILLIS);
        Json.quote(line.append(",\"author\":"), author);
        Json.quote(line.append(",\"body\":"), plan.body());
        Json.quote(line.append(",\"fallback\":"), plan.fallback());
        List<Json.Obj> answer = exchange(gatherer, line.append('}').toString(),
                PROPOSE_WAIT_MILLIS + TIMEOUT_MARGIN_MILLIS);
        if (answer.isEmpty()) {
            throw new IOException("the gatherer sent an empty answer to the proposal");
        }
        String rejection = answer.get(0).text("refused");
        return new ProposalOutcome((long) answer.get(0).number("version", 0), rejection == null ? "" : rejection);
    }

    private InetSocketAddress address(int gatherer) {
        return addresses.get(Math.floorMod(gatherer, addresses.size()));
    }

    private String name(int gatherer) {
        InetSocketAddress address = address(gatherer);
        return address.getHostString() + ':' + address.getPort();
    }

    /**
     * Sends a line to a gatherer and returns the lines of its answer.
     *
     * @throws IOException also where the answer is an error or the member "unknown": the next gatherer may know more
     */
    private List<Json.Obj> exchange(int gatherer, String line, long timeoutMillis) throws IOException {
        try {
            var lines = new ArrayList<Json.Obj>();
            for (String text : transport.exchange(address(gatherer), line, timeoutMillis).split("\n")) {
                byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
                if (bytes.length > 0) {
                    lines.add(Json.object(bytes, 0, bytes.length));
                }
            }
            for (Json.Obj each : lines) {
                String error = each.text("unknown") != null ? each.text("unknown") : each.text("fault");
                if (error != null) {
                    throw new IOException(error);
                }
            }
            return lines;
        } catch (IOException | Json.Malformed e) {
            throw new IOException("the gatherer at " + name(gatherer) + ": " + e.getMessage(), e);
        }
    }

    /** Calls the present gatherer; where that fails, the next call uses the next one. */
    private <T> T call(ControlCall<T> call) throws IOException, PlanStoreException {
        int gatherer = gathererIndex.get();
        try {
            return call.call(gatherer);
        } catch (IOException e) {
            gathererIndex.compareAndSet(gatherer, gatherer + 1);
            throw e;
        }
    }

    private <T> T callUntil(long timeoutMillis, ControlCall<T> call) throws PlanStoreException, InterruptedException {
        long deadline = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(timeoutMillis);
        while (true) {
            try {
                return call(call);
            } catch (IOException e) {
                if (System.nanoTime() - deadline >= 0) {
                    throw new PlanStoreException(e.getMessage()
                            + "; no gatherer of --rules gave a definite answer within "
                            + TimeUnit.MILLISECONDS.toSeconds(timeoutMillis)
                            + " s: check that more than half of the voters run and reach each other (rules explain)",
                            e);
                }
            }
            Thread.sleep(RETRY_DELAY_MILLIS);
        }
    }
}
