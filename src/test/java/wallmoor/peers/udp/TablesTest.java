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
import wallmoor.peers.Message;
import wallmoor.peers.News;
import wallmoor.standin.Ports;

/** Tables by connections: large ones whole, strangers' nonsense and stalls without harm to the next one. */
class TablesTest {
    @Test
    void aTableOfTenThousandMembersArrivesWhole() throws Exception {
        List<News> news = new ArrayList<>();
        IntStream.range(0, 10_000).forEach(i -> {
            news.add(new News.Told("gatherer-" + i, "127.0.0.1:" + (10_000 + i), i, i, false));
            news.add(new News.Doubt("gatherer-" + i, i, "gatherer-1", i, true));
            news.add(new News.Doubt("gatherer-" + i, i, "gatherer-2", i, false));
        });
        var table = new Message(Message.Kind.TABLE, (News.Told) news.get(0), 0, null, 5, List.of(1L, -2L), news);
        byte[] bytes = new Wire("khi").write(table);
        BlockingQueue<byte[]> taken = new LinkedBlockingQueue<>();
        InetSocketAddress at = Ports.freeAddress();
        try (var to = new Tables(at, new Counters(), taken::add);
                var from = new Tables(Ports.freeAddress(), new Counters(), b -> {})) {
            to.start();
            from.start();
            assertTrue(from.offer(at, bytes));
            byte[] got = taken.poll(20, TimeUnit.SECONDS);
            assertArrayEquals(bytes, got);
            assertEquals(table, new Wire("khi").read(got, got.length, Wire.MOST_TABLE));
        }
    }

    @Test
    void nonsenseAndAStallCostOnlyThemselves() throws Exception {
        BlockingQueue<byte[]> taken = new LinkedBlockingQueue<>();
        InetSocketAddress at = Ports.freeAddress();
        var counters = new Counters();
        try (var to = new Tables(at, counters, taken::add); var stalled = new Socket(); var huge = new Socket();
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
            assertEquals(Map.of("tables_sent", 0L, "tables_received", 1L, "tables_failed", 3L), counters.all());
            assertTrue(taken.isEmpty());
        }
    }
}
