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

/** Tests the buffer between the selector thread and the thread that reads a request. */
public class IncomingBytesTest {
    @Test
    public void readsBytesInOrderAndResumesFullBufferOnceItIsRead() throws Exception {
        for (long seed = 1; seed <= 200; seed++) {
            var random = new Random(seed);
            var resumeCount = new AtomicInteger();
            var incoming = new IncomingBytes(IncomingBytes.MAX_UNREAD_BYTES, resumeCount::incrementAndGet);
            var written = new ByteArrayOutputStream();
            var read = new ByteArrayOutputStream();
            boolean wantsMore = true;
            for (int step = 0; step < 200; step++) {
                if (wantsMore && random.nextBoolean()) {
                    byte[] bytes = new byte[1 + random.nextInt(6_000)];
                    random.nextBytes(bytes);
                    written.writeBytes(bytes);
                    wantsMore = incoming.add(ByteBuffer.wrap(bytes));
                    assertEquals(wantsMore, incoming.unreadBytes() < IncomingBytes.MAX_UNREAD_BYTES);
                } else if (incoming.unreadBytes() > 0) {
                    byte[] to = new byte[1 + random.nextInt(9_000)];
                    int countBefore = resumeCount.get();
                    read.write(to, 0, incoming.read(to, 0, to.length));
                    assertEquals(!wantsMore && incoming.unreadBytes() == 0, resumeCount.get() > countBefore);
                    wantsMore |= resumeCount.get() > countBefore;
                }
            }
            incoming.end();
            read.writeBytes(incoming.readAllBytes());
            assertArrayEquals("seed " + seed, written.toByteArray(), read.toByteArray());
            assertEquals(-1, incoming.read());
        }
    }

    @Test
    public void readTimesOutAndReturnsAtEndOfStream() throws Exception {
        var incoming = new IncomingBytes(IncomingBytes.MAX_UNREAD_BYTES, () -> {});
        incoming.setTimeoutMillis(20);
        assertThrows(SocketTimeoutException.class, incoming::read);
        incoming.setTimeoutMillis(0);
        new Thread(incoming::end).start();
        assertEquals(-1, incoming.read());
        assertTrue(incoming.ended());
        incoming.add(ByteBuffer.wrap(new byte[IncomingBytes.MAX_UNREAD_BYTES]));
        incoming.clear();
        assertEquals(0, incoming.unreadBytes());
        assertFalse(incoming.add(ByteBuffer.wrap(new byte[IncomingBytes.MAX_UNREAD_BYTES])));
    }
}
