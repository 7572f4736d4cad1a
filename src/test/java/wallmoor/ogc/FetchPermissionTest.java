package wallmoor.ogc;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertThrows;
import static org.junit.Assert.assertTrue;

import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.After;
import org.junit.Before;
import org.junit.Rule;
import org.junit.Test;
import org.junit.rules.Timeout;
import org.slf4j.helpers.NOPLogger;
import wallmoor.config.OgcConfig;
import wallmoor.config.SettingsReader;
import wallmoor.core.Gatherer;
import wallmoor.core.Query;
import wallmoor.core.QueryRequest;
import wallmoor.core.Step;
import wallmoor.core.WorkerEndpoint;

/**
 * Tests that each request of an attempt is sent only if the attempt is still permitted then: a disconnect, a drain or a
 * deadline may come between the start of an attempt and its first request, or between two of its pages.
 */
public class FetchPermissionTest {
    private static final String SETTINGS = "Classes.count=1 Classes.0.Aim=1000000 Classes.0.GiveUp=2000000"
            + " Classes.0.Repeat=free Classes.0.Worth=1 Classes.0.LateWorth=0.1 Domain.NeedByClass=1"
            + " Domain.FloorByClass=1 Domain.Reach=1 Domain.Sets=1 Domain.Slabs=4 Discovery=subscribe Instances=1"
            + " Position=0 Round=5000 Limits.MaxAttempts=4 Limits.MaxOpen=20 Limits.Cancelling=true"
            + " Limits.RetryAfter=true Limits.MaxRetryAfter=2000000 Contract.DrainGrace=2000000"
            + " Contract.ColdShare=0.16 Contract.Cold=18000000 Contract.FallMultiple=2 Contract.OverloadFor=2000000";
    private static final String PAGE = "{\"type\":\"FeatureCollection\",\"features\":[]}";

    @Rule
    public final Timeout timeout = Timeout.seconds(60);
    private final AtomicLong clock = new AtomicLong(1_000_000_000);
    private final ExecutorService threads = Executors.newCachedThreadPool();
    private final ServerSocket server;
    private Gatherer gatherer;
    private Query query;
    private Step.Send send;

    public FetchPermissionTest() throws Exception {
        server = new ServerSocket(0, 5, InetAddress.getByName("127.0.0.1"));
        server.setSoTimeout(15_000);
    }

    private WorkerEndpoint endpoint(int port, WorkerEndpoint.EndpointState state) {
        return new WorkerEndpoint("a", "127.0.0.1:" + port, 0, 0, 0, state, 1, 0);
    }

    @Before
    public void openQuery() throws Exception {
        var pairs = new HashMap<String, String>();
        for (String pair : SETTINGS.split(" ")) {
            pairs.put(pair.split("=")[0], pair.split("=")[1]);
        }
        gatherer = new Gatherer(new SettingsReader(pairs).settings(), 7, clock::get, NOPLogger.NOP_LOGGER);
        gatherer.control().start(List.of(endpoint(server.getLocalPort(), WorkerEndpoint.EndpointState.SERVING)));
        var collection = new OgcConfig.Collection("c", "c", "c", "c-{shard}", 0, List.of(0), List.of());
        query = gatherer.open(
                new QueryRequest("q", 0, clock.get() + 2_000_000, false, null, List.of(new Query.PartRequest(0, 1, -1)),
                        new FeatureQuery(collection, "", null, 10, Map.of(0, 0), true)));
        send = (Step.Send) gatherer.awaitStep(query);
    }

    @After
    public void stop() throws Exception {
        threads.shutdownNow();
        server.close();
    }

    private Future<PooledConnection> startFetch() {
        return threads.submit(() -> new FeatureFetch(send.attempts().get(0), gatherer, 5_000).run(null));
    }

    /** Returns all that was received on a connection until it was closed. */
    private static String receiveAll(Socket peer) throws Exception {
        peer.setSoTimeout(15_000);
        return new String(peer.getInputStream().readAllBytes(), StandardCharsets.ISO_8859_1);
    }

    @Test
    public void sendsNothingIfTheClientDisconnectsBeforeTheFirstRequest() throws Exception {
        gatherer.clientDisconnected(query);
        Future<PooledConnection> fetch = startFetch();
        assertEquals("", receiveAll(server.accept()));
        fetch.get(15, TimeUnit.SECONDS);
        assertTrue(gatherer.awaitStep(query) instanceof Step.ClientGone);
    }

    @Test
    public void closesTheConnectionIfTheClientDisconnectsAfterTheFirstRequest() throws Exception {
        var fetch = new FeatureFetch(send.attempts().get(0), gatherer, 5_000);
        Future<PooledConnection> run = threads.submit(() -> fetch.run(null));
        Socket peer = server.accept();
        assertEquals('G', peer.getInputStream().read());
        gatherer.clientDisconnected(query);
        fetch.cancel(((Step.Cancel) gatherer.awaitStep(query)).outcome());
        assertTrue("the connection is closed", receiveAll(peer).startsWith("ET /collections/c-0/items"));
        run.get(15, TimeUnit.SECONDS);
        assertTrue(gatherer.awaitStep(query) instanceof Step.ClientGone);
    }

    @Test
    public void sendsNothingIfTheEndpointDrainsBeforeTheFirstRequest() throws Exception {
        startToDrain();
        Future<PooledConnection> fetch = startFetch();
        assertEquals("", receiveAll(server.accept()));
        fetch.get(15, TimeUnit.SECONDS);
    }

    @Test
    public void sendsNothingIfTheDeadlinePassesBeforeTheFirstRequest() throws Exception {
        clock.addAndGet(2_000_000);
        startFetch().get(15, TimeUnit.SECONDS);
        server.setSoTimeout(100);
        try {
            assertEquals("", receiveAll(server.accept()));
        } catch (SocketTimeoutException e) {
            // the connect took longer than its timeout, which is 1 ms then: no request was sent either
        }
    }

    @Test
    public void servesAPermittedAttemptAndReturnsItsConnection() throws Exception {
        Future<PooledConnection> fetch = startFetch();
        Socket peer = acceptRequest();
        respond(peer, PAGE);
        assertTrue("the connection is reusable", fetch.get(15, TimeUnit.SECONDS) != null);
        assertTrue(gatherer.awaitStep(query) instanceof Step.Answer);
    }

    /** Returns the connection on which a complete request was received. */
    private Socket acceptRequest() throws Exception {
        Socket peer = server.accept();
        var received = new ArrayList<Integer>();
        while (received.size() < 4
                || !received.subList(received.size() - 4, received.size()).equals(List.of(13, 10, 13, 10))) {
            int next = peer.getInputStream().read();
            assertTrue("a complete request", next >= 0);
            received.add(next);
        }
        return peer;
    }

    private static void respond(Socket peer, String page) throws Exception {
        peer.getOutputStream().write(("HTTP/1.1 200 OK\r\nContent-Type: application/geo+json\r\nContent-Length: "
                + page.length() + "\r\n\r\n" + page).getBytes(StandardCharsets.ISO_8859_1));
    }

    private static String pageWithNextLink(String features) {
        return "{\"type\":\"FeatureCollection\",\"links\":[{\"rel\":\"next\",\"href\":"
                + "\"/collections/c-0/items?limit=1&offset=1\"}],\"features\":[" + features + "]}";
    }

    private static void assertClosedWithoutFurtherRequest(Future<?> fetch, Socket peer) throws Exception {
        fetch.get(15, TimeUnit.SECONDS);
        assertEquals("closed without a further request", "", receiveAll(peer));
    }

    private void startToDrain() {
        gatherer.control().updateEndpoints(false,
                List.of(endpoint(server.getLocalPort(), WorkerEndpoint.EndpointState.DRAINING)));
    }

    /** Guards against requests for further pages that reach a server after it was drained. */
    @Test
    public void endsThePartWithThePagesReadIfTheEndpointDrainsBetweenTwoPages() throws Exception {
        Future<PooledConnection> fetch = startFetch();
        Socket peer = acceptRequest();
        startToDrain();
        respond(peer, pageWithNextLink("{\"type\":\"Feature\",\"id\":\"f-0\",\"geometry\":null,\"properties\":{}}"));
        fetch.get(15, TimeUnit.SECONDS);
        var answer = (Step.Answer) gatherer.awaitStep(query);
        var features = FeatureQuery.ShardFeatures.decode(answer.values().get(0).bytes());
        assertEquals(1, features.features().size());
        assertTrue("the shard has more features", features.hasMore());
        peer.setSoTimeout(100);
        assertThrows("no further request", SocketTimeoutException.class, () -> peer.getInputStream().read());
    }

    /** As above, where the pages read have no feature: the part may have run, and is not answered. */
    @Test
    public void sendsNoFurtherRequestIfNoFeatureWasReadBeforeTheDrain() throws Exception {
        Future<PooledConnection> fetch = startFetch();
        Socket peer = acceptRequest();
        startToDrain();
        respond(peer, pageWithNextLink(""));
        assertClosedWithoutFurtherRequest(fetch, peer);
    }

    @Test
    public void sendsNoFurtherRequestAfterTheDeadline() throws Exception {
        Future<PooledConnection> fetch = startFetch();
        Socket peer = acceptRequest();
        clock.addAndGet(2_000_000);
        respond(peer, pageWithNextLink(""));
        assertClosedWithoutFurtherRequest(fetch, peer);
    }
}
