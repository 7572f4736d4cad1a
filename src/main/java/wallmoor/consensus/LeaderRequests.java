package wallmoor.consensus;

import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;
import wallmoor.rules.RuleProposal;

/**
 * Requests of this process to the leader: proposals and reads of a document's history. A request is sent again until a
 * final response arrives or the caller gives up; the leader recognizes repeated requests by their id. The state belongs
 * to the control thread.
 */
final class LeaderRequests {
    private static final long RESEND_MICROS = 300_000;
    /** Limit of concurrent requests. A request beyond it is never sent, and times out. */
    private static final int MAX_PENDING = 64;

    private record PendingRequest(Packet.ClientRequest request, CompletableFuture<Packet.ClientResponse> response,
            Consumer<String> progress) {}

    private final ControlThread controlThread;
    private final Consumer<Packet.ClientRequest> sender;
    private final AtomicLong lastId = new AtomicLong(System.nanoTime());
    private final Map<Long, PendingRequest> pending = new TreeMap<>();
    private long resendAt;

    /**
     * Creates the requests.
     *
     * @param sender sends a request to the presumed leader; called on the control thread
     */
    LeaderRequests(ControlThread controlThread, Consumer<Packet.ClientRequest> sender) {
        this.controlThread = controlThread;
        this.sender = sender;
    }

    /**
     * Sends a request to the leader and waits for the final response. Must not be called on the control thread.
     *
     * @param proposal the proposal, or null to read the history of the document
     * @throws TimeoutException if no final response arrives in time; its message reports the last known state
     */
    Packet.ClientResponse call(String document, RuleProposal proposal, long timeoutMillis)
            throws TimeoutException, InterruptedException {
        var request = new Packet.ClientRequest(lastId.incrementAndGet(), document, proposal);
        var response = new CompletableFuture<Packet.ClientResponse>();
        String[] lastState = {""};
        controlThread.run(() -> begin(new PendingRequest(request, response, state -> lastState[0] = state)));
        try {
            return response.get(timeoutMillis, TimeUnit.MILLISECONDS);
        } catch (TimeoutException e) {
            throw new TimeoutException(lastState[0].isEmpty() ? "no response from a leader of the voters"
                    : "the proposal is " + lastState[0]
                            + ", but not known to be active: a gatherer may use an older version for up to a term");
        } catch (ExecutionException e) {
            throw new AssertionError("the response future never completes exceptionally", e);
        } finally {
            controlThread.run(() -> pending.remove(request.id()));
        }
    }

    private void begin(PendingRequest request) {
        if (pending.size() < MAX_PENDING) {
            pending.put(request.request().id(), request);
            sender.accept(request.request());
        }
    }

    /** Sends pending requests again when the resend interval has elapsed. */
    void tick(long nowMicros) {
        if (!pending.isEmpty() && nowMicros >= resendAt) {
            resendAt = nowMicros + RESEND_MICROS;
            pending.values().forEach(p -> sender.accept(p.request()));
        }
    }

    /** Handles a response; one that is not final only updates the known state of the request. */
    void onResponse(Packet.ClientResponse response) {
        PendingRequest request = pending.get(response.id());
        if (request != null) {
            request.progress().accept(response.state());
            if (response.isFinal()) {
                request.response().complete(response);
            }
        }
    }
}
