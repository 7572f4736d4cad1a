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
import wallmoor.json.Json;
import wallmoor.sources.EndpointSource;
import wallmoor.threads.Threads;

/**
 * Watches discovery's endpoint list, from the last applied revision, when the decision module requests it. The decision
 * module decides how long to back off after a failure. {@link WatchStateMachine} has the state of the call and all
 * other timing, and may call sooner. When the configuration names another discovery, the watch moves there at once.
 *
 * <p>A single thread calls, reads and waits, so that calls don't overlap and the last reports of an old watch are
 * applied before those of a new one. Only {@link #reload} runs on other threads.
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
     * Creates the watch.
     *
     * @param gatherer requests calls, and is notified when the watch has ended
     * @throws Json.Malformed if the initial list of the launch configuration is malformed
     */
    public DiscoveryWatch(LaunchConfig launch, Gatherer gatherer) throws Json.Malformed {
        this.launch = launch;
        this.gatherer = gatherer;
        initial = launch.known() == null ? EndpointListMessage.EMPTY : EndpointListMessage.of(launch.known(), launch);
        var machine = new WatchStateMachine(settings(launch), launch.seed());
        var target = new DiscoveryTarget(launch.discovery(), Math.max(0, initial.revision()));
        tracker = new WatchTracker(machine, gatherer::now, target);
    }

    private static WatchSettings settings(LaunchConfig launch) {
        var rules = launch.settings().rules();
        return new WatchSettings(launch.isListPushed(), rules.pollWithin(), rules.drainGrace());
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
    public void start(Consumer<WatchEvent> eventListener) {
        listener = eventListener;
        tracker.onProcessStarted();
        Threads.startEssential("discovery", this::run);
    }

    /**
     * Applies a reloaded configuration: its settings, and the address of discovery. After a move, the current endpoints
     * stay in use until the new discovery has reported its own.
     */
    public void reload(LaunchConfig changed) {
        boolean isMoved = !changed.discovery().equals(tracker.target().address());
        var newTarget = isMoved ? new DiscoveryTarget(changed.discovery(), EndpointListMessage.UNKNOWN_REVISION) : null;
        tracker.reload(settings(changed), newTarget);
        if (isMoved) {
            close(openSocket); // unblocks its reader, which then finds that its target is no longer current
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
                target.clearRevision();
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
            if (!tracker.isCurrent(target)) { // moved before openSocket was set; a later move closes the socket
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
        log.warn("endpoint list watch failed: error={}", e.toString());
        try {
            listener.accept(new WatchEvent.SourceFailure(name(), e.toString()));
        } catch (RuntimeException listenerFailure) { // must not end the watching thread
            log.warn("endpoint list watch failed: error={}", listenerFailure.toString());
        }
    }

    private void onCallEnded(DiscoveryTarget target) {
        WatchTracker.Loss loss = tracker.onWatchLost(target);
        if (loss.outcome() == WatchTracker.LossOutcome.SUPERSEDED) {
            return;
        }
        log.debug("endpoint list is stale: stale_ms={} missed_change_notified_in_ms={}",
                TimeUnit.MICROSECONDS.toMillis(loss.staleForMicros()),
                TimeUnit.MICROSECONDS.toMillis(loss.notifiedInMicros()));
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
            // closing is best effort
        }
    }
}
