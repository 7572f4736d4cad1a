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
 * Applies what one call to discovery reports: the full list, and then a watch's objects and heartbeats, in order. What
 * a discovery that was left behind still reports is stale, and dropped.
 */
final class EndpointListReceiver implements WatchStreamParser.WatchStreamListener {
    private static final Logger LOG = LoggerFactory.getLogger(EndpointListReceiver.class);

    private final DiscoveryTarget target;
    private final WatchTracker tracker;
    private final LaunchConfig launch;
    private final Gatherer gatherer;
    private final Consumer<WatchEvent> listener;
    private boolean firstOfWatch = true;

    EndpointListReceiver(DiscoveryTarget target, WatchTracker tracker, LaunchConfig launch, Gatherer gatherer,
            Consumer<WatchEvent> listener) {
        this.target = target;
        this.tracker = tracker;
        this.launch = launch;
        this.gatherer = gatherer;
        this.listener = listener;
    }

    /** Applies the response to a poll of the full list. */
    void onFullList(ByteSlice json) throws MalformedEndpointListException {
        apply(EndpointListMessage.parse(json, launch));
    }

    @Override
    public void object(ByteSlice json) throws MalformedEndpointListException {
        apply(EndpointListMessage.parse(json, launch));
        firstOfWatch = false;
        tracker.onEventReceived(target);
    }

    @Override
    public void heartbeat() {
        if (tracker.isCurrent(target)) {
            listener.accept(new WatchEvent.EndpointsUnchanged(EndpointSource.ENDPOINT_LIST));
            if (firstOfWatch) { // the module waits to hear from the list, be it that nothing has changed
                gatherer.control().updateEndpoints(false, List.of());
            }
        }
        firstOfWatch = false;
        tracker.onEventReceived(target);
    }

    private void apply(EndpointListMessage message) throws MalformedEndpointListException {
        if (!tracker.isCurrent(target)) {
            return;
        }
        if (message.unreadable() > 0) {
            LOG.warn("endpoint list: {} members at {} have no id", message.unreadable(), message.version());
        }
        if (message.complete()) {
            listener.accept(new WatchEvent.EndpointSnapshot(EndpointSource.ENDPOINT_LIST, message.version(),
                    message.endpoints(), true));
        } else if (isOfAnotherHistory(message)) {
            listener.accept(new WatchEvent.EndpointDelta(EndpointSource.ENDPOINT_LIST, message.version(),
                    message.notServing()));
            throw new MalformedEndpointListException(
                    "changes at revision " + message.revision() + " after " + target.revision());
        } else {
            listener.accept(new WatchEvent.EndpointDelta(EndpointSource.ENDPOINT_LIST, message.version(),
                    message.endpoints()));
        }
        if (message.hasRevision()) { // only now: what could not be applied is requested again
            target.hold(message.revision());
        }
    }

    /** Whether its changes precede what is held: whom they let serve may have been drained since. */
    private boolean isOfAnotherHistory(EndpointListMessage message) {
        return message.hasRevision() && message.revision() < target.revision();
    }
}
