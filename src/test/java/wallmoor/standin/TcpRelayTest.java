package wallmoor.standin;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertThrows;
import static org.junit.Assert.assertTrue;

import java.io.IOException;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.util.List;
import org.junit.After;
import org.junit.Before;
import org.junit.Test;
import wallmoor.standin.TcpRelay.Fault;

/** Tests each fault of the relay at both ends of a link. */
public class TcpRelayTest {
    private static final int TIMEOUT_MILLIS = 10_000;
    private static final int SILENCE_MILLIS = 150;
    private ServerSocket firstServer;
    private ServerSocket secondServer;
    private TcpRelay relay;
    private Socket opener;
    private Socket answerer;

    @Before
    public void start() throws IOException {
        firstServer = new ServerSocket(0, 50, java.net.InetAddress.getLoopbackAddress());
        secondServer = new ServerSocket(0, 50, java.net.InetAddress.getLoopbackAddress());
        secondServer.setSoTimeout(TIMEOUT_MILLIS);
        relay = new TcpRelay(List.of(firstServer.getLocalPort(), secondServer.getLocalPort()));
    }

    @After
    public void stop() throws IOException {
        relay.close();
        for (AutoCloseable c : new AutoCloseable[] {firstServer, secondServer, opener, answerer}) {
            try {
                if (c != null) {
                    c.close();
                }
            } catch (Exception e) {
                throw new IOException(e);
            }
        }
    }

    private void open() throws IOException {
        opener = new Socket("127.0.0.1", relay.port(0, 1));
        answerer = secondServer.accept();
        opener.setSoTimeout(TIMEOUT_MILLIS);
        answerer.setSoTimeout(TIMEOUT_MILLIS);
        assertArrives(opener, answerer, 1);
        assertArrives(answerer, opener, 2);
    }

    private static void assertArrives(Socket from, Socket to, int octet) throws IOException {
        from.getOutputStream().write(octet);
        assertEquals(octet, to.getInputStream().read());
    }

    private static void assertSilent(Socket at) throws IOException {
        at.setSoTimeout(SILENCE_MILLIS);
        assertThrows(SocketTimeoutException.class, () -> at.getInputStream().read());
        at.setSoTimeout(TIMEOUT_MILLIS);
    }

    @Test
    public void cutsOneDirectionAndDeliversBufferedBytesAfterHealing() throws IOException {
        open();
        relay.fault(0, 1, Fault.CUT);
        opener.getOutputStream().write(7);
        assertSilent(answerer);
        assertArrives(answerer, opener, 8);
        try (var late = new Socket("127.0.0.1", relay.port(0, 1))) {
            secondServer.setSoTimeout(SILENCE_MILLIS);
            assertThrows(SocketTimeoutException.class, () -> secondServer.accept()); // no link through a cut
            secondServer.setSoTimeout(TIMEOUT_MILLIS);
            relay.heal();
            assertEquals(7, answerer.getInputStream().read());
            try (Socket there = secondServer.accept()) {
                assertArrives(late, there, 9);
            }
        }
    }

    @Test
    public void buffersABoundedNumberOfBytesDuringAStall() throws Exception {
        open();
        relay.fault(0, 1, Fault.STALLED);
        int length = 8 << 20;
        var writer = new Thread(() -> {
            try {
                opener.getOutputStream().write(new byte[length]);
            } catch (IOException e) {
                // the reader then reads too few bytes and the test fails
            }
        });
        writer.setDaemon(true);
        writer.start();
        assertSilent(answerer);
        writer.join(SILENCE_MILLIS);
        assertTrue("the writer blocks on the bounded buffers", writer.isAlive());
        relay.fault(0, 1, Fault.NONE);
        assertEquals(length, answerer.getInputStream().readNBytes(length).length);
    }

    @Test
    public void delaysBytes() throws IOException {
        open();
        relay.fault(1, 0, Fault.late(100));
        long from = System.nanoTime();
        assertArrives(answerer, opener, 3);
        assertTrue(System.nanoTime() - from >= 99_000_000);
    }

    @Test
    public void resetsLinksAtBothEndsOrAtOne() throws IOException {
        open();
        assertEquals(1, relay.resetOneEnd(0, 1));
        assertThrows(IOException.class, () -> opener.getInputStream().read());
        assertSilent(answerer);
        open();
        assertEquals(2, relay.links());
        assertEquals("a half-open link is not reset again", 1, relay.resetLinks(1, 0));
        assertThrows(IOException.class, () -> opener.getInputStream().read());
        assertThrows(IOException.class, () -> answerer.getInputStream().read());
    }

    @Test
    public void relaysAnEndUnlessEndsAreQuiet() throws IOException {
        open();
        opener.close();
        assertEquals(-1, answerer.getInputStream().read());
        answerer.close();
        open();
        relay.fault(0, 1, Fault.QUIET_ENDS);
        opener.setSoLinger(true, 0);
        opener.close();
        assertSilent(answerer);
    }

    @Test
    public void refusesNewLinksAndKeepsOpenOnes() throws IOException {
        open();
        relay.refuse(0, 1, true);
        try (var next = new Socket("127.0.0.1", relay.port(0, 1))) {
            next.setSoTimeout(TIMEOUT_MILLIS);
            assertThrows(IOException.class, () -> {
                if (next.getInputStream().read() < 0) {
                    throw new IOException("ended");
                }
            });
        }
        assertArrives(opener, answerer, 5);
    }
}
