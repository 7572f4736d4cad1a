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
 * Requests of this process to the leader: proposals, and reads of a document's history. Each is sent again until a
 * final response comes or its caller gives up; the leader knows a repeated one by its number. State on the control
 * thread.
 */
final class LeaderRequests {
    private static final long RESEND_MICROS = 300_000;
    /** Callers that wait at once; the request of one more is never sent, and times out. */
    private static final int MAX_PENDING = 64;

    private record PendingRequest(Packet.ClientRequest request, CompletableFuture<Packet.ClientResponse> response,
            Consumer<String> progress) {}

    private final ControlThread controlThread;
    private final Consumer<Packet.ClientRequest> sender;
    private final AtomicLong lastId = new AtomicLong(System.nanoTime());
    private final Map<Long, PendingRequest> pending = new TreeMap<>();
    private long resendAt;

    /** {@code sender} sends to the presumed leader; on the control thread. */
    LeaderRequests(ControlThread controlThread, Consumer<Packet.ClientRequest> sender) {
        this.controlThread = controlThread;
        this.sender = sender;
    }

    /**
     * Asks the leader and waits for the final response. Any thread but the control thread.
     *
     * @param proposal null where the document's history is read
     * @throws TimeoutException where none came in time; its message says how far it got
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
            throw new TimeoutException(lastState[0].isEmpty() ? "no leader of the voters was heard"
                    : "it is " + lastState[0]
                            + ", and not known to act: somebody may hold an older version for up to a term");
        } catch (ExecutionException e) {
            throw new AssertionError("a response is never completed by a fault", e);
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

    /** Time passes. */
    void tick(long nowMicros) {
        if (!pending.isEmpty() && nowMicros >= resendAt) {
            resendAt = nowMicros + RESEND_MICROS;
            pending.values().forEach(p -> sender.accept(p.request()));
        }
    }

    /** A response came; one that is not final only says how far the request got. */
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
