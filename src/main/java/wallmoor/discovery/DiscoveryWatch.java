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
import wallmoor.config.Launch;
import wallmoor.core.Gatherer;
import wallmoor.http.HttpIn;
import wallmoor.http.HttpOut;
import wallmoor.http.HttpProblem;
import wallmoor.http.Message;
import wallmoor.http.Slice;
import wallmoor.http.Threads;
import wallmoor.json.Json;
import wallmoor.membership.Entry;
import wallmoor.membership.News;
import wallmoor.sources.Source;

/**
 * Watches discovery's list: from the revision held last, whenever the module wants it watched. When to try again
 * after a failure is the module's to say; all else on time, and the state of the call, is {@link ListClock}'s, which
 * may want it sooner. When the configuration names another discovery, the watch moves at once.
 *
 * <p>One thread calls, reads and waits, so that calls follow on each other and what an old watch said last is taken
 * before what a new one says. Only {@link #reload} comes from elsewhere.
 */
public final class DiscoveryWatch implements Source {
    private final Logger log = LoggerFactory.getLogger(DiscoveryWatch.class);
    /** An object of a watch, and a whole list: some 4,000 nodes, indented. */
    static final int MOST_OBJECT = 1 << 20;

    /** Where the list is, and the version held of it; without one, the whole list is to be asked for first. */
    private static final class Place {
        final InetSocketAddress at;
        /** The watching thread's own. */
        long revision;

        Place(InetSocketAddress at, long revision) {
            this.at = at;
            this.revision = revision;
        }
    }

    private final Launch launch;
    private final Gatherer gatherer;
    private final Members known;
    /**
     * Guarded by itself, also where {@link #place} changes: an event of a call that was left behind is never told it.
     */
    private final ListClock clock;
    private volatile Consumer<News> to = news -> {};
    private volatile Place place;
    private volatile Socket open;

    /**
     * Makes the watch.
     *
     * @param gatherer says when the list is to be asked for, and is told when the watch has ended
     * @throws Json.Malformed if the list that the program was started with is none
     */
    public DiscoveryWatch(Launch launch, Gatherer gatherer) throws Json.Malformed {
        this.launch = launch;
        this.gatherer = gatherer;
        known = launch.known() == null ? new Members(0, true, List.of(), 0) : Members.of(launch.known(), launch);
        place = new Place(launch.discovery(), Math.max(0, known.revision()));
        var rules = launch.settings().rules();
        clock = new ListClock(launch.pushed(), rules.askWithin(), rules.drainGrace(), launch.seed());
    }

    @Override
    public String name() {
        return "list";
    }

    @Override
    public List<Entry> known() {
        return known.entries();
    }

    @Override
    public void start(Consumer<News> reader) {
        to = reader;
        synchronized (clock) {
            clock.started(gatherer.now());
        }
        Threads.start("discovery", this::run);
    }

    /** Takes a configuration read again: its terms hold, and the list is to be had where it says; the one held stays
     * until that discovery has told its own. */
    public void reload(Launch changed) {
        boolean moves = !changed.discovery().equals(place.at);
        synchronized (clock) {
            clock.terms(changed.pushed(), changed.settings().rules().askWithin(),
                    changed.settings().rules().drainGrace());
            if (moves) {
                place = new Place(changed.discovery(), Members.NO_REVISION);
                clock.moved(gatherer.now());
            }
        }
        if (moves) {
            close(open); // its reader finds that the source is another one
            gatherer.watchAgain();
        }
    }

    /** Watches until the thread is interrupted. */
    private void run() {
        while (!Thread.currentThread().isInterrupted()) {
            try {
                gatherer.awaitWatchWanted(callBy());
            } catch (InterruptedException e) {
                return;
            }
            Place from = begin();
            try {
                call(from);
            } catch (MalformedListException e) {
                from.revision = Members.NO_REVISION; // what could not be read may have told anything
                failed(from, e);
            } catch (IOException | HttpProblem | RuntimeException | OutOfMemoryError e) {
                failed(from, e);
            }
            ended(from);
        }
    }

    private long callBy() {
        synchronized (clock) {
            return clock.callBy();
        }
    }

    // ---- the events of a call: once the list has moved, the clock hears no more of the call left behind -----

    private Place begin() {
        synchronized (clock) {
            clock.called(gatherer.now());
            return place;
        }
    }

    private void asked(Place from) {
        synchronized (clock) {
            if (from == place) {
                clock.asked(gatherer.now());
            }
        }
    }

    private void opened(Place from) {
        synchronized (clock) {
            if (from == place) {
                clock.opened(gatherer.now());
            }
        }
    }

    /** Counted from when it has been taken in: a gatherer that is late itself blames none. */
    private void heard(Place from) {
        synchronized (clock) {
            if (from == place) {
                clock.heard(gatherer.now());
            }
        }
    }

    private void failed(Place from, Throwable e) {
        if (from != place) {
            return;
        }
        log.warn("watch: {}", e.toString());
        try {
            to.accept(new News.Failed(name(), e.toString()));
        } catch (RuntimeException again) { // the thread that asks for the list must outlive it
            log.warn("watch: {}", again.toString());
        }
    }

    private void ended(Place from) {
        boolean failed;
        synchronized (clock) {
            if (from != place) { // one left for another discovery was not lost
                return;
            }
            long now = gatherer.now();
            failed = clock.lost(now);
            log.debug("list behind for {} ms, a change missed now counts as told in {} ms",
                    (now - clock.behindSince()) / 1000, (clock.toldAt(now) - now) / 1000);
        }
        if (failed) {
            gatherer.watchLost();
        } else {
            gatherer.watchDropped();
        }
    }

    // ---- one call -----------------------------------------------------------------------------------------

    /** Connects, asks, and takes what is told until the watch ends. */
    private void call(Place from) throws IOException, HttpProblem {
        try (var socket = new Socket(Proxy.NO_PROXY)) {
            open = socket;
            if (from != place) { // else a move from now on finds the socket and closes it
                return;
            }
            socket.setTcpNoDelay(true);
            socket.connect(from.at, millisLeft());
            var in = new HttpIn(socket);
            in.takeBodiesOf(MOST_OBJECT);
            if (from.revision < 0) { // the whole list first: a watch from a version needs one of this discovery's
                Slice all = ask(socket, in, from, "/api/targets", true).body();
                take(from, Members.read(all, launch));
            }
            ask(socket, in, from, "/api/targets?stream=1&index=" + Math.max(0, from.revision), false);
            opened(from);
            var objects = new ObjectReader(MOST_OBJECT, new Told(from));
            for (Slice part = in.bodyPart(millisLeft()); part != null; part = in.bodyPart(millisLeft())) {
                objects.read(part);
            }
        }
    }

    /** What a watch tells, in order. */
    private final class Told implements ObjectReader.Listener {
        private final Place from;
        private boolean first = true;

        Told(Place from) {
            this.from = from;
        }

        @Override
        public void object(Slice json) throws MalformedListException {
            take(from, Members.read(json, launch));
            first = false;
            heard(from);
        }

        @Override
        public void heartbeat() {
            if (from == place) {
                to.accept(new News.Same(name()));
                if (first) { // the module waits to hear from the list, be it that nothing has changed
                    gatherer.members(false, List.of());
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
            left = clock.left(gatherer.now());
        }
        if (left <= 0) {
            throw new SocketTimeoutException("silent, or too slow");
        }
        return (int) Math.min(Integer.MAX_VALUE, (left + 999) / 1000);
    }

    private Message ask(Socket socket, HttpIn in, Place from, String target, boolean withBody)
            throws IOException, HttpProblem {
        asked(from);
        HttpOut.get(socket.getOutputStream(), from.at.getHostString() + ":" + from.at.getPort(), target, "");
        if (!in.await(millisLeft())) {
            throw new IOException("closed before an answer");
        }
        Message answer = in.answer(millisLeft(), withBody);
        if (answer.status() != 200) {
            throw new IOException("status " + answer.status());
        }
        return answer;
    }

    private void take(Place from, Members told) throws MalformedListException {
        if (from != place) { // what a discovery left behind still says is old
            return;
        }
        if (told.unread() > 0) {
            log.warn("list: {} members at {} have no id", told.unread(), told.version());
        }
        if (told.complete()) {
            to.accept(new News.Whole(name(), told.version(), told.entries(), true));
        } else if (told.revision() != Members.NO_REVISION && told.revision() < from.revision) {
            // of another past than what is held: whom it lets serve may have been drained since
            to.accept(new News.Changes(name(), told.version(), told.notServing()));
            throw new MalformedListException("changes at revision " + told.revision() + " after " + from.revision);
        } else {
            to.accept(new News.Changes(name(), told.version(), told.entries()));
        }
        if (told.revision() != Members.NO_REVISION) { // only now: what could not be taken in is asked for again
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
