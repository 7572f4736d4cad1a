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

/** Each fault of the relay, seen from both ends of a link. */
public class TcpRelayTest {
    private static final int WAIT_MILLIS = 10_000;
    private static final int SILENCE_MILLIS = 150;
    private ServerSocket zero;
    private ServerSocket one;
    private TcpRelay relay;
    private Socket opener;
    private Socket answerer;

    @Before
    public void start() throws IOException {
        zero = new ServerSocket(0, 50, java.net.InetAddress.getLoopbackAddress());
        one = new ServerSocket(0, 50, java.net.InetAddress.getLoopbackAddress());
        one.setSoTimeout(WAIT_MILLIS);
        relay = new TcpRelay(List.of(zero.getLocalPort(), one.getLocalPort()));
    }

    @After
    public void stop() throws IOException {
        relay.close();
        for (AutoCloseable c : new AutoCloseable[] {zero, one, opener, answerer}) {
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
        answerer = one.accept();
        opener.setSoTimeout(WAIT_MILLIS);
        answerer.setSoTimeout(WAIT_MILLIS);
        arrives(opener, answerer, 1);
        arrives(answerer, opener, 2);
    }

    private static void arrives(Socket from, Socket to, int octet) throws IOException {
        from.getOutputStream().write(octet);
        assertEquals(octet, to.getInputStream().read());
    }

    private static void silent(Socket at) throws IOException {
        at.setSoTimeout(SILENCE_MILLIS);
        assertThrows(SocketTimeoutException.class, () -> at.getInputStream().read());
        at.setSoTimeout(WAIT_MILLIS);
    }

    @Test
    public void oneWayIsCutTheOtherGoesOnAndWhatWasHeldArrives() throws IOException {
        open();
        relay.fault(0, 1, Fault.CUT);
        opener.getOutputStream().write(7);
        silent(answerer);
        arrives(answerer, opener, 8);
        try (var late = new Socket("127.0.0.1", relay.port(0, 1))) {
            one.setSoTimeout(SILENCE_MILLIS);
            assertThrows(SocketTimeoutException.class, () -> one.accept()); // no new link through a cut
            one.setSoTimeout(WAIT_MILLIS);
            relay.heal();
            assertEquals(7, answerer.getInputStream().read());
            try (Socket there = one.accept()) {
                arrives(late, there, 9);
            }
        }
    }

    @Test
    public void aStallTakesABoundedNumberOfBytesAndPassesThemOnLater() throws Exception {
        open();
        relay.fault(0, 1, Fault.STALLED);
        int all = 8 << 20;
        var writer = new Thread(() -> {
            try {
                opener.getOutputStream().write(new byte[all]);
            } catch (IOException e) {
                // the reader sees too few
            }
        });
        writer.setDaemon(true);
        writer.start();
        silent(answerer);
        writer.join(SILENCE_MILLIS);
        assertTrue("it waits, as buffers are bounded", writer.isAlive());
        relay.fault(0, 1, Fault.NONE);
        assertEquals(all, answerer.getInputStream().readNBytes(all).length);
    }

    @Test
    public void bytesAreLateByTheDelay() throws IOException {
        open();
        relay.fault(1, 0, Fault.late(100));
        long from = System.nanoTime();
        arrives(answerer, opener, 3);
        assertTrue(System.nanoTime() - from >= 99_000_000);
    }

    @Test
    public void linksAreLostAtBothEndsOrAtOne() throws IOException {
        open();
        assertEquals(1, relay.resetOneEnd(0, 1));
        assertThrows(IOException.class, () -> opener.getInputStream().read());
        silent(answerer);
        open();
        assertEquals(2, relay.links());
        assertEquals("the half one is not lost again", 1, relay.resetLinks(1, 0));
        assertThrows(IOException.class, () -> opener.getInputStream().read());
        assertThrows(IOException.class, () -> answerer.getInputStream().read());
    }

    @Test
    public void anEndIsToldUnlessEndsAreQuiet() throws IOException {
        open();
        opener.close();
        assertEquals(-1, answerer.getInputStream().read());
        answerer.close();
        open();
        relay.fault(0, 1, Fault.QUIET_ENDS);
        opener.setSoLinger(true, 0);
        opener.close();
        silent(answerer);
    }

    @Test
    public void newLinksAreRefusedAndOpenOnesStay() throws IOException {
        open();
        relay.refuse(0, 1, true);
        try (var next = new Socket("127.0.0.1", relay.port(0, 1))) {
            next.setSoTimeout(WAIT_MILLIS);
            assertThrows(IOException.class, () -> {
                if (next.getInputStream().read() < 0) {
                    throw new IOException("ended");
                }
            });
        }
        arrives(opener, answerer, 5);
    }
}
