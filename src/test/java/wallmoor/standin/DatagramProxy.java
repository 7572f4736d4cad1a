package wallmoor.standin;

import java.io.IOException;
import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.Arrays;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/** A poor link for UDP: it loses, doubles and reorders datagrams by a seed, and may give a device another address. */
public final class DatagramProxy implements AutoCloseable {
    private final DatagramSocket near;
    private final InetSocketAddress to;
    private final Random random;
    private final double loss;
    private final double twice;
    private final double late;
    private final Map<InetSocketAddress, DatagramSocket> far = new ConcurrentHashMap<>();
    private final ScheduledExecutorService later = Executors.newScheduledThreadPool(1, r -> {
        var t = new Thread(r, "datagram-later");
        t.setDaemon(true);
        return t;
    });
    public final AtomicInteger lost = new AtomicInteger();
    public final AtomicLong bytes = new AtomicLong();

    /** Loses, doubles and holds back these shares of the datagrams, both ways. */
    public DatagramProxy(int port, long seed, double loss, double twice, double late) throws IOException {
        near = new DatagramSocket(0, InetAddress.getByName("127.0.0.1"));
        to = new InetSocketAddress("127.0.0.1", port);
        random = new Random(seed);
        this.loss = loss;
        this.twice = twice;
        this.late = late;
        start(this::up);
    }

    public int port() {
        return near.getLocalPort();
    }

    /** As a NAT that has forgotten: from now on every device comes from another address. */
    public void rebind() {
        far.clear(); // the old ones go on being read, as answers on their way would
    }

    private interface Work {
        void run() throws IOException;
    }

    private static void start(Work work) {
        var thread = new Thread(() -> {
            try {
                work.run();
            } catch (IOException e) {
                // closed
            }
        }, "datagrams");
        thread.setDaemon(true);
        thread.start();
    }

    private void up() throws IOException {
        while (true) {
            var packet = new DatagramPacket(new byte[2048], 2048);
            near.receive(packet);
            var device = (InetSocketAddress) packet.getSocketAddress();
            DatagramSocket out = far.get(device);
            if (out == null) {
                DatagramSocket made = new DatagramSocket(0, InetAddress.getByName("127.0.0.1"));
                far.put(device, made);
                out = made;
                start(() -> down(made, device));
            }
            DatagramSocket through = out;
            pass(packet, to, through);
        }
    }

    private void down(DatagramSocket from, InetSocketAddress device) throws IOException {
        while (true) {
            var packet = new DatagramPacket(new byte[2048], 2048);
            from.receive(packet);
            pass(packet, device, near);
        }
    }

    private void pass(DatagramPacket packet, InetSocketAddress whereTo, DatagramSocket through) throws IOException {
        byte[] data = Arrays.copyOf(packet.getData(), packet.getLength());
        double draw;
        double draw2;
        synchronized (random) {
            draw = random.nextDouble();
            draw2 = random.nextDouble();
        }
        bytes.addAndGet(data.length);
        if (draw < loss) {
            lost.incrementAndGet();
            return;
        }
        var copy = new DatagramPacket(data, data.length, whereTo);
        if (draw2 < late) {
            var unused = later.schedule(() -> {
                try {
                    through.send(copy);
                } catch (IOException e) {
                    // closed
                }
            }, 30, TimeUnit.MILLISECONDS);
        } else {
            through.send(copy);
        }
        if (draw2 > 1 - twice) {
            through.send(copy);
        }
    }

    @Override
    public void close() {
        near.close();
        far.values().forEach(DatagramSocket::close);
        later.shutdownNow();
    }
}
