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

/** What follows the end of a watch, and calls that fail. */
public class WatchEndsTest extends WatchFixture {
    /** From call to call where calls fail. */
    private static final long PERIOD_MILLIS = 2_500;
    private static final long SLACK_MILLIS = 500;

    // ---- the end of a watch -------------------------------------------------------------------------------

    @Test
    public void aWatchEndsInPlaceOfTellingAndTheNextCallGetsTheWholeList() throws Exception {
        var call = watched();
        call.end();
        var next = discovery.call();
        assertEquals(from(41), next.target());
        next.open().end(); // again
        next = discovery.call();
        assertEquals(from(41), next.target());
        next.open().chunk(whole(43, member("b", SERVING)) + "\n");
        awaitDrained(a);
        awaitListed(1);
    }

    /** Whether the reset comes before the object was read or after: it is taken, or asked for again. */
    @Test
    public void aResetCrossesADrain() throws Exception {
        var call = watched();
        call.chunk(changes(43, member("a", DRAINING)));
        call.reset();
        var next = discovery.call();
        if (next.target().equals(from(43))) {
            assertFalse(a.isServing());
            next.open();
        } else {
            next.open().chunk(changes(43, member("a", DRAINING)));
            awaitDrained(a);
        }
        next.reset(); // and one before it
        next = discovery.call();
        assertEquals(from(43), next.target());
        next.open().chunk(changes(44, member("b", DRAINING)));
        awaitDrained(b);
    }

    /** What could not be taken in is asked for again. */
    @Test
    public void aRevisionIsHeldOnlyOnceItsNewsWasTakenIn() throws Exception {
        LaunchConfig launch = launch(discovery.port(), "subscribe");
        gatherer = new Gatherer(launch.settings(), launch.seed(), new MonotonicClock(), NOPLogger.NOP_LOGGER);
        watch = new DiscoveryWatch(launch, gatherer);
        var fails = new AtomicInteger(1);
        var taken = new ArrayList<WatchEvent>();
        gatherer.control().start(List.of());
        timers = new Thread(gatherer::runTimers);
        timers.setDaemon(true);
        timers.start();
        watch.start(news -> {
            if (news instanceof WatchEvent.SourceFailure) {
                throw new IllegalStateException("as well");
            }
            if (news instanceof WatchEvent.EndpointDelta && fails.getAndDecrement() > 0) {
                throw new IllegalStateException("a fault of the program's own");
            }
            synchronized (taken) {
                taken.add(news);
            }
        });
        opened(discovery.call(), 41).chunk(changes(43, member("a", DRAINING)));
        var next = discovery.call();
        assertEquals(from(41), next.target());
        next.open().chunk(changes(43, member("a", DRAINING)));
        Program.await("the news", () -> {
            synchronized (taken) {
                return taken.stream().anyMatch(n -> n instanceof WatchEvent.EndpointDelta);
            }
        });
    }

    // ---- calls that fail ----------------------------------------------------------------------------------

    @Test
    public void theListIsAskedForAtOnceAtTheStartAndSoonAgain() throws Exception {
        for (String way : List.of("subscribe", "automatic")) {
            start(way);
            var call = discovery.call(AT_ONCE_MILLIS);
            assertNotNull("asked at once", call);
            call.target();
            call.answer(503, "");
            assertNotNull("and soon again", discovery.call(AT_ONCE_MILLIS));
            end();
            begin();
        }
    }

    /** However many calls have failed: the next comes within 2.5 s, so that 6 s are kept. */
    @Test
    public void afterManyRefusalsTheNextCallComesWithinItsPeriod() throws Exception {
        start("subscribe");
        var call = refusedFor(7, discovery);
        opened(call, 41).chunk(changes(43, member("a", DRAINING)));
        awaitDrained(a);
    }

    /** A watch ends, discovery moves, and the new one refuses: the same period holds there. */
    @Test
    public void afterAMoveRefusalsAreFollowedWithinTheirPeriod() throws Exception {
        watched().end();
        ScriptedDiscovery other = scripted();
        watch.reload(launch(other.port(), "subscribe"));
        var call = refusedFor(6, other);
        assertEquals(LIST, call.target());
        call.answer(200, whole(43, member("b", SERVING)));
        awaitDrained(a);
    }

    /** Refuses so many calls, each of which must come in time; the next one after them. */
    private static ScriptedDiscovery.Call refusedFor(int calls, ScriptedDiscovery by) throws Exception {
        var call = by.call();
        for (int i = 0; i < calls; i++) {
            call.target();
            call.answer(503, "");
            var next = by.call();
            long millis = TimeUnit.NANOSECONDS.toMillis(next.at - call.at);
            assertTrue("call " + i + " after " + millis + " ms", millis <= PERIOD_MILLIS + SLACK_MILLIS);
            call = next;
        }
        return call;
    }
}
