package wallmoor.standin;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/**
 * A poor link for TCP: by its script it cuts a connection after so many bytes, holds bytes back, trickles or goes dead.
 */
public final class LinkProxy implements AutoCloseable {
    /**
     * What becomes of a connection.
     *
     * @param cutUp      it is reset after so many bytes of the device's; -1 never
     * @param cutDown    ... or so many of the answer's
     * @param delay      milliseconds that each piece is held back
     * @param trickle    bytes that go on at once, or 0 for all
     * @param halfOpen   in place of a reset, nothing is said and nothing goes on
     */
    public record Fate(int cutUp, int cutDown, int delay, int trickle, boolean halfOpen) {
        public static final Fate GOOD = new Fate(-1, -1, 0, 0, false);
    }

    /** Decides the fate of the connection of this number, from 0. */
    public interface Script {
        Fate of(int number, Random random);
    }

    private final ServerSocket server;
    private final InetSocketAddress to;
    private final AtomicInteger numbers = new AtomicInteger();
    private final Set<Socket> open = ConcurrentHashMap.newKeySet();
    /** Bytes that went up and down. */
    public final AtomicLong bytes = new AtomicLong();
    /** Connections that were cut. */
    public final AtomicInteger cuts = new AtomicInteger();

    public LinkProxy(int port, long seed, Script script) throws IOException {
        server = new ServerSocket(0, 200, InetAddress.getByName("127.0.0.1"));
        to = new InetSocketAddress("127.0.0.1", port);
        start(() -> {
            while (true) {
                Socket device = server.accept();
                int number = numbers.getAndIncrement();
                start(() -> connection(device,
                        script.of(number, new Random((seed * 31 + number) * 0x9E3779B97F4A7C15L))));
            }
        });
    }

    public int port() {
        return server.getLocalPort();
    }

    private interface Work {
        void run() throws Exception;
    }

    private static void start(Work work) {
        var thread = new Thread(null, () -> {
            try {
                work.run();
            } catch (Exception e) {
                // the link is gone
            }
        }, "link", 128 * 1024);
        thread.setDaemon(true);
        thread.start();
    }

    private void connection(Socket device, Fate fate) throws Exception {
        open.add(device);
        var program = new Socket();
        open.add(program);
        program.connect(to, 2000);
        program.setTcpNoDelay(true);
        device.setTcpNoDelay(true);
        start(() -> pump(program, device, fate, fate.cutDown()));
        pump(device, program, fate, fate.cutUp());
    }

    private void pump(Socket from, Socket into, Fate fate, int cut) throws Exception {
        byte[] buffer = new byte[4096];
        int passed = 0;
        try {
            InputStream in = from.getInputStream();
            OutputStream out = into.getOutputStream();
            while (true) {
                int most = fate.trickle() > 0 ? fate.trickle() : buffer.length;
                if (cut >= 0) {
                    most = Math.min(most, Math.max(1, cut - passed));
                }
                if (cut >= 0 && passed >= cut) {
                    cuts.incrementAndGet();
                    if (fate.halfOpen()) {
                        return; // both ends stay open, and silent
                    }
                    break;
                }
                int n = in.read(buffer, 0, most);
                if (n < 0) {
                    into.shutdownOutput();
                    return;
                }
                if (fate.delay() > 0) {
                    Thread.sleep(fate.delay());
                }
                out.write(buffer, 0, n);
                passed += n;
                bytes.addAndGet(n);
            }
        } catch (IOException e) {
            // reset: so is the other end
        }
        for (Socket s : new Socket[] {from, into}) {
            s.setSoLinger(true, 0);
            s.close();
            open.remove(s);
        }
    }

    @Override
    public void close() throws IOException {
        server.close();
        for (Socket s : open) {
            s.close();
        }
    }
}
