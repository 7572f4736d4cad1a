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

/** Tables by connections: large ones whole, strangers' nonsense and stalls without harm to the next one. */
class TableTransferTest {
    @Test
    void aTableOfTenThousandMembersArrivesWhole() throws Exception {
        List<MembershipUpdate> news = new ArrayList<>();
        IntStream.range(0, 10_000).forEach(i -> {
            news.add(new MembershipUpdate.Announcement("gatherer-" + i, "127.0.0.1:" + (10_000 + i), i, i, false));
            news.add(new MembershipUpdate.Suspicion("gatherer-" + i, i, "gatherer-1", i, true));
            news.add(new MembershipUpdate.Suspicion("gatherer-" + i, i, "gatherer-2", i, false));
        });
        var table = new GroupMessage(GroupMessage.MessageKind.UPDATES, (MembershipUpdate.Announcement) news.get(0), 0,
                null, 5, List.of(1L, -2L), news);
        byte[] bytes = new GroupMessageCodec("khi").encode(table);
        BlockingQueue<byte[]> taken = new LinkedBlockingQueue<>();
        InetSocketAddress at = Ports.freeAddress();
        try (var to = new TableTransfer(at, new TransportCounters(), taken::add);
                var from = new TableTransfer(Ports.freeAddress(), new TransportCounters(), b -> {})) {
            to.start();
            from.start();
            assertTrue(from.offer(at, bytes));
            byte[] got = taken.poll(20, TimeUnit.SECONDS);
            assertArrayEquals(bytes, got);
            assertEquals(table,
                    new GroupMessageCodec("khi").decode(got, got.length, GroupMessageCodec.MAX_TABLE_BYTES));
        }
    }

    @Test
    void nonsenseAndAStallCostOnlyThemselves() throws Exception {
        BlockingQueue<byte[]> taken = new LinkedBlockingQueue<>();
        InetSocketAddress at = Ports.freeAddress();
        var counters = new TransportCounters();
        try (var to = new TableTransfer(at, counters, taken::add); var stalled = new Socket(); var huge = new Socket();
                var cut = new Socket()) {
            to.start();
            stalled.connect(at);
            stalled.getOutputStream().write(0);
            huge.connect(at);
            new DataOutputStream(huge.getOutputStream()).writeInt(Integer.MAX_VALUE);
            cut.connect(at);
            new DataOutputStream(cut.getOutputStream()).writeLong(9L << 32);
            cut.shutdownOutput();
            try (var sound = new Socket()) {
                sound.connect(at);
                var out = new DataOutputStream(sound.getOutputStream());
                out.writeInt(2);
                out.writeShort(7);
                assertArrayEquals(new byte[] {0, 7}, taken.poll(20, TimeUnit.SECONDS));
            }
            assertEquals(Map.of("tables_sent", 0L, "tables_received", 1L, "tables_failed", 3L), counters.snapshot());
            assertTrue(taken.isEmpty());
        }
    }
}
