import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

/**
 * A gatherer dies while a payment post is with a ledger host that has applied it already. The client repeats its request
 * at another gatherer with the same receipt number, which the ledger fleet drops for four seconds if it is shown it.
 */
final class Payments {
    private static final int SECTIONS = 6;
    private static final int GATHERERS = 3;
    private static final int GIVE_UP_MILLIS = 4_000;
    /** For how long the ledger fleet drops a repeated part, by any holder of its section. */
    private static final int WINDOW_MILLIS = 4_000;
    /** The work of a part is 120 to 170 ms. Then the host stands still for 200 ms, before its answer is sent. */
    private static final int APPLIED_AFTER_MILLIS = 120;
    private static final int ANSWERED_AFTER_MILLIS = 320;
    /** The waits of a client before it repeats; the front layer notices a dead gatherer after 1.7 to 3.6 s. */
    private static final int FIRST_WAIT_MILLIS = 600;
    private static final int SECOND_WAIT_MILLIS = 1_200;
    private static final String RECEIPT = "5c0f6e1a2b3d4c59a8b7c6d5e4f30211";

    /** The ledger: shared by all hosts of a section, so that any of them drops a repeat. */
    private final Lab lab;
    private final Map<String, Long> appliedAt = new HashMap<>();
    private final List<String> applied = new ArrayList<>();
    private final CountDownLatch firstApplied = new CountDownLatch(1);

    private Payments(Lab lab) {
        this.lab = lab;
    }

    public static void main(String[] args) {
        Lab.run(args, lab -> new Payments(lab).run());
    }

    /** Applies a payment, unless it is a repeat by its key or, without a key, by the id of its part. */
    private synchronized void apply(String host, Worker.Part part) {
        String key = part.list.matches("(.*,)?k=[^,]+(,.*)?") ? part.list.replaceAll("(.*,)?k=([^,]+).*", "$2") : null;
        String identity = (key == null ? "part " + part.id : "key " + key + " section " + part.shard);
        Long before = appliedAt.get(identity);
        if (before != null && lab.now() - before < WINDOW_MILLIS) {
            lab.note(host + " drops the repeat " + part.id);
            return;
        }
        appliedAt.put(identity, lab.now());
        applied.add(part.text);
        lab.note(host + " APPLIES the payment \"" + part.text + "\" of part " + part.id + ", list \"" + part.list
                + "\" (" + (key == null ? "no idempotency key" : "key " + key) + ")");
        firstApplied.countDown();
    }

    private int run() throws Exception {
        var discovery = new Discovery();
        for (int i = 0; i < 3; i++) {
            String name = "host-" + i;
            var worker = new Worker(name, part -> {
                lab.note(name + " receives part " + part.id + " section " + part.shard);
                Thread.sleep(APPLIED_AFTER_MILLIS);
                if (part.isGivenUp()) {
                    lab.note(name + " stops the work of " + part.id + ": given up");
                    return;
                }
                apply(name, part);
                Thread.sleep(ANSWERED_AFTER_MILLIS - APPLIED_AFTER_MILLIS);
                part.answer("ok", "receipt-" + part.text);
            });
            discovery.put(name, worker.port(), 0, List.of("ridge", "osu", "tema").get(i), "std-2core", "SERVING");
        }
        int[] ports = {lab.port(), lab.port(), lab.port()};
        Process[] gatherers = new Process[GATHERERS];
        for (int i = 0; i < GATHERERS; i++) {
            Path config = lab.write("g" + i + ".json", config("g" + i, ports[i], discovery.port(), i));
            gatherers[i] = lab.startGatherer("g" + i, config, null);
        }
        for (int port : ports) {
            lab.awaitReady(port);
        }
        Thread.sleep(1_500);
        var killer = new Thread(() -> {
            try {
                if (lab.trouble && firstApplied.await(5, TimeUnit.SECONDS)) {
                    lab.signal("g0", gatherers[0], "KILL");
                }
            } catch (IOException | InterruptedException e) {
                lab.note("could not kill g0: " + e);
            }
        });
        killer.start();
        int status = post(ports[0], "9b1f03aa5c7e2d41", false);
        if (status != 200) { // the client repeats by itself up to two times, after a wait
            Thread.sleep(FIRST_WAIT_MILLIS);
            status = post(ports[0], "d2b6c0e94f17a835", true); // the front layer still sends to the dead gatherer
        }
        if (status != 200) {
            Thread.sleep(SECOND_WAIT_MILLIS); // by now the front layer has noticed
            post(ports[1], "a07c5521f09be34d", true);
        }
        Thread.sleep(1_000);
        killer.join();
        if (applied.isEmpty()) {
            lab.note("no payment was applied");
            return Lab.NOT_RUN;
        }
        lab.note("the payment with receipt " + RECEIPT + " was applied " + applied.size() + " time(s)");
        return applied.size() > 1 ? Lab.BROKEN : Lab.HELD;
    }

    private int post(int port, String requestId, boolean isRetry) {
        var headers = new HashMap<>(Map.of("X-Request-Id", requestId, "X-Class", "payment-post", "X-Tenant",
                "kwabena-outlets", "X-Deadline", GIVE_UP_MILLIS + "m", "Idempotency-Key", RECEIPT));
        if (isRetry) {
            headers.put("X-Retry", "1");
        }
        lab.note("client posts the payment: request " + requestId + ", Idempotency-Key " + RECEIPT
                + (isRetry ? ", X-Retry: 1" : ""));
        try (var client = new Http(port)) {
            Http.Response response = client.request("POST /api", headers,
                    "{\"shards\":[{\"shard\":3,\"weight\":1}],\"q\":\"pay-81-cedis\"}", GIVE_UP_MILLIS + 1_000);
            lab.note("request " + requestId + " got " + response.status() + " " + response.body().strip());
            return response.status();
        } catch (IOException e) {
            lab.note("request " + requestId + " got no answer: " + e.getMessage());
            return 0;
        }
    }

    /** Returns a configuration with the classes, limits and rules of the payment ledger's page. */
    private static String config(String name, int port, int discoveryPort, int position) {
        return """
                {"name":"NAME","listen":"127.0.0.1:PORT","discovery":"127.0.0.1:DISCOVERY","seed":"8c1f30d27a5be964",
                 "limits":{"cores":1.0,"memory_mb":128,"sockets":512},
                 "known":{"revision":0,"complete":true,"members":[]},
                 "settings":{"Instances":3,"Position":POSITION,"Az":0,"Dcs":["ridge","osu","tema"],
                  "Kinds":["std-2core"],"Round":5000,"Discovery":"automatic","WorthBy":"request",
                  "Clients":{"MarksRetry":true},
                  "Classes":[
                   {"Name":"outlet-summary","Aim":2500000,"GiveUp":5000000,"LateWorth":0.1,"Repeat":"free","Worth":2},
                   {"Name":"account-search","Aim":1500000,"GiveUp":4000000,"LateWorth":0,"Repeat":"free","Worth":1},
                   {"Name":"payment-post","Aim":2000000,"GiveUp":4000000,"LateWorth":0.3,"Repeat":"guarded",
                    "Group":"all","DedupWindow":4000000,"Worth":1}],
                  "Projects":[{"Name":"kwabena-outlets","Share":0.44,"AllowancePerS":7},
                   {"Name":"esi-paypoints","Share":0.32,"AllowancePerS":5},
                   {"Name":"yaw-collections","Share":0.24,"AllowancePerS":4}],
                  "Domain":{"Slabs":SECTIONS,"Sets":1,"Reach":1,"BundleMax":1,"NeedByClass":[0.67,1,1],
                   "FloorByClass":[0.67,1,1],"PartialEarns":[0.9,0.9,0.9],"FollowUp":[0,0,0]},
                  "Limits":{"MaxAttempts":3,"MaxOpen":243,"Cancelling":true,"ParallelTries":true,
                   "ConnectTimeout":250000,"StreamsPerConn":32,"ConnIdle":15000000,"MaxRetryAfter":2000000,
                   "RetryAfter":true},
                  "Contract":{"DrainGrace":500000,"ColdShare":0.17,"Cold":18000000,"FallMultiple":2,
                   "OverloadFor":3000000,"GraceToAnswer":20000},
                  "Costs":{"CrossZone":0.02,"Waste":0.05,"LateFail":0.08}}}
                """.replace("NAME", name).replace("PORT", Integer.toString(port))
                .replace("DISCOVERY", Integer.toString(discoveryPort))
                .replace("POSITION", Integer.toString(position)).replace("SECTIONS", Integer.toString(SECTIONS));
    }
}
