package wallmoor.discovery;

import java.util.List;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import wallmoor.config.LaunchConfig;
import wallmoor.core.Gatherer;
import wallmoor.endpoints.WatchEvent;
import wallmoor.http.ByteSlice;
import wallmoor.sources.EndpointSource;

/**
 * Applies the messages of one call to discovery in order: the full list, if it was requested, and then the objects and
 * heartbeats of the watch. Messages of a discovery that is no longer the current one are dropped.
 */
final class EndpointListReceiver implements WatchStreamParser.WatchStreamListener {
    private static final Logger LOG = LoggerFactory.getLogger(EndpointListReceiver.class);

    private final DiscoveryTarget target;
    private final WatchTracker tracker;
    private final LaunchConfig launch;
    private final Gatherer gatherer;
    private final Consumer<WatchEvent> listener;
    private boolean isFirstWatchEvent = true;

    EndpointListReceiver(DiscoveryTarget target, WatchTracker tracker, LaunchConfig launch, Gatherer gatherer,
            Consumer<WatchEvent> listener) {
        this.target = target;
        this.tracker = tracker;
        this.launch = launch;
        this.gatherer = gatherer;
        this.listener = listener;
    }

    /** Applies the response to a request for the full list. */
    void onFullList(ByteSlice json) throws MalformedEndpointListException {
        apply(EndpointListMessage.parse(json, launch));
    }

    @Override
    public void onObject(ByteSlice json) throws MalformedEndpointListException {
        apply(EndpointListMessage.parse(json, launch));
        isFirstWatchEvent = false;
        tracker.onEventReceived(target);
    }

    @Override
    public void onHeartbeat() {
        if (tracker.isCurrent(target)) {
            listener.accept(new WatchEvent.EndpointsUnchanged(EndpointSource.ENDPOINT_LIST));
            if (isFirstWatchEvent) { // the decision module waits for a first update, even if nothing has changed
                gatherer.control().updateEndpoints(false, List.of());
            }
        }
        isFirstWatchEvent = false;
        tracker.onEventReceived(target);
    }

    private void apply(EndpointListMessage message) throws MalformedEndpointListException {
        if (!tracker.isCurrent(target)) {
            return;
        }
        if (message.unreadableMembers() > 0) {
            LOG.warn("endpoint list members without an id skipped: count={} version={}", message.unreadableMembers(),
                    message.version());
        }
        if (message.complete()) {
            listener.accept(new WatchEvent.EndpointSnapshot(EndpointSource.ENDPOINT_LIST, message.version(),
                    message.endpoints(), true));
        } else if (precedesCurrentRevision(message)) {
            listener.accept(new WatchEvent.EndpointDelta(EndpointSource.ENDPOINT_LIST, message.version(),
                    message.notServing()));
            throw new MalformedEndpointListException(
                    "delta at revision " + message.revision() + " is older than the applied revision "
                            + target.revision());
        } else {
            listener.accept(new WatchEvent.EndpointDelta(EndpointSource.ENDPOINT_LIST, message.version(),
                    message.endpoints()));
        }
        if (message.hasRevision()) { // after applying, so that a message that could not be applied is requested again
            target.setRevision(message.revision());
        }
    }

    /** Returns whether a message is older than the applied revision: an endpoint that it adds may be draining since. */
    private boolean precedesCurrentRevision(EndpointListMessage message) {
        return message.hasRevision() && message.revision() < target.revision();
    }
}
