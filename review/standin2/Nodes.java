import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

/** Sound calendar nodes, and the discovery that lists them: PROTOCOL's frames and watch. */
final class Nodes {
    private static final String[] ZONES = {"khi-clifton", "khi-korangi"};

    final int discoveryPort;
    private final List<Integer> ports = new ArrayList<>();
    private final int cells;
    private final int workMillis;
    private final ScheduledExecutorService work = Executors.newScheduledThreadPool(4, r -> daemon(r));
    /** Parts that ran, by id: how often. */
    final ConcurrentHashMap<String, Integer> runs = new ConcurrentHashMap<>();

    /** Starts so many nodes, two or more for each cell, whose parts take {@code workMillis}. */
    Nodes(int count, int cells, int workMillis) throws IOException {
        this.cells = cells;
        this.workMillis = workMillis;
        for (int i = 0; i < count; i++) {
            ports.add(listen(this::node));
        }
        discoveryPort = listen(this::discovery);
    }

    private interface Peer {
        void serve(Socket socket) throws Exception;
    }

    private static Thread daemon(Runnable r) {
        var t = new Thread(r);
        t.setDaemon(true);
        return t;
    }

    private static int listen(Peer peer) throws IOException {
        var server = new ServerSocket(0, 200, InetAddress.getByName("127.0.0.1"));
        daemon(() -> {
            while (true) {
                try {
                    Socket socket = server.accept();
                    socket.setTcpNoDelay(true);
                    daemon(() -> {
                        try (socket) {
                            peer.serve(socket);
                        } catch (Exception e) {
                            // the gatherer has closed the connection
                        }
                    }).start();
                } catch (IOException e) {
                    return;
                }
            }
        }).start();
        return server.getLocalPort();
    }

    private void discovery(Socket socket) throws Exception {
        var members = new ArrayList<String>();
        for (int i = 0; i < ports.size(); i++) {
            members.add("{\"id\":\"w" + i + "\",\"host_port\":\"127.0.0.1:" + ports.get(i) + "\",\"locality\":\""
                    + ZONES[i / cells % 2] + "\",\"flavor\":\"std-2c\",\"cell\":" + i % cells
                    + ",\"phase\":\"SERVING\",\"size\":1.0,\"up_since_ms\":0}");
        }
        String list = "{\"revision\":1,\"complete\":true,\"members\":[" + String.join(",", members) + "]}\n";
        String request = head(socket);
        if (!request.contains("stream=1")) {
            write(socket, "HTTP/1.1 200 OK\r\nContent-Length: " + list.length() + "\r\n\r\n" + list);
            return;
        }
        write(socket, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
        write(socket, Integer.toHexString(list.length()) + "\r\n" + list + "\r\n");
        while (true) {
            Thread.sleep(2000);
            write(socket, "1\r\n\n\r\n");
        }
    }

    private void node(Socket socket) throws Exception {
        var in = new DataInputStream(socket.getInputStream());
        var out = new DataOutputStream(socket.getOutputStream());
        while (true) {
            byte[] frame = in.readNBytes(in.readInt());
            if (frame.length == 0) {
                return;
            }
            String text = new String(frame, StandardCharsets.ISO_8859_1);
            if (text.charAt(0) == 'P') {
                send(out, "Pok");
            } else if (text.charAt(0) == 'L') {
                send(out, "L-");
            } else if (text.charAt(0) == 'Q') {
                for (int at = 1; at < text.length();) {
                    int end = text.indexOf('\n', at);
                    String[] line = text.substring(at, end).split(" ");
                    at = end + 1 + Integer.parseInt(line[3]);
                    work.schedule(() -> {
                        runs.merge(line[0], 1, Integer::sum);
                        send(out, "A" + line[0] + " ok 1 latency_ms=" + workMillis + "\nvalue-of-" + line[0]);
                    }, workMillis, TimeUnit.MILLISECONDS);
                }
            }
        }
    }

    private static void send(DataOutputStream out, String frame) {
        try {
            synchronized (out) {
                byte[] bytes = frame.getBytes(StandardCharsets.ISO_8859_1);
                byte[] all = new byte[4 + bytes.length];
                java.nio.ByteBuffer.wrap(all).putInt(bytes.length).put(bytes);
                out.write(all);
            }
        } catch (IOException e) {
            // the gatherer has closed the connection
        }
    }

    static void write(Socket socket, String text) throws IOException {
        socket.getOutputStream().write(text.getBytes(StandardCharsets.UTF_8));
    }

    /** Reads the head of a request. */
    static String head(Socket socket) throws IOException {
        var head = new StringBuilder();
        while (head.indexOf("\r\n\r\n") < 0) {
            int c = socket.getInputStream().read();
            if (c < 0) {
                throw new IOException("closed");
            }
            head.append((char) c);
        }
        return head.toString();
    }

    /** The configuration of a gatherer at these ports. {@code classes} and {@code limits} are JSON. */
    static String config(String name, int listen, int discovery, int admin, String classes, String domain,
            int memoryMb) {
        return "{\"name\":\"" + name + "\",\"listen\":\"127.0.0.1:" + listen + "\",\"discovery\":\"127.0.0.1:"
                + discovery + "\"," + (admin > 0 ? "\"admin_addr\":\"127.0.0.1:" + admin + "\"," : "")
                + "\"seed\":\"8c1f30d27a5be964\",\"limits\":{\"cores\":1.0,\"memory_mb\":" + memoryMb
                + ",\"sockets\":1024},\"known\":{\"revision\":0,\"complete\":true,\"members\":[]},\"settings\":{"
                + "\"Instances\":1,\"Position\":0,\"Az\":0,\"Dcs\":[\"khi-clifton\",\"khi-korangi\"],"
                + "\"Kinds\":[\"std-2c\"],\"Round\":5000,\"Discovery\":\"subscribe\",\"WorthBy\":\"request\","
                + "\"Classes\":" + classes + ",\"Domain\":" + domain
                + ",\"Limits\":{\"MaxAttempts\":4,\"MaxOpen\":600,\"Cancelling\":true,\"ParallelTries\":false,"
                + "\"ConnectTimeout\":250000,\"StreamsPerConn\":100,\"ConnIdle\":15000000,\"MaxRetryAfter\":2000000},"
                + "\"Contract\":{\"DrainGrace\":2000000,\"ColdShare\":0.16,\"Cold\":18000000,\"FallMultiple\":2.0,"
                + "\"OverloadFor\":2000000,\"GraceToAnswer\":20000,\"AskWithin\":10000000},"
                + "\"Costs\":{\"CrossZone\":0.026,\"Waste\":0.077,\"LateFail\":0.03,\"Probe\":0.01}}}";
    }

    /** The classes of the site, quick-quote with this effect. */
    static String classes(String quickQuoteRepeat) {
        return "[{\"Name\":\"quick-quote\",\"Aim\":1500000,\"GiveUp\":4000000,\"LateWorth\":0.1,\"Repeat\":\""
                + quickQuoteRepeat + "\",\"Worth\":2.0},"
                + "{\"Name\":\"full-search\",\"Aim\":1200000,\"GiveUp\":4000000,\"LateWorth\":0.1,"
                + "\"Repeat\":\"free\",\"Worth\":1.0},"
                + "{\"Name\":\"hold-car\",\"Aim\":1500000,\"GiveUp\":4000000,\"LateWorth\":0.3,"
                + "\"Repeat\":\"single_shot\",\"Worth\":2.0}]";
    }

    static final String DOMAIN = "{\"Slabs\":9,\"Sets\":3,\"Reach\":1,\"BundleMax\":1,\"NeedByClass\":[0.6,1.0,1.0],"
            + "\"FloorByClass\":[0.6,1.0,1.0],\"PartialEarns\":[0.9,0.9,0.9],\"FollowUp\":[0,0,0]}";
}
