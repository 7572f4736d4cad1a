package wallmoor.migration.http;

import java.io.IOException;
import java.io.InputStream;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import wallmoor.migration.MigrationAction;
import wallmoor.migration.MigrationCoordinator;
import wallmoor.migration.MigrationCoordinator.OperatorCommand;
import wallmoor.migration.MigrationPlan;
import wallmoor.migration.MigrationStatus;
import wallmoor.migration.MigrationStatus.MigrationPhase;
import wallmoor.migration.ReplicaResponse;
import wallmoor.threads.Threads;

/**
 * Runs a {@link MigrationCoordinator}: the calling thread owns it and the plan; a pool of threads waits for the nodes'
 * responses and passes them on through a bounded queue.
 */
public final class MigrationRunner {
    private static final Logger LOG = LoggerFactory.getLogger(MigrationRunner.class);
    /** Maximum of concurrent requests (one per migration, one per node of a survey); more fail and are retried. */
    private static final int MAX_REQUESTS = 32;
    /** Maximum of responses that wait for the owning thread; each thread of the pool has one at most. */
    private static final int QUEUE_CAPACITY = 2 * MAX_REQUESTS;
    private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(2);
    /** Covers the fetch of a chunk, and reading a whole block for its checksums. */
    private static final Duration RESPONSE_TIMEOUT = Duration.ofSeconds(20);
    private static final long TICK_MILLIS = 10;
    /** Interval of reading operators' commands and publishing progress. */
    private static final long OPERATOR_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(200);
    private static final int HTTP_OK = 200;

    private final MigrationCoordinator coordinator;
    private final PlanStore store;
    private final Map<String, String> addressByNode;
    private final HttpClient client = HttpClient.newBuilder().connectTimeout(CONNECT_TIMEOUT)
            .version(HttpClient.Version.HTTP_1_1).build();
    private final ThreadPoolExecutor requestThreads = Threads.pool("migration-request", MAX_REQUESTS);
    private final BlockingQueue<Supplier<List<MigrationAction>>> events = new ArrayBlockingQueue<>(QUEUE_CAPACITY);
    private long operatorServedAt = System.nanoTime() - OPERATOR_INTERVAL_NANOS;
    private String loggedSummary = "";
    private MigrationPlan plan;

    /** @param addressByNode address of each node, as host:port */
    public MigrationRunner(MigrationCoordinator coordinator, PlanStore store, Map<String, String> addressByNode) {
        this.coordinator = coordinator;
        this.store = store;
        this.addressByNode = Map.copyOf(addressByNode);
    }

    /** Runs until all migrations are finished or stopped, and returns which of the two phases was reached. */
    public MigrationPhase run() throws PlanStoreException, InterruptedException {
        try {
            while (true) {
                takePlanUpdates();
                proceed();
                MigrationStatus status = coordinator.status();
                boolean ended = status.phase() == MigrationPhase.FINISHED || status.phase() == MigrationPhase.STOPPED;
                if (ended || System.nanoTime() - operatorServedAt >= OPERATOR_INTERVAL_NANOS) {
                    operatorServedAt = System.nanoTime();
                    takeCommand();
                    publish(status);
                }
                if (ended) {
                    return status.phase();
                }
            }
        } finally {
            requestThreads.shutdownNow();
        }
    }

    private void takePlanUpdates() throws PlanStoreException {
        for (PlanStore.PlanUpdate update = store.poll(); update != null; update = store.poll()) {
            if (update.isRejection()) {
                perform(coordinator.onProposalRejected(nowMicros(), update.version()));
            } else {
                plan = update.plan();
                perform(coordinator.onVersionActive(nowMicros(), update.version(), plan));
            }
        }
    }

    /** Handles the next response, or a tick if there is none; does neither while the plan may be outdated. */
    private void proceed() throws PlanStoreException, InterruptedException {
        if (store.isCurrent()) {
            Supplier<List<MigrationAction>> event = events.poll(TICK_MILLIS, TimeUnit.MILLISECONDS);
            perform(event == null ? coordinator.onTick(nowMicros()) : event.get());
        } else {
            TimeUnit.MILLISECONDS.sleep(TICK_MILLIS);
        }
    }

    private void takeCommand() throws PlanStoreException {
        OperatorCommand command = plan == null ? null : store.pendingCommand();
        if (command == null) {
            return;
        }
        boolean reflected = command == OperatorCommand.STOP ? plan.stopped()
                : plan.paused() == (command == OperatorCommand.PAUSE);
        if (reflected) {
            store.clearCommand();
        } else {
            perform(coordinator.onCommand(nowMicros(), command));
        }
    }

    private void publish(MigrationStatus status) throws PlanStoreException {
        store.publishProgress(ProgressReport.encode(status, System.currentTimeMillis()));
        String summary = status.phase() + "|" + status.blockedReason() + "|" + status.lastFailure();
        if (!summary.equals(loggedSummary)) {
            loggedSummary = summary;
            LOG.info("migration status: version={} phase={} stuck=\"{}\" given_up=\"{}\"", status.version(),
                    status.phase(), status.blockedReason(), status.lastFailure());
        }
    }

    private void perform(List<MigrationAction> actions) throws PlanStoreException {
        for (MigrationAction action : actions) {
            if (action instanceof MigrationAction.ProposePlan proposal) {
                store.propose(proposal);
            } else if (action instanceof MigrationAction.SendRequest request) {
                try {
                    requestThreads.execute(() -> exchange(request));
                } catch (RejectedExecutionException e) {
                    perform(coordinator.onRequestFailed(nowMicros(), request.requestId(),
                            "too many requests are out"));
                }
            }
        }
    }

    /** Sends a request and queues its outcome; runs on a thread of the pool. */
    private void exchange(MigrationAction.SendRequest request) {
        try {
            Supplier<List<MigrationAction>> event;
            try {
                ReplicaResponse response = send(request);
                event = () -> coordinator.onResponse(nowMicros(), request.requestId(), response);
            } catch (IOException e) {
                event = () -> coordinator.onRequestFailed(nowMicros(), request.requestId(), "no answer (" + e + ")");
            }
            events.put(event);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt(); // the run has ended
        }
    }

    private ReplicaResponse send(MigrationAction.SendRequest request) throws IOException, InterruptedException {
        String address = addressByNode.get(request.node());
        if (address == null) {
            throw new IOException("has no address in the file");
        }
        String message = MigrationCodec.encode(request.block(), request.fencingToken(), request.request());
        HttpResponse<InputStream> response = client.send(httpRequest(address, message),
                HttpResponse.BodyHandlers.ofInputStream());
        byte[] body;
        try (InputStream in = response.body()) {
            body = in.readNBytes(MigrationCodec.MAX_RESPONSE_BYTES);
        }
        if (response.statusCode() != HTTP_OK) {
            throw new IOException("answers " + response.statusCode());
        }
        return MigrationCodec.decodeResponse(body);
    }

    private static HttpRequest httpRequest(String address, String message) throws IOException {
        try {
            return HttpRequest.newBuilder(URI.create("http://" + address + "/moves")).timeout(RESPONSE_TIMEOUT)
                    .POST(HttpRequest.BodyPublishers.ofString(message)).build();
        } catch (IllegalArgumentException e) {
            throw new IOException("has no valid address in the file: " + address, e);
        }
    }

    private static long nowMicros() {
        return TimeUnit.NANOSECONDS.toMicros(System.nanoTime());
    }
}
