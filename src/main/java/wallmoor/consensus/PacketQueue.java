package wallmoor.consensus;

import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Hands packets from the transport's thread to the control thread, in their order. More than fit are dropped and
 * counted, as all that is sent is sent again.
 */
final class PacketQueue implements PacketListener {
    /** Packets that the control thread has not taken yet. */
    private static final int MAX_QUEUED = 2_048;

    private final ControlThread controlThread;
    private final PacketHandler handler;
    private final AtomicInteger queued = new AtomicInteger();
    private final AtomicLong overflow = new AtomicLong();

    /** {@code handler} is called on the control thread. */
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

    /** Packets that did not fit. */
    long overflow() {
        return overflow.get();
    }
}
