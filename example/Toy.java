import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Toy servers for trying the program out, all on loopback: discovery on 8500, four workers on 9001 to 9004, four
 * feature servers on 9101 to 9104. Start it with {@code java example/Toy.java}; it prints what it receives.
 */
public final class Toy {
    private static final String[] ZONES = {"khi-clifton", "khi-korangi"};
    private static final int FEATURES = 5;

    /** Serves one connection. */
    private interface Peer {
        void serve(Socket socket) throws Exception;
    }

    /** Starts all servers and runs until it is interrupted. */
    public static void main(String[] args) throws Exception {
        listen(8500, Toy::discovery);
        for (int i = 0; i < 4; i++) {
            int number = i;
            listen(9001 + i, s -> worker(s, "worker " + (number + 1)));
            listen(9101 + i, s -> features(s, "fs" + (number + 1), number % 2));
        }
        System.out.println("toy peers are up; end them with Ctrl-C");
        Thread.currentThread().join();
    }

    private static void listen(int port, Peer peer) throws IOException {
        var server = new ServerSocket(port, 50, InetAddress.getByName("127.0.0.1"));
        new Thread(() -> {
            while (true) {
                try {
                    Socket socket = server.accept();
                    new Thread(() -> {
                        try (socket) {
                            peer.serve(socket);
                        } catch (Exception e) {
                            // the client has closed the connection
                        }
                    }).start();
                } catch (IOException e) {
                    return;
                }
            }
        }).start();
    }

    /** Answers a watch: the complete list, then an empty line every 2 s. */
    private static void discovery(Socket socket) throws Exception {
        System.out.println("discovery: " + head(socket));
        var members = new ArrayList<String>();
        for (int i = 0; i < 4; i++) {
            members.add("{\"id\":\"w" + (i + 1) + "\",\"host_port\":\"127.0.0.1:" + (9001 + i) + "\",\"locality\":\""
                    + ZONES[i / 2] + "\",\"flavor\":\"std-2c\",\"cell\":" + i % 2
                    + ",\"phase\":\"SERVING\",\"size\":1.0,\"up_since_ms\":0}");
        }
        write(socket, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
        chunk(socket, "{\"revision\":1,\"complete\":true,\"members\":[" + String.join(",", members) + "]}\n");
        while (true) {
            Thread.sleep(2000);
            chunk(socket, "\n");
        }
    }

    /** Answers as a worker: every part takes 50 ms and succeeds. */
    private static void worker(Socket socket, String name) throws Exception {
        var in = new DataInputStream(socket.getInputStream());
        var out = new DataOutputStream(socket.getOutputStream());
        while (true) {
            byte[] frame = in.readNBytes(in.readInt());
            String text = new String(frame, StandardCharsets.UTF_8);
            System.out.println(name + ": " + text.replace('\n', ' '));
            if (text.startsWith("Q")) {
                Thread.sleep(50);
                byte[] answer = ("A" + text.substring(1).split(" ")[0] + " ok 1 latency_ms=50\n" + name)
                        .getBytes(StandardCharsets.UTF_8);
                out.writeInt(answer.length);
                out.write(answer);
            }
        }
    }

    /**
     * Answers as a feature server: each shard of its cell is a collection of its own with a few features, paged by
     * limit and offset.
     */
    private static void features(Socket socket, String name, int cell) throws Exception {
        while (true) {
            String target = head(socket).split(" ")[1];
            System.out.println(name + ": " + target);
            String collection = target.split("[/?]")[2];
            if (!collection.matches("[a-z-]+-[0-9]+") || Integer.parseInt(collection.replaceAll(".*-", "")) % 2 != cell) {
                answer(socket, "404 Not Found", "{}");
                continue;
            }
            Matcher itemMatcher = Pattern.compile("/items/([^?]+)").matcher(target);
            if (itemMatcher.find()) {
                String id = itemMatcher.group(1);
                boolean exists = id.matches(collection + "-[0-4]");
                answer(socket, exists ? "200 OK" : "404 Not Found", exists ? feature(id, cell) : "{}");
                continue;
            }
            int limit = number(target, "limit", 10);
            int offset = number(target, "offset", 0);
            var page = new ArrayList<String>();
            for (int i = offset; i < Math.min(FEATURES, offset + limit); i++) {
                page.add(feature(collection + "-" + i, cell));
            }
            String next = offset + limit >= FEATURES ? "" : "{\"rel\":\"next\",\"href\":\""
                    + target.replaceAll("offset=\\d+", "offset=" + (offset + limit)) + "\"}";
            answer(socket, "200 OK", "{\"type\":\"FeatureCollection\",\"links\":[" + next + "],\"features\":["
                    + String.join(",", page) + "]}");
        }
    }

    private static String feature(String id, int cell) {
        return "{\"type\":\"Feature\",\"id\":\"" + id + "\",\"geometry\":{\"type\":\"Point\",\"coordinates\":[67.0"
                + cell + ",24.8]},\"properties\":{\"free\":" + (cell + 2) + "}}";
    }

    private static int number(String target, String name, int defaultValue) {
        Matcher matcher = Pattern.compile("[?&]" + name + "=(\\d+)").matcher(target);
        return matcher.find() ? Integer.parseInt(matcher.group(1)) : defaultValue;
    }

    private static void answer(Socket socket, String status, String body) throws IOException {
        write(socket, "HTTP/1.1 " + status + "\r\nContent-Type: application/geo+json\r\nContent-Length: "
                + body.length() + "\r\n\r\n" + body);
    }

    private static void chunk(Socket socket, String line) throws IOException {
        write(socket, Integer.toHexString(line.length()) + "\r\n" + line + "\r\n");
    }

    private static void write(Socket socket, String text) throws IOException {
        socket.getOutputStream().write(text.getBytes(StandardCharsets.UTF_8));
    }

    /** Reads the head of a request and returns its first line. */
    private static String head(Socket socket) throws IOException {
        var head = new StringBuilder();
        while (head.indexOf("\r\n\r\n") < 0) {
            int character = socket.getInputStream().read();
            if (character < 0) {
                throw new IOException("closed");
            }
            head.append((char) character);
        }
        return head.substring(0, head.indexOf("\r\n"));
    }
}
