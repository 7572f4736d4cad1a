package wallmoor.net;

import static java.nio.charset.StandardCharsets.UTF_8;

import com.fasterxml.uuid.Generators;
import java.io.IOException;
import java.net.URI;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.Arrays;
import java.util.EnumMap;
import java.util.HexFormat;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import wallmoor.client.ClientResult;
import wallmoor.client.CoapDevice;
import wallmoor.client.HttpDevice;
import wallmoor.client.RetryBackoff;
import wallmoor.edge.EdgeRequest;
import wallmoor.standin.DatagramProxy;
import wallmoor.standin.LinkProxy;
import wallmoor.standin.LinkProxy.Fate;
import wallmoor.standin.Ports;

/**
 * A load test of the real program: many devices send queries of all classes over unreliable links, to the edge or, for
 * comparison, to the plain front. The stand-in worker counts the runs of each query by its payload.
 */
final class Storm implements AutoCloseable {
    private static final String[] CLASSES = {"any", "all", "once"};

    /**
     * The results of all queries.
     *
     * @param notLearnt     queries whose device did not learn their outcome
     * @param holdsRun      queries of class {@code once} that ran
     * @param holdsRunTwice queries of class {@code once} that ran more than once
     * @param bodiesDiffer  queries whose repeated request got another body
     * @param linksCut      TCP links that were cut
     * @param datagramsLost datagrams that were dropped
     * @param millis        the time to each query's result, in ascending order
     */
    record Tally(int asked, int answered, int refused, int failed, int notLearnt, int holdsRun, int holdsRunTwice,
            int bodiesDiffer, int linksCut, int datagramsLost, long[] millis) {
        long percentile(double share) {
            return millis.length == 0 ? -1 : millis[(int) Math.min(millis.length - 1, share * millis.length)];
        }
    }

    private final Map<String, AtomicInteger> runs = new ConcurrentHashMap<>();
    private final StandIn.Worker worker;
    private final StandIn.Discovery discovery = new StandIn.Discovery();
    private final Program program;
    private final int http;
    private final int coap;
    private final int devices;

    Storm(int devices) throws Exception {
        this.devices = devices;
        worker = new StandIn.Worker(id -> {
            try {
                Thread.sleep(5);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
            return "ok";
        });
        worker.onPart = text -> runs.computeIfAbsent(text, t -> new AtomicInteger()).incrementAndGet();
        Path folder = Files.createTempDirectory("storm");
        var rows = new StringBuilder("device,sha256\n");
        for (int d = 0; d < devices; d++) {
            rows.append("d").append(d).append(',')
                    .append(HexFormat.of().formatHex(EdgeRequest.sha256(token(d).getBytes(UTF_8))))
                    .append('\n');
        }
        Files.writeString(folder.resolve("devices.csv"), rows);
        http = Ports.free();
        coap = Ports.free();
        Path operator = folder.resolve("operator.yaml");
        Files.writeString(operator,
                "edge:\n  devices: devices.csv\n  http: {listen: 127.0.0.1:" + http + "}\n  coap: {listen: 127.0.0.1:"
                        + coap + "}\n  skew: 50ms\n  asks_per_s: 100\n  ask_burst: 1000\n  open_per_device: 32\n");
        program = new Program(discovery.port(), worker.member("a", 0, "SERVING"), operator);
        Thread.sleep(150);
    }

    private static String token(int device) {
        return "d" + device + ".secret" + device;
    }

    /** Draws what befalls each link: this share breaks, by a reset in either direction or by going silent. */
    private static LinkProxy.Script fates(double share) {
        return (number, random) -> random.nextDouble() >= share ? Fate.GOOD : switch (random.nextInt(8)) {
            case 0, 1, 2 -> new Fate(random.nextInt(600), -1, 0, 0, false);
            case 3, 4, 5, 6 -> new Fate(-1, random.nextInt(400), 0, 0, false);
            default -> new Fate(-1, random.nextInt(300), 0, 0, true);
        };
    }

    /**
     * Sends the queries to the edge, half of the devices over HTTP and half over CoAP.
     *
     * @param share  the share of links that break
     * @param atOnce devices that run concurrently
     */
    Tally edge(int queriesEach, double share, long seed, int atOnce) throws Exception {
        var results = new ConcurrentLinkedQueue<ClientResult>();
        var millis = new ConcurrentLinkedQueue<Long>();
        var differ = new AtomicInteger();
        runs.clear();
        try (var links = new LinkProxy(http, seed, fates(share));
                var datagrams = new DatagramProxy(coap, seed, share / 2, share / 3, share / 3)) {
            runDevices(atOnce, d -> {
                var random = new Random((seed * 7919 + d) * 0x9E3779B97F4A7C15L);
                try (var overCoap = d % 2 == 0 ? null
                        : new CoapDevice(URI.create("coap://127.0.0.1:" + datagrams.port()),
                                token(d), line -> {})) {
                    var overHttp = new HttpDevice(URI.create("http://127.0.0.1:" + links.port()), token(d), d % 4 == 0,
                            true,
                            Duration.ofSeconds(3), line -> {});
                    var reliable = new HttpDevice(URI.create("http://127.0.0.1:" + http), token(d), false, true,
                            Duration.ofSeconds(5), line -> {});
                    for (int q = 0; q < queriesEach; q++) {
                        String id = Generators.timeBasedEpochGenerator().generate().toString();
                        byte[] query = query(CLASSES[random.nextInt(3)], d, q);
                        long begun = System.nanoTime();
                        var backoff = new RetryBackoff(50, 1000, TimeUnit.NANOSECONDS.toMillis(begun) + 60_000);
                        ClientResult result = overCoap != null ? overCoap.ask(id, query, backoff)
                                : overHttp.ask(id, query, backoff);
                        millis.add(TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - begun));
                        results.add(result);
                        if (result.kind() != ClientResult.ClientResultKind.NOT_LEARNT
                                && !Arrays.equals(result.body(), reliable.ask(id, null, backoff).body())) {
                            differ.incrementAndGet();
                        }
                    }
                }
            });
            return tally(results, millis, differ.get(), links.cuts.get(), datagrams.lost.get());
        }
    }

    /** Sends the queries to the plain front, as a client with a simple retry: up to three after a broken link. */
    Tally plain(int queriesEach, double share, long seed, int atOnce) throws Exception {
        var results = new ConcurrentLinkedQueue<ClientResult>();
        var millis = new ConcurrentLinkedQueue<Long>();
        runs.clear();
        try (var links = new LinkProxy(program.port, seed, fates(share))) {
            runDevices(atOnce, d -> {
                var random = new Random((seed * 7919 + d) * 0x9E3779B97F4A7C15L);
                for (int q = 0; q < queriesEach; q++) {
                    String queryClass = CLASSES[random.nextInt(3)];
                    long begun = System.nanoTime();
                    ClientResult.ClientResultKind kind = ClientResult.ClientResultKind.NOT_LEARNT;
                    for (int attempt = 0; attempt < 4 && kind == ClientResult.ClientResultKind.NOT_LEARNT; attempt++) {
                        try (var client = new Client(links.port())) {
                            client.socket.setSoTimeout(3000);
                            String body = new String(query(queryClass, d, q), UTF_8);
                            int status = client
                                    .send("POST /api HTTP/1.1\r\nHost: h\r\nX-Request-Id: " + d + "-" + q + "-"
                                            + attempt + "\r\nX-Class: " + queryClass
                                            + "\r\nX-Deadline: 1900m\r\nContent-Length: "
                                            + body.length()
                                            + "\r\n\r\n" + body)
                                    .answer().status;
                            kind = status == 200 ? ClientResult.ClientResultKind.ANSWERED
                                    : status == 503 ? ClientResult.ClientResultKind.REFUSED
                                            : ClientResult.ClientResultKind.FAILED_MAY_HAVE_RUN;
                        } catch (IOException e) {
                            // the link broke: the outcome is unknown
                        }
                    }
                    millis.add(TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - begun));
                    results.add(new ClientResult(kind, new byte[0], 0));
                }
            });
            return tally(results, millis, 0, links.cuts.get(), 0);
        }
    }

    /** Returns a query whose payload names its class, its device and its number. */
    private static byte[] query(String queryClass, int device, int number) {
        return ("{\"class\":\"" + queryClass
                + "\",\"deadline_ms\":1900,\"shards\":[{\"shard\":0,\"weight\":1}],\"q\":\"" + queryClass
                + "-" + device + "-" + number + "\"}").getBytes(UTF_8);
    }

    private interface Work {
        void run(int device) throws Exception;
    }

    private void runDevices(int atOnce, Work work) throws Exception {
        ExecutorService threads = Executors.newFixedThreadPool(atOnce);
        var failures = new ConcurrentLinkedQueue<Exception>();
        for (int d = 0; d < devices; d++) {
            int device = d;
            threads.execute(() -> {
                try {
                    work.run(device);
                } catch (Exception e) {
                    failures.add(e);
                }
            });
        }
        threads.shutdown();
        if (!threads.awaitTermination(30, TimeUnit.MINUTES)) {
            throw new IllegalStateException("the devices did not finish within 30 minutes");
        }
        if (!failures.isEmpty()) {
            throw failures.peek();
        }
    }

    private Tally tally(ConcurrentLinkedQueue<ClientResult> all, ConcurrentLinkedQueue<Long> millis, int differ,
            int cut,
            int lost) {
        var kinds = new EnumMap<ClientResult.ClientResultKind, Integer>(ClientResult.ClientResultKind.class);
        all.forEach(r -> kinds.merge(r.kind(), 1, Integer::sum));
        long holds = runs.keySet().stream().filter(t -> t.startsWith("once")).count();
        long twice = runs.entrySet().stream().filter(e -> e.getKey().startsWith("once") && e.getValue().get() > 1)
                .count();
        int answered = kinds.getOrDefault(ClientResult.ClientResultKind.ANSWERED, 0)
                + kinds.getOrDefault(ClientResult.ClientResultKind.PARTIAL, 0);
        int refused = kinds.getOrDefault(ClientResult.ClientResultKind.REFUSED, 0);
        int notLearnt = kinds.getOrDefault(ClientResult.ClientResultKind.NOT_LEARNT, 0);
        return new Tally(all.size(), answered, refused, all.size() - answered - refused - notLearnt, notLearnt,
                (int) holds, (int) twice, differ, cut, lost,
                millis.stream().mapToLong(Long::longValue).sorted().toArray());
    }

    @Override
    public void close() throws IOException {
        program.close();
        worker.close();
        discovery.close();
    }
}
