package wallmoor.edge.coap;

import java.net.DatagramPacket;
import java.net.InetSocketAddress;
import java.util.concurrent.TimeUnit;
import org.eclipse.californium.elements.UDPConnector;
import org.eclipse.californium.elements.config.Configuration;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * A UDP connector that drops what a peer sends beyond its rate, and receives nothing while many messages are queued:
 * the socket's receive buffer is the limit then. CoAP's peers repeat what is lost (RFC 7252, section 4.2). It needs one
 * receiver thread.
 */
final class LimitedUdpConnector extends UDPConnector {
    private static final long LOG_INTERVAL_NANOS = TimeUnit.SECONDS.toNanos(10);

    private final PeerRateLimiter limiter;
    private final ProtocolExecutor executor;
    private final Logger log = LoggerFactory.getLogger(LimitedUdpConnector.class);
    /** Datagrams dropped since the last log line; only the receiver thread uses it. */
    private long droppedDatagrams;
    private long lastLogNanos = System.nanoTime() - LOG_INTERVAL_NANOS;

    LimitedUdpConnector(InetSocketAddress listen, Configuration config, PeerRateLimiter limiter,
            ProtocolExecutor executor) {
        super(listen, config);
        this.limiter = limiter;
        this.executor = executor;
    }

    @Override
    public void processDatagram(DatagramPacket datagram) {
        var peer = (InetSocketAddress) datagram.getSocketAddress();
        long now = System.nanoTime();
        if (!limiter.tryTake(peer, now)) {
            countDropped(peer, now);
            return;
        }
        try {
            executor.awaitCapacity();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt(); // the connector stops
            return;
        }
        super.processDatagram(datagram);
    }

    private void countDropped(InetSocketAddress peer, long nowNanos) {
        droppedDatagrams++;
        if (nowNanos - lastLogNanos >= LOG_INTERVAL_NANOS) {
            log.warn("CoAP datagrams dropped, their peers exceed the rate: dropped={} last_peer={}", droppedDatagrams,
                    peer);
            lastLogNanos = nowNanos;
            droppedDatagrams = 0;
        }
    }
}
