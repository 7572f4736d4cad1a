package wallmoor.standin;

import java.io.IOException;
import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.BiPredicate;

/**
 * The network between the members of a group: each is reached at a port of the relay's, and who sends is told by the port
 * that a datagram comes from. What {@link #cut} says is dropped, each way of each pair apart; of the rest a share.
 */
public final class GroupRelay implements AutoCloseable {
    private final InetAddress loopback = InetAddress.getByName("127.0.0.1");
    private final List<DatagramSocket> near;
    private final List<Integer> ports;
    private final Map<Integer, Integer> members = new ConcurrentHashMap<>();
    private final Random random;
    /** From whom to whom nothing goes, by number. */
    public volatile BiPredicate<Integer, Integer> cut = (from, to) -> false;
    public volatile double loss;
    public final AtomicLong dropped = new AtomicLong();

    /** A relay to members that listen at these ports. */
    public GroupRelay(List<Integer> ports, long seed) throws IOException {
        this.ports = ports;
        random = new Random(seed);
        near = new java.util.ArrayList<>();
        for (int i = 0; i < ports.size(); i++) {
            members.put(ports.get(i), i);
            var socket = new DatagramSocket(0, loopback);
            near.add(socket);
            int to = i;
            var thread = new Thread(() -> pass(socket, to), "relay-" + i);
            thread.setDaemon(true);
            thread.start();
        }
    }

    /** The address at which the others reach a member. */
    public String address(int member) {
        return "127.0.0.1:" + near.get(member).getLocalPort();
    }

    private void pass(DatagramSocket in, int to) {
        byte[] buffer = new byte[4096];
        try {
            while (true) {
                var packet = new DatagramPacket(buffer, buffer.length);
                in.receive(packet);
                Integer from = members.get(packet.getPort());
                boolean lost;
                synchronized (random) {
                    lost = random.nextDouble() < loss;
                }
                if (from != null && (lost || cut.test(from, to))) {
                    dropped.incrementAndGet();
                    continue;
                }
                in.send(new DatagramPacket(buffer, packet.getLength(), new InetSocketAddress(loopback, ports.get(to))));
            }
        } catch (IOException e) {
            // closed
        }
    }

    @Override
    public void close() {
        near.forEach(DatagramSocket::close);
    }
}
