package wallmoor.discovery;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Proxy;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.util.List;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import wallmoor.config.LaunchConfig;
import wallmoor.core.Gatherer;
import wallmoor.endpoints.SourceEndpoint;
import wallmoor.endpoints.WatchEvent;
import wallmoor.http.ByteSlice;
import wallmoor.http.HttpMessage;
import wallmoor.http.HttpProtocolException;
import wallmoor.http.HttpReader;
import wallmoor.http.HttpWriter;
import wallmoor.http.Threads;
import wallmoor.json.Json;
import wallmoor.sources.EndpointSource;

/**
 * Watches discovery's list: from the revision held last, whenever the module wants it watched. When to try again
 * after a failure is the module's to say; all else on time, and the state of the call, is {@link WatchStateMachine}'s,
 * which
 * may want it sooner. When the configuration names another discovery, the watch moves at once.
 *
 * <p>One thread calls, reads and waits, so that calls follow on each other and what an old watch said last is taken
 * before what a new one says. Only {@link #reload} comes from elsewhere.
 */
public final class DiscoveryWatch implements EndpointSource {
    private final Logger log = LoggerFactory.getLogger(DiscoveryWatch.class);
    /** An object of a watch, and a whole list: some 4,000 nodes, indented. */
    static final int MOST_OBJECT = 1 << 20;

    /** Where the list is, and the version held of it; without one, the whole list is to be asked for first. */
    private static final class DiscoveryTarget {
        final InetSocketAddress at;
        /** The watching thread's own. */
        long revision;

        DiscoveryTarget(InetSocketAddress at, long revision) {
            this.at = at;
            this.revision = revision;
        }
    }

    private final LaunchConfig launch;
    private final Gatherer gatherer;
    private final EndpointListMessage known;
    /**
     * Guarded by itself, also where {@link #place} changes: an event of a call that was left behind is never told it.
     */
    private final WatchStateMachine clock;
    private volatile Consumer<WatchEvent> to = news -> {};
    private volatile DiscoveryTarget place;
    private volatile Socket open;

    /**
     * Makes the watch.
     *
     * @param gatherer says when the list is to be asked for, and is told when the watch has ended
     * @throws Json.Malformed if the list that the program was started with is none
     */
    public DiscoveryWatch(LaunchConfig launch, Gatherer gatherer) throws Json.Malformed {
        this.launch = launch;
        this.gatherer = gatherer;
        known = launch.known() == null ? new EndpointListMessage(0, true, List.of(), 0)
                : EndpointListMessage.of(launch.known(), launch);
        place = new DiscoveryTarget(launch.discovery(), Math.max(0, known.revision()));
        var rules = launch.settings().rules();
        clock = new WatchStateMachine(launch.pushed(), rules.pollWithin(), rules.drainGrace(), launch.seed());
    }

    @Override
    public String name() {
        return "list";
    }

    @Override
    public List<SourceEndpoint> initialEndpoints() {
        return known.endpoints();
    }

    @Override
    public void start(Consumer<WatchEvent> reader) {
        to = reader;
        synchronized (clock) {
            clock.onProcessStarted(gatherer.now());
        }
        Threads.start("discovery", this::run);
    }

    /** Takes a configuration read again: its terms hold, and the list is to be had where it says; the one held stays
     * until that discovery has told its own. */
    public void reload(LaunchConfig changed) {
        boolean moves = !changed.discovery().equals(place.at);
        synchronized (clock) {
            clock.updateSettings(changed.pushed(), changed.settings().rules().pollWithin(),
                    changed.settings().rules().drainGrace());
            if (moves) {
                place = new DiscoveryTarget(changed.discovery(), EndpointListMessage.UNKNOWN_REVISION);
                clock.onDiscoveryMoved(gatherer.now());
            }
        }
        if (moves) {
            close(open); // its reader finds that the source is another one
            gatherer.requestWatch();
        }
    }

    /** Watches until the thread is interrupted. */
    private void run() {
        while (!Thread.currentThread().isInterrupted()) {
            try {
                gatherer.awaitWatchRequest(callBy());
            } catch (InterruptedException e) {
                return;
            }
            DiscoveryTarget from = begin();
            try {
                call(from);
            } catch (MalformedEndpointListException e) {
                from.revision = EndpointListMessage.UNKNOWN_REVISION; // what could not be read may have told anything
                failed(from, e);
            } catch (IOException | HttpProtocolException | RuntimeException | OutOfMemoryError e) {
                failed(from, e);
            }
            ended(from);
        }
    }

    private long callBy() {
        synchronized (clock) {
            return clock.nextCallBy();
        }
    }

    // ---- the events of a call: once the list has moved, the clock hears no more of the call left behind -----

    private DiscoveryTarget begin() {
        synchronized (clock) {
            clock.onCallStarted(gatherer.now());
            return place;
        }
    }

    private void asked(DiscoveryTarget from) {
        synchronized (clock) {
            if (from == place) {
                clock.onRequestSent(gatherer.now());
            }
        }
    }

    private void opened(DiscoveryTarget from) {
        synchronized (clock) {
            if (from == place) {
                clock.onStreamOpened(gatherer.now());
            }
        }
    }

    /** Counted from when it has been taken in: a gatherer that is late itself blames none. */
    private void heard(DiscoveryTarget from) {
        synchronized (clock) {
            if (from == place) {
                clock.onEventReceived(gatherer.now());
            }
        }
    }

    private void failed(DiscoveryTarget from, Throwable e) {
        if (from != place) {
            return;
        }
        log.warn("watch: {}", e.toString());
        try {
            to.accept(new WatchEvent.SourceFailure(name(), e.toString()));
        } catch (RuntimeException again) { // the thread that asks for the list must outlive it
            log.warn("watch: {}", again.toString());
        }
    }

    private void ended(DiscoveryTarget from) {
        boolean failed;
        synchronized (clock) {
            if (from != place) { // one left for another discovery was not lost
                return;
            }
            long now = gatherer.now();
            failed = clock.onWatchLost(now);
            log.debug("list behind for {} ms, a change missed now counts as told in {} ms",
                    (now - clock.staleSince()) / 1000, (clock.notifiedAt(now) - now) / 1000);
        }
        if (failed) {
            gatherer.watchFailed();
        } else {
            gatherer.watchReconnecting();
        }
    }

    // ---- one call -----------------------------------------------------------------------------------------

    /** Connects, asks, and takes what is told until the watch ends. */
    private void call(DiscoveryTarget from) throws IOException, HttpProtocolException {
        try (var socket = new Socket(Proxy.NO_PROXY)) {
            open = socket;
            if (from != place) { // else a move from now on finds the socket and closes it
                return;
            }
            socket.setTcpNoDelay(true);
            socket.connect(from.at, millisLeft());
            var in = new HttpReader(socket);
            in.takeBodiesOf(MOST_OBJECT);
            if (from.revision < 0) { // the whole list first: a watch from a version needs one of this discovery's
                ByteSlice all = ask(socket, in, from, "/api/targets", true).body();
                take(from, EndpointListMessage.parse(all, launch));
            }
            ask(socket, in, from, "/api/targets?stream=1&index=" + Math.max(0, from.revision), false);
            opened(from);
            var objects = new WatchStreamParser(MOST_OBJECT, new WatchStreamHandler(from));
            for (ByteSlice part = in.bodyPart(millisLeft()); part != null; part = in.bodyPart(millisLeft())) {
                objects.read(part);
            }
        }
    }

    /** What a watch tells, in order. */
    private final class WatchStreamHandler implements WatchStreamParser.WatchStreamListener {
        private final DiscoveryTarget from;
        private boolean first = true;

        WatchStreamHandler(DiscoveryTarget from) {
            this.from = from;
        }

        @Override
        public void object(ByteSlice json) throws MalformedEndpointListException {
            take(from, EndpointListMessage.parse(json, launch));
            first = false;
            heard(from);
        }

        @Override
        public void heartbeat() {
            if (from == place) {
                to.accept(new WatchEvent.EndpointsUnchanged(name()));
                if (first) { // the module waits to hear from the list, be it that nothing has changed
                    gatherer.updateEndpoints(false, List.of());
                }
            }
            first = false;
            heard(from);
        }
    }

    /** How long the next thing may take (milliseconds, rounded up): what lies unread already is always taken. */
    private int millisLeft() throws SocketTimeoutException {
        long left;
        synchronized (clock) {
            left = clock.remainingMicros(gatherer.now());
        }
        if (left <= 0) {
            throw new SocketTimeoutException("silent, or too slow");
        }
        return (int) Math.min(Integer.MAX_VALUE, (left + 999) / 1000);
    }

    private HttpMessage ask(Socket socket, HttpReader in, DiscoveryTarget from, String target, boolean withBody)
            throws IOException, HttpProtocolException {
        asked(from);
        HttpWriter.get(socket.getOutputStream(), from.at.getHostString() + ":" + from.at.getPort(), target, "");
        if (!in.await(millisLeft())) {
            throw new IOException("closed before an answer");
        }
        HttpMessage answer = in.answer(millisLeft(), withBody);
        if (answer.status() != 200) {
            throw new IOException("status " + answer.status());
        }
        return answer;
    }

    private void take(DiscoveryTarget from, EndpointListMessage told) throws MalformedEndpointListException {
        if (from != place) { // what a discovery left behind still says is old
            return;
        }
        if (told.unreadable() > 0) {
            log.warn("list: {} members at {} have no id", told.unreadable(), told.version());
        }
        if (told.complete()) {
            to.accept(new WatchEvent.EndpointSnapshot(name(), told.version(), told.endpoints(), true));
        } else if (told.revision() != EndpointListMessage.UNKNOWN_REVISION && told.revision() < from.revision) {
            // of another past than what is held: whom it lets serve may have been drained since
            to.accept(new WatchEvent.EndpointDelta(name(), told.version(), told.notServing()));
            throw new MalformedEndpointListException(
                    "changes at revision " + told.revision() + " after " + from.revision);
        } else {
            to.accept(new WatchEvent.EndpointDelta(name(), told.version(), told.endpoints()));
        }
        // only now: what could not be taken in is asked for again
        if (told.revision() != EndpointListMessage.UNKNOWN_REVISION) {
            from.revision = told.revision();
        }
    }

    private static void close(Socket socket) {
        try {
            if (socket != null) {
                socket.close();
            }
        } catch (IOException e) {
            // it is closed as far as it can be
        }
    }
}
