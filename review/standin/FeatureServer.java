import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * A feature server: cars with a rate for each of the next days. It supports limit and offset with a stable order, gives
 * at most 50 features a page, a link to the next one, and answers within 100 ms.
 */
final class FeatureServer {
    private static final int FEATURES = 500;
    private static final int MAX_PAGE = 50;
    private static final int DAYS = 113;
    private static final Pattern LIMIT = Pattern.compile("[?&]limit=([0-9]+)");
    private static final Pattern OFFSET = Pattern.compile("[?&]offset=([0-9]+)");

    /** How many pages all servers were asked for. */
    static final AtomicInteger PAGES = new AtomicInteger();

    private final ServerSocket server;

    FeatureServer() throws IOException {
        server = new ServerSocket(0, 200, InetAddress.getByName("127.0.0.1"));
        daemon(this::accept);
    }

    int port() {
        return server.getLocalPort();
    }

    private static void daemon(Runnable body) {
        var thread = new Thread(body);
        thread.setDaemon(true);
        thread.start();
    }

    private void accept() {
        while (true) {
            try {
                Socket socket = server.accept();
                daemon(() -> serve(socket));
            } catch (IOException e) {
                return;
            }
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            socket.setTcpNoDelay(true);
            var in = new BufferedReader(new InputStreamReader(socket.getInputStream(), StandardCharsets.ISO_8859_1));
            OutputStream out = socket.getOutputStream();
            for (String request = in.readLine(); request != null; request = in.readLine()) {
                for (String line = in.readLine(); line != null && !line.isEmpty(); line = in.readLine()) {
                    // headers
                }
                PAGES.incrementAndGet();
                Thread.sleep(100);
                byte[] body = page(request.split(" ")[1]).getBytes(StandardCharsets.UTF_8);
                out.write(("HTTP/1.1 200 OK\r\nContent-Type: application/geo+json\r\nContent-Length: " + body.length
                        + "\r\n\r\n").getBytes(StandardCharsets.ISO_8859_1));
                out.write(body);
                out.flush();
            }
        } catch (IOException | InterruptedException e) {
            // the gatherer has closed the connection
        }
    }

    /** Returns the page that a target asks for. */
    static String page(String target) {
        int limit = Math.min(MAX_PAGE, number(LIMIT, target, 10));
        int offset = number(OFFSET, target, 0);
        var json = new StringBuilder("{\"type\":\"FeatureCollection\",\"links\":[");
        int end = Math.min(FEATURES, offset + limit);
        if (end < FEATURES) {
            json.append("{\"rel\":\"next\",\"href\":\"").append(target.split("\\?")[0]).append("?limit=").append(limit)
                    .append("&offset=").append(end).append("\"}");
        }
        json.append("],\"features\":[");
        for (int i = offset; i < end; i++) {
            json.append(i == offset ? "" : ",").append("{\"type\":\"Feature\",\"id\":").append(i)
                    .append(",\"geometry\":{\"type\":\"Point\",\"coordinates\":[67.01,24.86]},\"properties\":{");
            for (int day = 0; day < DAYS; day++) {
                json.append(day == 0 ? "" : ",").append("\"d").append(day).append("\":")
                        .append(100 + (i * 31 + day * 7919) % 900);
            }
            json.append("}}");
        }
        return json.append("]}").toString();
    }

    private static int number(Pattern parameter, String target, int absent) {
        Matcher matcher = parameter.matcher(target);
        return matcher.find() ? Integer.parseInt(matcher.group(1)) : absent;
    }
}
