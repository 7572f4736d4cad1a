package wallmoor.consensus;

import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Passes packets from the transport thread to the control thread in order. Packets beyond the limit are dropped and
 * counted, as every message is sent again.
 */
final class PacketQueue implements PacketListener {
    /** Limit of packets that the control thread has not yet taken. */
    private static final int MAX_QUEUED = 2_048;

    private final ControlThread controlThread;
    private final PacketHandler handler;
    private final AtomicInteger queued = new AtomicInteger();
    private final AtomicLong overflow = new AtomicLong();

    /**
     * Creates the queue.
     *
     * @param handler called on the control thread
     */
    PacketQueue(ControlThread controlThread, PacketHandler handler) {
        this.controlThread = controlThread;
        this.handler = handler;
    }

    @Override
    public void onPacket(FramedConnection from, Packet packet) {
        if (queued.get() >= MAX_QUEUED) {
            overflow.incrementAndGet();
            return;
        }
        queued.incrementAndGet();
        controlThread.run(() -> {
            queued.decrementAndGet();
            handler.handle(from, packet);
        });
    }

    @Override
    public void onDisconnect(FramedConnection connection) {
        controlThread.run(() -> handler.disconnected(connection));
    }

    /** Returns the number of packets dropped because the queue was full. */
    long overflow() {
        return overflow.get();
    }
}
