import java.io.IOException;
import java.nio.file.Files;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A planned restart (SIGTERM) of one gatherer while one of six calendar nodes takes parts and answers none. Every
 * request that the gatherer had taken before SIGTERM must get one final answer before its time is up.
 */
final class PlannedRestart {
    private static final int CELLS = 2;
    private static final int NODES_PER_CELL = 3;
    /** The time that a client waits: the give-up time of class hold-car. */
    private static final int DEADLINE_MILLIS = 4_000;
    /** Up to half a second after its time an answer only earns nothing; later, or never, the request is lost. */
    private static final int TOLERANCE_MILLIS = 500;
    /** SIGKILL arrives no earlier than 3.7 s after SIGTERM (the longest deadline, taken as 3 s, plus 0.7 s); here later. */
    private static final int KILL_AFTER_MILLIS = 5_000;
    private static final int HOLDS_BEFORE_TERM = 12;

    private static final class Request {
        final String id;
        long sentAt;
        long endedAt;
        volatile String end;

        Request(String id) {
            this.id = id;
        }
    }

    public static void main(String[] args) {
        Lab.run(args, PlannedRestart::run);
    }

    private static int run(Lab lab) throws Exception {
        var silent = new AtomicBoolean();
        var swallowed = new AtomicInteger();
        var discovery = new Discovery();
        for (int cell = 0; cell < CELLS; cell++) {
            for (int i = 0; i < NODES_PER_CELL; i++) {
                String name = "s-" + cell + i;
                boolean swallows = cell == 0 && i == 0;
                var worker = new Worker(name, part -> {
                    if (swallows && silent.get()) {
                        swallowed.incrementAndGet();
                        lab.note(name + " takes " + part.id + " and does not answer");
                        return;
                    }
                    Thread.sleep(110);
                    part.answer("ok", "doc-" + part.id);
                });
                discovery.put(name, worker.port(), cell, i % 2 == 0 ? "khi-clifton" : "khi-korangi", "std-2c",
                        "SERVING");
            }
        }
        int port = lab.port();
        String config = Files.readString(lab.root.resolve("example/config.json")).replace("127.0.0.1:3000",
                "127.0.0.1:" + port).replace("127.0.0.1:8500", "127.0.0.1:" + discovery.port());
        Process gatherer = lab.startGatherer("gatherer", lab.write("config.json", config), null);
        lab.awaitReady(port);
        Thread.sleep(500);

        // usual traffic, all of it answered
        for (int i = 0; i < 40; i++) {
            try (var client = new Http(port)) {
                Http.Response response = hold(client, "warm" + i);
                if (response.status() != 200) {
                    lab.note("warm-up request " + i + " got " + response.status());
                }
            }
        }
        silent.set(true);
        lab.note("node s-00 is silent from now on (one of six)");
        List<Request> requests = new ArrayList<>();
        List<Thread> clients = new ArrayList<>();
        for (int i = 0; i < HOLDS_BEFORE_TERM; i++) {
            var request = new Request("hold" + i);
            requests.add(request);
            var thread = new Thread(() -> send(lab, port, request));
            clients.add(thread);
            thread.start();
            Thread.sleep(15);
        }
        Thread.sleep(30);
        long termAt = Long.MAX_VALUE;
        if (lab.trouble) {
            termAt = lab.now();
            lab.signal("gatherer", gatherer, "TERM");
        }
        // the platform sends SIGKILL to a process that still runs then
        if (lab.trouble) {
            if (gatherer.waitFor(termAt + KILL_AFTER_MILLIS - lab.now(), TimeUnit.MILLISECONDS)) {
                lab.note("the gatherer has exited by itself, " + (lab.now() - termAt) + " ms after SIGTERM, status "
                        + gatherer.exitValue());
            } else {
                lab.signal("gatherer", gatherer, "KILL");
            }
        }
        for (Thread thread : clients) {
            thread.join(10_000);
        }
        lab.noteLog("gatherer", 4);
        if (swallowed.get() == 0) {
            lab.note("the silent node was sent nothing");
            return Lab.NOT_RUN;
        }
        return judge(lab, requests, termAt);
    }

    private static Http.Response hold(Http client, String id) throws IOException {
        client.send("POST /api", Map.of("X-Request-Id", id, "X-Class", "hold-car", "X-Deadline",
                DEADLINE_MILLIS + "m"), "{\"shards\":[{\"shard\":0,\"weight\":1}],\"q\":\"lhr\"}");
        return client.read(DEADLINE_MILLIS + 2_000);
    }

    private static void send(Lab lab, int port, Request request) {
        try (var client = new Http(port)) {
            request.sentAt = lab.now();
            Http.Response response = hold(client, request.id);
            request.end = "answer " + response.status();
        } catch (IOException e) {
            request.end = "no answer: " + e.getMessage();
        }
        request.endedAt = lab.now();
    }

    private static int judge(Lab lab, List<Request> requests, long termAt) {
        int lost = 0;
        for (Request request : requests) {
            long took = request.endedAt - request.sentAt;
            boolean answered = request.end != null && request.end.startsWith("answer ");
            boolean inTime = took <= DEADLINE_MILLIS + TOLERANCE_MILLIS;
            // what SIGKILL finds unanswered is excused for a request that arrived before it
            boolean excused = !answered && termAt != Long.MAX_VALUE && request.endedAt >= termAt + KILL_AFTER_MILLIS;
            boolean isLost = !(answered && inTime) && !excused;
            lost += isLost ? 1 : 0;
            lab.note(request.id + " sent at " + request.sentAt + (termAt == Long.MAX_VALUE ? ""
                    : " (" + (termAt - request.sentAt) + " ms before SIGTERM)") + ": " + request.end + " after " + took
                    + " ms" + (isLost ? "  <- LOST: taken, and no final answer" : excused ? "  (excused)" : ""));
        }
        lab.note("lost: " + lost + " of " + requests.size());
        return lost > 0 ? Lab.BROKEN : Lab.HELD;
    }

    private PlannedRestart() {}
}
