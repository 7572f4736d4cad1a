import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Map;

/** Discovery: the whole list, and watches with an empty line every 2 s. The list of members may change. */
final class Discovery {
    private final ServerSocket server;
    private final Map<String, String> members = new LinkedHashMap<>();
    private final Map<String, Integer> changedAt = new LinkedHashMap<>();
    private int revision = 1;

    Discovery() throws IOException {
        server = new ServerSocket(0, 50, InetAddress.getByName("127.0.0.1"));
        var thread = new Thread(this::accept);
        thread.setDaemon(true);
        thread.start();
    }

    int port() {
        return server.getLocalPort();
    }

    /** Adds a worker, or changes its phase; watches report it at once. */
    synchronized void put(String id, int port, int cell, String zone, String kind, String phase) {
        members.put(id, "{\"id\":\"" + id + "\",\"host_port\":\"127.0.0.1:" + port + "\",\"locality\":\"" + zone
                + "\",\"flavor\":\"" + kind + "\",\"cell\":" + cell + ",\"phase\":\"" + phase
                + "\",\"size\":1.0,\"up_since_ms\":0}");
        changedAt.put(id, ++revision);
        notifyAll();
    }

    private synchronized String list(int since, boolean complete) {
        var text = new StringBuilder("{\"revision\":" + revision + ",\"complete\":" + complete + ",\"members\":[");
        String separator = "";
        for (Map.Entry<String, String> member : members.entrySet()) {
            if (complete || changedAt.get(member.getKey()) > since) {
                text.append(separator).append(member.getValue());
                separator = ",";
            }
        }
        return text.append("]}").toString();
    }

    private void accept() {
        while (true) {
            try {
                Socket socket = server.accept();
                var thread = new Thread(() -> serve(socket));
                thread.setDaemon(true);
                thread.start();
            } catch (IOException e) {
                return;
            }
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            var in = new BufferedReader(new InputStreamReader(socket.getInputStream(), StandardCharsets.ISO_8859_1));
            OutputStream out = socket.getOutputStream();
            while (true) {
                String request = in.readLine();
                if (request == null) {
                    return;
                }
                for (String line = in.readLine(); line != null && !line.isEmpty(); line = in.readLine()) {
                    // headers
                }
                if (request.contains("stream=1")) {
                    watch(out, Integer.parseInt(request.replaceAll(".*index=([0-9]+).*", "$1")));
                    return;
                }
                byte[] body = list(0, true).getBytes(StandardCharsets.UTF_8);
                out.write(("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: " + body.length
                        + "\r\n\r\n").getBytes(StandardCharsets.ISO_8859_1));
                out.write(body);
                out.flush();
            }
        } catch (IOException | InterruptedException e) {
            // the gatherer has closed the connection
        }
    }

    private void watch(OutputStream out, int index) throws IOException, InterruptedException {
        out.write("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n"
                .getBytes(StandardCharsets.ISO_8859_1));
        int told = index;
        boolean first = true;
        while (true) {
            String line = "";
            synchronized (this) {
                if (!first && revision == told) {
                    wait(2_000);
                }
                if (first || revision != told) {
                    line = list(told, first);
                    told = revision;
                }
            }
            first = false;
            byte[] bytes = (line + "\n").getBytes(StandardCharsets.UTF_8);
            out.write((Integer.toHexString(bytes.length) + "\r\n").getBytes(StandardCharsets.ISO_8859_1));
            out.write(bytes);
            out.write("\r\n".getBytes(StandardCharsets.ISO_8859_1));
            out.flush();
        }
    }
}
