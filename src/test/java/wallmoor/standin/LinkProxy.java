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

/** A TCP proxy that, by a script, resets a connection after some bytes, delays bytes, splits them, or goes silent. */
public final class LinkProxy implements AutoCloseable {
    /**
     * What befalls a connection.
     *
     * @param cutUp      the number of the device's bytes after which it is cut, or -1 for never
     * @param cutDown    the number of the program's bytes after which it is cut, or -1 for never
     * @param delay      the delay of each piece in milliseconds
     * @param trickle    the largest piece in bytes, or 0 for the size of the buffer
     * @param halfOpen   a cut leaves both ends open and relays nothing more in that direction, in place of a reset
     */
    public record Fate(int cutUp, int cutDown, int delay, int trickle, boolean halfOpen) {
        public static final Fate GOOD = new Fate(-1, -1, 0, 0, false);
    }

    /** Decides what befalls each connection. */
    public interface Script {
        /** Returns the fate of a connection by its number, which counts from 0. */
        Fate of(int number, Random random);
    }

    private final ServerSocket server;
    private final InetSocketAddress program;
    private final AtomicInteger nextNumber = new AtomicInteger();
    private final Set<Socket> open = ConcurrentHashMap.newKeySet();
    /** The bytes relayed in both directions. */
    public final AtomicLong bytes = new AtomicLong();
    /** The number of cuts. */
    public final AtomicInteger cuts = new AtomicInteger();

    /** Starts a proxy to this port of loopback. */
    public LinkProxy(int port, long seed, Script script) throws IOException {
        server = new ServerSocket(0, 200, InetAddress.getByName("127.0.0.1"));
        program = new InetSocketAddress("127.0.0.1", port);
        start(() -> {
            while (true) {
                Socket device = server.accept();
                int number = nextNumber.getAndIncrement();
                start(() -> relay(device,
                        script.of(number, new Random((seed * 31 + number) * 0x9E3779B97F4A7C15L))));
            }
        });
    }

    /** Returns the port that devices connect to. */
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
                // the link is closed
            }
        }, "link", 128 * 1024);
        thread.setDaemon(true);
        thread.start();
    }

    private void relay(Socket device, Fate fate) throws Exception {
        open.add(device);
        var upstream = new Socket();
        open.add(upstream);
        upstream.connect(program, 2000);
        upstream.setTcpNoDelay(true);
        device.setTcpNoDelay(true);
        start(() -> pump(upstream, device, fate, fate.cutDown()));
        pump(device, upstream, fate, fate.cutUp());
    }

    private void pump(Socket from, Socket into, Fate fate, int cutBytes) throws Exception {
        byte[] buffer = new byte[4096];
        int relayed = 0;
        try {
            InputStream in = from.getInputStream();
            OutputStream out = into.getOutputStream();
            while (true) {
                int maxBytes = fate.trickle() > 0 ? fate.trickle() : buffer.length;
                if (cutBytes >= 0) {
                    maxBytes = Math.min(maxBytes, Math.max(1, cutBytes - relayed));
                }
                if (cutBytes >= 0 && relayed >= cutBytes) {
                    cuts.incrementAndGet();
                    if (fate.halfOpen()) {
                        return; // both ends stay open and get no more bytes
                    }
                    break;
                }
                int count = in.read(buffer, 0, maxBytes);
                if (count < 0) {
                    into.shutdownOutput();
                    return;
                }
                if (fate.delay() > 0) {
                    Thread.sleep(fate.delay());
                }
                out.write(buffer, 0, count);
                relayed += count;
                bytes.addAndGet(count);
            }
        } catch (IOException e) {
            // one end was reset: the other end is reset below
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
