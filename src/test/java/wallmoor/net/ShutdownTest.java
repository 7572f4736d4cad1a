package wallmoor.net;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertTrue;

import java.net.http.HttpRequest;
import java.net.http.HttpResponse.BodyHandlers;
import java.nio.file.Files;
import java.util.concurrent.TimeUnit;
import org.junit.Test;
import wallmoor.standin.Ports;

/**
 * Guards against requests that a process took before SIGTERM and loses at its end, because their clients would wait
 * longer than the shutdown takes (review case 3). The workers stay silent; each front has to answer in time.
 */
public class ShutdownTest extends EdgeFixture {
    private static final long CLIENT_TIMEOUT_MILLIS = 4_000;
    /** How long before SIGTERM the requests are taken. */
    private static final long HEAD_START_MILLIS = 150;
    /** SIGKILL follows SIGTERM after the longest deadline, of which at most 3 s count, and 0.7 s. */
    private static final long KILL_MILLIS = 3_700;

    /** Returns the milliseconds since a time by {@link System#nanoTime}. */
    private static long millisSince(long nanos) {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - nanos);
    }

    /** Waits for the answer to a query that no worker answers; it has to come before SIGKILL would. */
    private static void assertAnsweredInTime(Client client, long sigtermAt) throws Exception {
        assertEquals(504, client.answer().status);
        long took = millisSince(sigtermAt);
        assertTrue("answered " + took + " ms after SIGTERM", took < KILL_MILLIS);
    }

    @Test
    public void answersRequestsOfAllFrontsThatWereTakenBeforeSigterm() throws Exception {
        configChange = EdgeFixture::withLongTimeouts;
        var featureServer = new StandIn.FeatureServer(target -> null);
        open.add(featureServer);
        int featuresPort = Ports.free();
        Files.writeString(folder.newFile("inventory.yaml").toPath(), "feature_servers:\n  hosts:\n    fs0: {port: "
                + featureServer.port() + ", cell: 0, zone: east, ansible_host: 127.0.0.1}\n");
        start(id -> null, "ogc:\n  listen: 127.0.0.1:" + featuresPort + "\n  inventory: inventory.yaml\n"
                + "  collections:\n    holds: {title: Holds, class: once, shards: [0]}\n");
        try (var client = new Client(program.port); var featureClient = new Client(featuresPort)) {
            client.send(Client.query("h", "once", (int) CLIENT_TIMEOUT_MILLIS, 0));
            featureClient.send("GET /collections/holds/items HTTP/1.1\r\nHost: localhost\r\n\r\n");
            var device = http.sendAsync(
                    request(httpPort, "d1", id())
                            .PUT(HttpRequest.BodyPublishers.ofString(bodyWithLongTimeout("once", 0))).build(),
                    BodyHandlers.ofString());
            Program.await("all parts are sent", () -> parts("") == 2 && featureServer.count("/") == 1);
            Thread.sleep(HEAD_START_MILLIS);
            long sigtermAt = System.nanoTime();
            program.process.toHandle().destroy();
            assertAnsweredInTime(client, sigtermAt);
            assertAnsweredInTime(featureClient, sigtermAt);
            assertEquals(502, device.get(10, TimeUnit.SECONDS).statusCode());
        }
        assertTrue(program.process.waitFor(10, TimeUnit.SECONDS));
        assertTrue("" + program.log, program.log.stream().noneMatch(line -> line.contains("unanswered")));
    }

    /** A process that hands its listening socket over closes each connection with its answer, but answers as well. */
    @Test
    public void answersRequestsTakenBeforeTheSocketIsHandedOver() throws Exception {
        var silent = new StandIn.Worker(id -> null);
        open.add(silent);
        var discovery = new StandIn.Discovery();
        open.add(discovery);
        var socket = new HeldSocket();
        open.add(socket);
        HeldSocket.Run run = socket.start(folder.newFolder().toPath(), withLongTimeouts(Program.config("t",
                Program.SEED, socket.port, discovery.port(), silent.member("a", 0, "SERVING"), 1024)));
        run.awaitReady();
        try (var client = new Client(socket.port)) {
            client.send(Client.query("h", "once", (int) CLIENT_TIMEOUT_MILLIS, 0));
            Program.await("the part is sent", () -> silent.count("Qh.0") == 1);
            Thread.sleep(HEAD_START_MILLIS);
            long sigtermAt = System.nanoTime();
            run.signal("TERM");
            assertAnsweredInTime(client, sigtermAt);
        }
        run.end().get(10, TimeUnit.SECONDS);
    }
}
