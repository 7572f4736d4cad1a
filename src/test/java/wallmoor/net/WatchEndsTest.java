package wallmoor.net;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertFalse;
import static org.junit.Assert.assertNotNull;
import static org.junit.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.Test;
import org.slf4j.helpers.NOPLogger;
import wallmoor.config.LaunchConfig;
import wallmoor.core.Gatherer;
import wallmoor.core.MonotonicClock;
import wallmoor.discovery.DiscoveryWatch;
import wallmoor.endpoints.WatchEvent;

/** Tests the requests that follow the end of a watch and failed requests. */
public class WatchEndsTest extends WatchFixture {
    /** The longest time between failed requests. */
    private static final long PERIOD_MILLIS = 2_500;
    private static final long SLACK_MILLIS = 500;

    // ---- the end of a watch -------------------------------------------------------------------------------

    @Test
    public void resumesFromItsRevisionWhenWatchesEndWithoutAnObject() throws Exception {
        var call = openWatch();
        call.end();
        var next = discovery.call();
        assertEquals(watchTarget(41), next.target());
        next.open().end(); // the second watch ends without an object, too
        next = discovery.call();
        assertEquals(watchTarget(41), next.target());
        next.open().chunk(completeList(43, member("b", SERVING)) + "\n");
        awaitDrained(a);
        awaitListed(1);
    }

    /** The reset may arrive before or after the object was read: the object is applied, or requested again. */
    @Test
    public void losesNoDrainWhenTheWatchIsReset() throws Exception {
        var call = openWatch();
        call.chunk(changes(43, member("a", DRAINING)));
        call.reset();
        var next = discovery.call();
        if (next.target().equals(watchTarget(43))) {
            assertFalse(a.isServing());
            next.open();
        } else {
            next.open().chunk(changes(43, member("a", DRAINING)));
            awaitDrained(a);
        }
        next.reset(); // a reset before the next object
        next = discovery.call();
        assertEquals(watchTarget(43), next.target());
        next.open().chunk(changes(44, member("b", DRAINING)));
        awaitDrained(b);
    }

    /** Guards against a lost update: an update that could not be applied is requested again. */
    @Test
    public void advancesItsRevisionOnlyAfterTheUpdateWasApplied() throws Exception {
        LaunchConfig launch = launch(discovery.port(), "subscribe");
        gatherer = new Gatherer(launch.settings(), launch.seed(), new MonotonicClock(), NOPLogger.NOP_LOGGER);
        watch = new DiscoveryWatch(launch, gatherer);
        var failuresLeft = new AtomicInteger(1);
        var applied = new ArrayList<WatchEvent>();
        gatherer.control().start(List.of());
        timers = new Thread(gatherer::runTimers);
        timers.setDaemon(true);
        timers.start();
        watch.start(event -> {
            if (event instanceof WatchEvent.SourceFailure) {
                throw new IllegalStateException("the listener fails on failure events, too");
            }
            if (event instanceof WatchEvent.EndpointDelta && failuresLeft.getAndDecrement() > 0) {
                throw new IllegalStateException("the listener fails on the first update");
            }
            synchronized (applied) {
                applied.add(event);
            }
        });
        openWatch(discovery.call(), 41).chunk(changes(43, member("a", DRAINING)));
        var next = discovery.call();
        assertEquals(watchTarget(41), next.target());
        next.open().chunk(changes(43, member("a", DRAINING)));
        Program.await("the update", () -> {
            synchronized (applied) {
                return applied.stream().anyMatch(n -> n instanceof WatchEvent.EndpointDelta);
            }
        });
    }

    // ---- failed requests ----------------------------------------------------------------------------------

    @Test
    public void requestsTheListImmediatelyAtTheStartAndSoonAfterAFailure() throws Exception {
        for (String mode : List.of("subscribe", "automatic")) {
            start(mode);
            var call = discovery.call(IMMEDIATE_MILLIS);
            assertNotNull("an immediate request", call);
            call.target();
            call.answer(503, "");
            assertNotNull("a retry soon after", discovery.call(IMMEDIATE_MILLIS));
            end();
            begin();
        }
    }

    /** A request follows within 2.5 s however many have failed, so that a change is applied within 6 s. */
    @Test
    public void retriesWithinThePeriodAfterManyFailures() throws Exception {
        start("subscribe");
        var call = failCalls(7, discovery);
        openWatch(call, 41).chunk(changes(43, member("a", DRAINING)));
        awaitDrained(a);
    }

    /** The watch ends, discovery moves, and requests to the new address fail: the same period applies. */
    @Test
    public void retriesWithinThePeriodAfterAMove() throws Exception {
        openWatch().end();
        ScriptedDiscovery other = startDiscovery();
        watch.reload(launch(other.port(), "subscribe"));
        var call = failCalls(6, other);
        assertEquals(LIST, call.target());
        call.answer(200, completeList(43, member("b", SERVING)));
        awaitDrained(a);
    }

    /** Answers so many requests with 503, checks that each comes within the period, and returns the next one. */
    private static ScriptedDiscovery.Call failCalls(int calls, ScriptedDiscovery server) throws Exception {
        var call = server.call();
        for (int i = 0; i < calls; i++) {
            call.target();
            call.answer(503, "");
            var next = server.call();
            long millis = TimeUnit.NANOSECONDS.toMillis(next.acceptedAt - call.acceptedAt);
            assertTrue("request " + i + " after " + millis + " ms", millis <= PERIOD_MILLIS + SLACK_MILLIS);
            call = next;
        }
        return call;
    }
}
