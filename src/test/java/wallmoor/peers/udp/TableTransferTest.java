package wallmoor.peers.udp;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.DataOutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import wallmoor.peers.GroupMessage;
import wallmoor.peers.MembershipUpdate;
import wallmoor.standin.Ports;

/** Tables over connections: large ones arrive complete, and invalid or stalled ones don't affect the next one. */
class TableTransferTest {
    @Test
    void transfersTableOfTenThousandMembers() throws Exception {
        List<MembershipUpdate> updates = new ArrayList<>();
        IntStream.range(0, 10_000).forEach(i -> {
            updates.add(new MembershipUpdate.Announcement("gatherer-" + i, "127.0.0.1:" + (10_000 + i), i, i, false));
            updates.add(new MembershipUpdate.Suspicion("gatherer-" + i, i, "gatherer-1", i, true));
            updates.add(new MembershipUpdate.Suspicion("gatherer-" + i, i, "gatherer-2", i, false));
        });
        var table = new GroupMessage(GroupMessage.MessageKind.UPDATES, (MembershipUpdate.Announcement) updates.get(0),
                0, null, 5, List.of(1L, -2L), updates);
        byte[] bytes = new GroupMessageCodec("khi").encode(table);
        BlockingQueue<byte[]> received = new LinkedBlockingQueue<>();
        InetSocketAddress address = Ports.freeAddress();
        try (var receiver = new TableTransfer(address, new TransportCounters(), received::add);
                var sender = new TableTransfer(Ports.freeAddress(), new TransportCounters(), b -> {})) {
            receiver.start();
            sender.start();
            assertTrue(sender.offer(address, bytes));
            byte[] receivedBytes = received.poll(20, TimeUnit.SECONDS);
            assertArrayEquals(bytes, receivedBytes);
            assertEquals(table, new GroupMessageCodec("khi").decode(receivedBytes, receivedBytes.length,
                    GroupMessageCodec.MAX_TABLE_BYTES));
        }
    }

    @Test
    void receivesTableAfterStalledTooLargeAndTruncatedOnes() throws Exception {
        BlockingQueue<byte[]> received = new LinkedBlockingQueue<>();
        InetSocketAddress address = Ports.freeAddress();
        var counters = new TransportCounters();
        try (var receiver = new TableTransfer(address, counters, received::add); var stalled = new Socket();
                var tooLarge = new Socket(); var truncated = new Socket()) {
            receiver.start();
            stalled.connect(address);
            stalled.getOutputStream().write(0);
            tooLarge.connect(address);
            new DataOutputStream(tooLarge.getOutputStream()).writeInt(Integer.MAX_VALUE);
            truncated.connect(address);
            new DataOutputStream(truncated.getOutputStream()).writeLong(9L << 32);
            truncated.shutdownOutput();
            try (var valid = new Socket()) {
                valid.connect(address);
                var out = new DataOutputStream(valid.getOutputStream());
                out.writeInt(2);
                out.writeShort(7);
                assertArrayEquals(new byte[] {0, 7}, received.poll(20, TimeUnit.SECONDS));
            }
            assertEquals(Map.of("tables_sent", 0L, "tables_received", 1L, "tables_failed", 3L), counters.snapshot());
            assertTrue(received.isEmpty());
        }
    }
}
