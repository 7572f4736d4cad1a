package wallmoor.http;

import static org.junit.Assert.assertArrayEquals;
import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertFalse;
import static org.junit.Assert.assertThrows;
import static org.junit.Assert.assertTrue;

import java.io.ByteArrayOutputStream;
import java.net.SocketTimeoutException;
import java.nio.ByteBuffer;
import java.util.Random;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.Test;

/** Bytes between the thread that watches and the one that reads. */
public class IncomingBytesTest {
    @Test
    public void bytesComeInOrderAndWhoIsFullAsksOnceItWasRead() throws Exception {
        for (long seed = 1; seed <= 200; seed++) {
            var random = new Random(seed);
            var asked = new AtomicInteger();
            var feed = new IncomingBytes(asked::incrementAndGet);
            var in = new ByteArrayOutputStream();
            var out = new ByteArrayOutputStream();
            boolean wanted = true;
            for (int step = 0; step < 200; step++) {
                if (wanted && random.nextBoolean()) {
                    byte[] more = new byte[1 + random.nextInt(6_000)];
                    random.nextBytes(more);
                    in.writeBytes(more);
                    wanted = feed.add(ByteBuffer.wrap(more));
                    assertEquals(wanted, feed.waiting() < IncomingBytes.MOST);
                } else if (feed.waiting() > 0) {
                    byte[] to = new byte[1 + random.nextInt(9_000)];
                    int before = asked.get();
                    out.write(to, 0, feed.read(to, 0, to.length));
                    assertEquals(!wanted && feed.waiting() == 0, asked.get() > before);
                    wanted |= asked.get() > before;
                }
            }
            feed.end();
            out.writeBytes(feed.readAllBytes());
            assertArrayEquals("seed " + seed, in.toByteArray(), out.toByteArray());
            assertEquals(-1, feed.read());
        }
    }

    @Test
    public void aReadWaitsNoLongerThanItMayAndTheEndWakesIt() throws Exception {
        var feed = new IncomingBytes(() -> {});
        feed.timeout(20);
        assertThrows(SocketTimeoutException.class, feed::read);
        feed.timeout(0);
        new Thread(feed::end).start();
        assertEquals(-1, feed.read());
        assertTrue(feed.ended());
        feed.add(ByteBuffer.wrap(new byte[IncomingBytes.MOST]));
        feed.clear();
        assertEquals(0, feed.waiting());
        assertFalse(feed.add(ByteBuffer.wrap(new byte[IncomingBytes.MOST])));
    }
}
