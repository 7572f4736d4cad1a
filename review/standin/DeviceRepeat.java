import java.io.IOException;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.UUID;
import java.util.concurrent.ThreadLocalRandom;

/**
 * A device books a car over the edge, loses its link, and repeats the query under the same id. Between the two, the
 * operators have replaced the settings by ones without the query's class (SIGHUP). The device must receive the one
 * outcome of its query.
 */
final class DeviceRepeat {
    private static final String QUERY = "{\"class\":\"hold-car\",\"deadline_ms\":4000,"
            + "\"shards\":[{\"shard\":0,\"weight\":1}],\"q\":\"car-17\"}";

    public static void main(String[] args) {
        Lab.run(args, DeviceRepeat::run);
    }

    private static int run(Lab lab) throws Exception {
        List<String> booked = Collections.synchronizedList(new ArrayList<>());
        var discovery = new Discovery();
        for (int i = 0; i < 4; i++) {
            String name = "s-" + i;
            var worker = new Worker(name, part -> {
                Thread.sleep(110);
                if (part.id.startsWith("e")) {
                    booked.add(part.id);
                    lab.note(name + " RUNS the hold \"" + part.text + "\" as part " + part.id);
                }
                part.answer("ok", "booked-" + part.text);
            });
            discovery.put(name, worker.port(), i % 2, i < 2 ? "khi-clifton" : "khi-korangi", "std-2c", "SERVING");
        }
        int port = lab.port();
        int edgePort = lab.port();
        String config = Files.readString(lab.root.resolve("example/config.json")).replace("127.0.0.1:3000",
                "127.0.0.1:" + port).replace("127.0.0.1:8500", "127.0.0.1:" + discovery.port());
        Path configFile = lab.write("config.json", config);
        lab.write("devices.csv", Files.readString(lab.root.resolve("example/devices.csv")));
        Path operator = lab.write("operator.yaml", "edge:\n  devices: devices.csv\n  http: {listen: \"127.0.0.1:"
                + edgePort + "\"}\n");
        String token = Files.readString(lab.root.resolve("example/counter-17.token")).strip();
        Process gatherer = lab.startGatherer("gatherer", configFile, operator);
        lab.awaitReady(port);
        lab.awaitListening(edgePort);
        Thread.sleep(5_500); // for the first 5 s after a start new holds are reported as forgotten

        String id = newId();
        var headers = Map.of("Authorization", "Bearer " + token, "Content-Type", "application/json");
        lab.note("device sends hold " + id);
        try (var device = new Http(edgePort)) {
            device.send("PUT /queries/" + id, headers, QUERY);
            Thread.sleep(40);
        }
        lab.note("the device's link breaks");
        Thread.sleep(1_000);
        if (lab.trouble) {
            Files.writeString(configFile, withoutHoldCar(config));
            lab.signal("gatherer", gatherer, "HUP");
        }
        Thread.sleep(1_500);
        Http.Response outcome;
        try (var device = new Http(edgePort)) {
            outcome = device.request("GET /queries/" + id, headers, "", 3_000);
        }
        lab.note("for comparison, GET of the outcome: " + outcome.status() + " " + outcome.body().strip());
        Http.Response response;
        try (var device = new Http(edgePort)) {
            response = device.request("PUT /queries/" + id, headers, QUERY, 6_000);
        }
        lab.note("device repeats the hold " + id + " and receives " + response.status() + " "
                + response.body().strip());
        lab.noteLog("gatherer", 2);
        if (booked.size() != 1) {
            lab.note("the hold ran " + booked.size() + " times");
            return booked.isEmpty() ? Lab.NOT_RUN : Lab.BROKEN;
        }
        boolean isOutcome = response.status() == 200 && response.body().contains("booked-car-17");
        lab.note(isOutcome ? "the repeat received the one outcome of the hold"
                : "the hold ran, and its repeat did NOT receive its outcome");
        return isOutcome ? Lab.HELD : Lab.BROKEN;
    }

    /** Returns a UUID of version 7 that was created now. */
    static String newId() {
        long millis = System.currentTimeMillis();
        long random = ThreadLocalRandom.current().nextLong();
        return new UUID((millis << 16) | 0x7000 | (random & 0xfff),
                0x8000000000000000L | (random >>> 2)).toString();
    }

    /** Returns the settings without the class hold-car, which is the last one. */
    private static String withoutHoldCar(String config) {
        return config.replaceAll(",\\s*\\{\"Name\": \"hold-car\"[^}]*\\}", "")
                .replaceAll("(\"(NeedByClass|FloorByClass|PartialEarns|FollowUp)\": \\[[^,\\]]*,[^,\\]]*),[^,\\]]*\\]",
                        "$1]");
    }

    private DeviceRepeat() {}
}
