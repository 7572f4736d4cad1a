package wallmoor.discovery;

import java.io.IOException;
import java.net.Proxy;
import java.net.Socket;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import wallmoor.config.LaunchConfig;
import wallmoor.core.Gatherer;
import wallmoor.endpoints.SourceEndpoint;
import wallmoor.endpoints.WatchEvent;
import wallmoor.http.HttpProtocolException;
import wallmoor.http.Threads;
import wallmoor.json.Json;
import wallmoor.sources.EndpointSource;

/**
 * Watches discovery's endpoint list: from the revision held last, whenever the decision module wants it watched. How
 * long to back off after a failure is the module's to say; all else on time, and the state of the call, is {@link
 * WatchStateMachine}'s, which may want it sooner. When the configuration names another discovery, the watch moves at
 * once.
 *
 * <p>One thread calls, reads and waits, so that calls follow on each other and what an old watch reported last is
 * applied before what a new one reports. Only {@link #reload} comes from elsewhere.
 */
public final class DiscoveryWatch implements EndpointSource {
    private final Logger log = LoggerFactory.getLogger(DiscoveryWatch.class);
    private final LaunchConfig launch;
    private final Gatherer gatherer;
    private final EndpointListMessage initial;
    private final WatchTracker tracker;
    private volatile Consumer<WatchEvent> listener = event -> {};
    private volatile Socket openSocket;

    /**
     * Makes the watch.
     *
     * @param gatherer says when the list is to be polled, and is told when the watch has ended
     * @throws Json.Malformed if the list that the program was started with is none
     */
    public DiscoveryWatch(LaunchConfig launch, Gatherer gatherer) throws Json.Malformed {
        this.launch = launch;
        this.gatherer = gatherer;
        initial = launch.known() == null ? EndpointListMessage.NONE : EndpointListMessage.of(launch.known(), launch);
        var machine = new WatchStateMachine(settings(launch), launch.seed());
        var target = new DiscoveryTarget(launch.discovery(), Math.max(0, initial.revision()));
        tracker = new WatchTracker(machine, gatherer::now, target);
    }

    private static WatchSettings settings(LaunchConfig launch) {
        var rules = launch.settings().rules();
        return new WatchSettings(launch.pushed(), rules.pollWithin(), rules.drainGrace());
    }

    @Override
    public String name() {
        return ENDPOINT_LIST;
    }

    @Override
    public List<SourceEndpoint> initialEndpoints() {
        return initial.endpoints();
    }

    @Override
    public void start(Consumer<WatchEvent> reader) {
        listener = reader;
        tracker.onProcessStarted();
        Threads.start("discovery", this::run);
    }

    /**
     * Applies a configuration that was read again: its terms hold, and the list is watched where it says; the one held
     * stays until that discovery has reported its own.
     */
    public void reload(LaunchConfig changed) {
        boolean moves = !changed.discovery().equals(tracker.target().address());
        var moved = moves ? new DiscoveryTarget(changed.discovery(), EndpointListMessage.UNKNOWN_REVISION) : null;
        tracker.reload(settings(changed), moved);
        if (moves) {
            close(openSocket); // its reader finds that another discovery is watched
            gatherer.control().requestWatch();
        }
    }

    /** Watches until the thread is interrupted. */
    private void run() {
        while (!Thread.currentThread().isInterrupted()) {
            try {
                gatherer.control().awaitWatchRequest(tracker.nextCallBy());
            } catch (InterruptedException e) {
                return;
            }
            DiscoveryTarget target = tracker.onCallStarted();
            try {
                call(target);
            } catch (MalformedEndpointListException e) {
                target.dropRevision();
                onFailure(target, e);
            } catch (IOException | HttpProtocolException | RuntimeException | OutOfMemoryError e) {
                onFailure(target, e);
            }
            onCallEnded(target);
        }
    }

    private void call(DiscoveryTarget target) throws IOException, HttpProtocolException {
        try (var socket = new Socket(Proxy.NO_PROXY)) {
            openSocket = socket;
            if (!tracker.isCurrent(target)) { // else a move from now on finds the socket and closes it
                return;
            }
            var receiver = new EndpointListReceiver(target, tracker, launch, gatherer, listener);
            new DiscoveryCall(socket, target, tracker, receiver).run();
        }
    }

    private void onFailure(DiscoveryTarget target, Throwable e) {
        if (!tracker.isCurrent(target)) {
            return;
        }
        log.warn("endpoint list watch failed: {}", e.toString());
        try {
            listener.accept(new WatchEvent.SourceFailure(name(), e.toString()));
        } catch (RuntimeException again) { // the watching thread must outlive it
            log.warn("endpoint list watch failed: {}", again.toString());
        }
    }

    private void onCallEnded(DiscoveryTarget target) {
        WatchTracker.Loss loss = tracker.onWatchLost(target);
        if (loss.outcome() == WatchTracker.LossOutcome.SUPERSEDED) {
            return;
        }
        log.debug("endpoint list stale for {} ms, a change missed now counts as notified in {} ms",
                TimeUnit.MICROSECONDS.toMillis(loss.staleFor()), TimeUnit.MICROSECONDS.toMillis(loss.notifiedIn()));
        if (loss.outcome() == WatchTracker.LossOutcome.FAILED) {
            gatherer.control().watchFailed();
        } else {
            gatherer.control().watchReconnecting();
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
