package wallmoor.migration.http;

import java.io.IOException;
import java.io.InputStream;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Supplier;
import wallmoor.http.Threads;
import wallmoor.json.Json;
import wallmoor.migration.MigrationAction;
import wallmoor.migration.MigrationCoordinator;
import wallmoor.migration.MigrationPlan;
import wallmoor.migration.MigrationStatus;
import wallmoor.migration.ReplicaResponse;
import wallmoor.rules.DocumentSchemas;
import wallmoor.rules.InvalidRuleException;
import wallmoor.rules.RuleDocument;

/** Carries out what a {@link MigrationCoordinator} decides: one thread for its state, a few that wait for nodes. */
public final class MigrationRunner {
    /** Requests at once: a move has one out, and a survey one a node; more are told as failed and asked again. */
    private static final int AT_ONCE = 32;
    /** Answers that wait for the one thread: one a request. */
    private static final int QUEUE = 2 * AT_ONCE;
    private static final Duration CONNECT = Duration.ofSeconds(2);
    /** A chunk is fetched, or a block's chunks are read for their sums, in this time. */
    private static final Duration ANSWER = Duration.ofSeconds(20);
    private static final long TICK_MILLIS = 10;
    private static final long LOOK_NANOS = TimeUnit.MILLISECONDS.toNanos(200);

    private final MigrationCoordinator mover;
    private final PlanStore plan;
    private final Map<String, String> addresses;
    private final Consumer<String> log;
    private final HttpClient client = HttpClient.newBuilder().connectTimeout(CONNECT)
            .version(HttpClient.Version.HTTP_1_1).build();
    private final ThreadPoolExecutor waiting = Threads.pool("moves-ask", AT_ONCE);
    private final BlockingQueue<Supplier<List<MigrationAction>>> events = new ArrayBlockingQueue<>(QUEUE);
    private long looked = System.nanoTime() - LOOK_NANOS;
    private String said = "";
    private MigrationPlan state;

    /** One by this plan. {@code addresses} are host:port by node. */
    public MigrationRunner(MigrationCoordinator mover, PlanStore plan, Map<String, String> addresses,
            Consumer<String> log) {
        this.mover = mover;
        this.plan = plan;
        this.addresses = Map.copyOf(addresses);
        this.log = log;
    }

    /** Carries out until all is moved or it was stopped; says which. */
    public MigrationStatus.MigrationPhase run() throws PlanStoreException, InterruptedException {
        try {
            while (true) {
                hear();
                if (plan.isCurrent()) {
                    Supplier<List<MigrationAction>> event = events.poll(TICK_MILLIS, TimeUnit.MILLISECONDS);
                    act(event == null ? mover.onTick(now()) : event.get());
                } else {
                    TimeUnit.MILLISECONDS.sleep(TICK_MILLIS); // somebody may have paused it: nothing is asked of a node
                }
                MigrationStatus status = mover.status();
                if (System.nanoTime() - looked >= LOOK_NANOS) {
                    looked = System.nanoTime();
                    wish();
                    tell(status);
                }
                if (status.phase() == MigrationStatus.MigrationPhase.FINISHED
                        || status.phase() == MigrationStatus.MigrationPhase.STOPPED) {
                    wish();
                    tell(status);
                    return status.phase();
                }
            }
        } finally {
            waiting.shutdownNow();
        }
    }

    private void hear() throws PlanStoreException {
        for (PlanStore.PlanUpdate n = plan.poll(); n != null; n = plan.poll()) {
            if (n.plan() == null) {
                act(mover.onProposalRejected(now(), n.version()));
            } else {
                state = n.plan();
                act(mover.onVersionActive(now(), n.version(), state));
            }
        }
    }

    private void wish() throws PlanStoreException {
        String word = plan.wish();
        if (word.isEmpty() || state == null) {
            return;
        }
        try {
            MigrationCoordinator.OperatorCommand wish = MigrationCoordinator.OperatorCommand
                    .valueOf(word.toUpperCase(Locale.ROOT));
            if (wish == MigrationCoordinator.OperatorCommand.STOP ? state.stopped()
                    : state.paused() == (wish == MigrationCoordinator.OperatorCommand.PAUSE)) {
                plan.clearCommand();
            } else {
                act(mover.onCommand(now(), wish));
            }
        } catch (IllegalArgumentException e) {
            log.accept("moves: no wish: " + word);
            plan.clearCommand();
        }
    }

    private void tell(MigrationStatus status) throws PlanStoreException {
        plan.progress(json(status, System.currentTimeMillis()));
        String line = status.phase() + (status.blockedReason().isEmpty() ? "" : ": " + status.blockedReason())
                + (status.lastFailure().isEmpty() ? "" : "; given up: " + status.lastFailure());
        if (!line.equals(said)) {
            said = line;
            log.accept("moves: version " + status.version() + ": " + line);
        }
    }

    private void act(List<MigrationAction> actions) throws PlanStoreException {
        for (MigrationAction a : actions) {
            if (a instanceof MigrationAction.ProposePlan p) {
                plan.propose(p);
            } else if (a instanceof MigrationAction.SendRequest s) {
                try {
                    waiting.execute(() -> ask(s));
                } catch (RejectedExecutionException e) {
                    act(mover.onRequestFailed(now(), s.requestId(), "too many requests are out"));
                }
            }
        }
    }

    /** What a document says. */
    public static MigrationPlan decode(RuleDocument document) throws PlanStoreException {
        try {
            return MigrationPlan.decode(DocumentSchemas.PLAN.validate(document));
        } catch (InvalidRuleException | IllegalArgumentException e) {
            throw new PlanStoreException(
                    "version " + document.version() + " of the plan can't be read by this program: "
                            + e.getMessage() + "; use the program that wrote it",
                    e);
        }
    }

    private void ask(MigrationAction.SendRequest s) {
        Supplier<List<MigrationAction>> event;
        try {
            String address = addresses.get(s.node());
            if (address == null) {
                throw new IOException("has no address in the file");
            }
            HttpResponse<InputStream> response = client.send(
                    HttpRequest.newBuilder(URI.create("http://" + address + "/moves"))
                            .timeout(ANSWER)
                            .POST(HttpRequest.BodyPublishers
                                    .ofString(MigrationCodec.encode(s.block(), s.fencingToken(), s.request())))
                            .build(),
                    HttpResponse.BodyHandlers.ofInputStream());
            byte[] body;
            try (var in = response.body()) {
                body = in.readNBytes(MigrationCodec.MAX_RESPONSE_BYTES);
            }
            if (response.statusCode() != 200) {
                throw new IOException("answers " + response.statusCode());
            }
            ReplicaResponse answer = MigrationCodec.decodeResponse(body);
            event = () -> mover.onResponse(now(), s.requestId(), answer);
        } catch (IOException | IllegalArgumentException e) {
            event = () -> mover.onRequestFailed(now(), s.requestId(), "no answer (" + e + ")");
        } catch (InterruptedException e) {
            return; // it ends
        }
        try {
            events.put(event);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private static long now() {
        return System.nanoTime() / 1_000;
    }

    /** A status as JSON, with the time it was true at. */
    static String json(MigrationStatus status, long at) {
        var to = new StringBuilder("{\"version\":").append(status.version()).append(",\"phase\":\"")
                .append(status.phase().name().toLowerCase(Locale.ROOT)).append("\",\"bytes_per_second\":")
                .append(status.bytesPerSecond())
                .append(",\"at_ms\":").append(at).append(",\"pid\":").append(ProcessHandle.current().pid());
        Json.quote(to.append(",\"stuck\":"), status.blockedReason());
        Json.quote(to.append(",\"given_up\":"), status.lastFailure());
        to.append(",\"moves\":[");
        for (int i = 0; i < status.migrations().size(); i++) {
            MigrationStatus.MigrationProgress m = status.migrations().get(i);
            Json.quote(to.append(i == 0 ? "{" : ",{").append("\"block\":"), m.migration().block());
            Json.quote(to.append(",\"from\":"), m.migration().from());
            Json.quote(to.append(",\"to\":"), m.migration().to());
            to.append(",\"mb\":").append(m.migration().sizeMb()).append(",\"wave\":").append(m.migration().wave())
                    .append(",\"stage\":\"")
                    .append(m.migration().stage().name().toLowerCase(Locale.ROOT)).append("\",\"there\":")
                    .append(Math.round(m.copiedFraction() * 1000) / 1000.0);
            Json.quote(to.append(",\"waits\":"), m.waitingFor());
            to.append('}');
        }
        return to.append("]}").toString();
    }
}
