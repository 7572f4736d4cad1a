package wallmoor.moves.http;

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
import wallmoor.moves.Action;
import wallmoor.moves.Mover;
import wallmoor.moves.Said;
import wallmoor.moves.State;
import wallmoor.moves.Status;
import wallmoor.versions.Document;
import wallmoor.versions.Kinds;
import wallmoor.versions.UnreadableException;

/** Carries out what a {@link Mover} decides: one thread for its state, a few that wait for nodes. */
public final class Carrier {
    /** Requests at once: a move has one out, and a survey one a node; more are told as failed and asked again. */
    private static final int AT_ONCE = 32;
    /** Answers that wait for the one thread: one a request. */
    private static final int QUEUE = 2 * AT_ONCE;
    private static final Duration CONNECT = Duration.ofSeconds(2);
    /** A chunk is fetched, or a block's chunks are read for their sums, in this time. */
    private static final Duration ANSWER = Duration.ofSeconds(20);
    private static final long TICK_MILLIS = 10;
    private static final long LOOK_NANOS = TimeUnit.MILLISECONDS.toNanos(200);

    private final Mover mover;
    private final Plan plan;
    private final Map<String, String> addresses;
    private final Consumer<String> log;
    private final HttpClient client = HttpClient.newBuilder().connectTimeout(CONNECT)
            .version(HttpClient.Version.HTTP_1_1).build();
    private final ThreadPoolExecutor waiting = Threads.pool("moves-ask", AT_ONCE);
    private final BlockingQueue<Supplier<List<Action>>> events = new ArrayBlockingQueue<>(QUEUE);
    private long looked = System.nanoTime() - LOOK_NANOS;
    private String said = "";
    private State state;

    /** One by this plan. {@code addresses} are host:port by node. */
    public Carrier(Mover mover, Plan plan, Map<String, String> addresses, Consumer<String> log) {
        this.mover = mover;
        this.plan = plan;
        this.addresses = Map.copyOf(addresses);
        this.log = log;
    }

    /** Carries out until all is moved or it was stopped; says which. */
    public Status.Phase run() throws PlanException, InterruptedException {
        try {
            while (true) {
                hear();
                if (plan.sure()) {
                    Supplier<List<Action>> event = events.poll(TICK_MILLIS, TimeUnit.MILLISECONDS);
                    act(event == null ? mover.onTick(now()) : event.get());
                } else {
                    TimeUnit.MILLISECONDS.sleep(TICK_MILLIS); // somebody may have paused it: nothing is asked of a node
                }
                Status status = mover.status();
                if (System.nanoTime() - looked >= LOOK_NANOS) {
                    looked = System.nanoTime();
                    wish();
                    tell(status);
                }
                if (status.phase() == Status.Phase.FINISHED || status.phase() == Status.Phase.STOPPED) {
                    wish();
                    tell(status);
                    return status.phase();
                }
            }
        } finally {
            waiting.shutdownNow();
        }
    }

    private void hear() throws PlanException {
        for (Plan.News n = plan.news(); n != null; n = plan.news()) {
            if (n.state() == null) {
                act(mover.onRefused(now(), n.number()));
            } else {
                state = n.state();
                act(mover.onActs(now(), n.number(), state));
            }
        }
    }

    private void wish() throws PlanException {
        String word = plan.wish();
        if (word.isEmpty() || state == null) {
            return;
        }
        try {
            Mover.Wish wish = Mover.Wish.valueOf(word.toUpperCase(Locale.ROOT));
            if (wish == Mover.Wish.STOP ? state.stopped() : state.paused() == (wish == Mover.Wish.PAUSE)) {
                plan.heeded();
            } else {
                act(mover.onWish(now(), wish));
            }
        } catch (IllegalArgumentException e) {
            log.accept("moves: no wish: " + word);
            plan.heeded();
        }
    }

    private void tell(Status status) throws PlanException {
        plan.progress(json(status, System.currentTimeMillis()));
        String line = status.phase() + (status.stuck().isEmpty() ? "" : ": " + status.stuck())
                + (status.last().isEmpty() ? "" : "; given up: " + status.last());
        if (!line.equals(said)) {
            said = line;
            log.accept("moves: version " + status.version() + ": " + line);
        }
    }

    private void act(List<Action> actions) throws PlanException {
        for (Action a : actions) {
            if (a instanceof Action.Propose p) {
                plan.propose(p);
            } else if (a instanceof Action.Send s) {
                try {
                    waiting.execute(() -> ask(s));
                } catch (RejectedExecutionException e) {
                    act(mover.onFailed(now(), s.id(), "too many requests are out"));
                }
            }
        }
    }

    /** What a document says. */
    public static State read(Document document) throws PlanException {
        try {
            return State.read(Kinds.PLAN.check(document));
        } catch (UnreadableException | IllegalArgumentException e) {
            throw new PlanException("version " + document.number() + " of the plan can't be read by this program: "
                    + e.getMessage() + "; use the program that wrote it", e);
        }
    }

    private void ask(Action.Send s) {
        Supplier<List<Action>> event;
        try {
            String address = addresses.get(s.node());
            if (address == null) {
                throw new IOException("has no address in the file");
            }
            HttpResponse<InputStream> response = client.send(
                    HttpRequest.newBuilder(URI.create("http://" + address + "/moves"))
                            .timeout(ANSWER)
                            .POST(HttpRequest.BodyPublishers.ofString(Forms.write(s.block(), s.number(), s.ask())))
                            .build(),
                    HttpResponse.BodyHandlers.ofInputStream());
            byte[] body;
            try (var in = response.body()) {
                body = in.readNBytes(Forms.MOST_BYTES);
            }
            if (response.statusCode() != 200) {
                throw new IOException("answers " + response.statusCode());
            }
            Said answer = Forms.readSaid(body);
            event = () -> mover.onAnswer(now(), s.id(), answer);
        } catch (IOException | IllegalArgumentException e) {
            event = () -> mover.onFailed(now(), s.id(), "no answer (" + e + ")");
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
    static String json(Status status, long at) {
        var to = new StringBuilder("{\"version\":").append(status.version()).append(",\"phase\":\"")
                .append(status.phase().name().toLowerCase(Locale.ROOT)).append("\",\"bytes_per_second\":")
                .append(status.rate())
                .append(",\"at_ms\":").append(at).append(",\"pid\":").append(ProcessHandle.current().pid());
        Json.quote(to.append(",\"stuck\":"), status.stuck());
        Json.quote(to.append(",\"given_up\":"), status.last());
        to.append(",\"moves\":[");
        for (int i = 0; i < status.moves().size(); i++) {
            Status.Moving m = status.moves().get(i);
            Json.quote(to.append(i == 0 ? "{" : ",{").append("\"block\":"), m.carry().block());
            Json.quote(to.append(",\"from\":"), m.carry().from());
            Json.quote(to.append(",\"to\":"), m.carry().to());
            to.append(",\"mb\":").append(m.carry().mb()).append(",\"wave\":").append(m.carry().wave())
                    .append(",\"stage\":\"")
                    .append(m.carry().stage().name().toLowerCase(Locale.ROOT)).append("\",\"there\":")
                    .append(Math.round(m.there() * 1000) / 1000.0);
            Json.quote(to.append(",\"waits\":"), m.waits());
            to.append('}');
        }
        return to.append("]}").toString();
    }
}
