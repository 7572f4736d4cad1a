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

/** A UDP proxy that drops, duplicates and delays datagrams at random, and can rebind as a NAT does. */
public final class DatagramProxy implements AutoCloseable {
    private final DatagramSocket deviceSocket;
    private final InetSocketAddress server;
    private final Random random;
    private final double loss;
    private final double twice;
    private final double late;
    private final Map<InetSocketAddress, DatagramSocket> serverSockets = new ConcurrentHashMap<>();
    private final ScheduledExecutorService delayed = Executors.newScheduledThreadPool(1, r -> {
        var t = new Thread(r, "datagram-later");
        t.setDaemon(true);
        return t;
    });
    /** The number of datagrams that were dropped. */
    public final AtomicInteger lost = new AtomicInteger();
    /** The bytes of all datagrams in both directions, dropped ones included. */
    public final AtomicLong bytes = new AtomicLong();

    /**
     * Starts a proxy to this port of loopback.
     *
     * @param loss  the share of datagrams that are dropped, in both directions
     * @param twice the share that are sent twice
     * @param late  the share that are delayed by 30 ms
     */
    public DatagramProxy(int port, long seed, double loss, double twice, double late) throws IOException {
        deviceSocket = new DatagramSocket(0, InetAddress.getByName("127.0.0.1"));
        server = new InetSocketAddress("127.0.0.1", port);
        random = new Random(seed);
        this.loss = loss;
        this.twice = twice;
        this.late = late;
        start(this::relayToServer);
    }

    /** Returns the port that devices send to. */
    public int port() {
        return deviceSocket.getLocalPort();
    }

    /** Gives every device a new source port, as a NAT does that has lost its mappings. */
    public void rebind() {
        serverSockets.clear(); // the old sockets stay open: answers to them still reach the devices
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

    private void relayToServer() throws IOException {
        while (true) {
            var packet = new DatagramPacket(new byte[2048], 2048);
            deviceSocket.receive(packet);
            var device = (InetSocketAddress) packet.getSocketAddress();
            DatagramSocket out = serverSockets.get(device);
            if (out == null) {
                DatagramSocket created = new DatagramSocket(0, InetAddress.getByName("127.0.0.1"));
                serverSockets.put(device, created);
                out = created;
                start(() -> relayToDevice(created, device));
            }
            DatagramSocket socket = out;
            relay(packet, server, socket);
        }
    }

    private void relayToDevice(DatagramSocket from, InetSocketAddress device) throws IOException {
        while (true) {
            var packet = new DatagramPacket(new byte[2048], 2048);
            from.receive(packet);
            relay(packet, device, deviceSocket);
        }
    }

    private void relay(DatagramPacket packet, InetSocketAddress target, DatagramSocket socket) throws IOException {
        byte[] data = Arrays.copyOf(packet.getData(), packet.getLength());
        double lossDraw;
        double otherDraw;
        synchronized (random) {
            lossDraw = random.nextDouble();
            otherDraw = random.nextDouble();
        }
        bytes.addAndGet(data.length);
        if (lossDraw < loss) {
            lost.incrementAndGet();
            return;
        }
        var copy = new DatagramPacket(data, data.length, target);
        if (otherDraw < late) {
            var unused = delayed.schedule(() -> {
                try {
                    socket.send(copy);
                } catch (IOException e) {
                    // closed
                }
            }, 30, TimeUnit.MILLISECONDS);
        } else {
            socket.send(copy);
        }
        if (otherDraw > 1 - twice) {
            socket.send(copy);
        }
    }

    @Override
    public void close() {
        deviceSocket.close();
        serverSockets.values().forEach(DatagramSocket::close);
        delayed.shutdownNow();
    }
}
