import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** A worker (calendar node, ledger host) that reads frames and leaves the parts to the case. */
final class Worker {
    /** One part that has arrived. */
    final class Part {
        final String id;
        final int shard;
        final String list;
        final String text;
        private final Connection connection;

        Part(String id, int shard, String list, String text, Connection connection) {
            this.id = id;
            this.shard = shard;
            this.list = list;
            this.text = text;
            this.connection = connection;
        }

        Worker worker() {
            return Worker.this;
        }

        /** Returns whether the gatherer has given the part up, or its connection has ended. */
        boolean isGivenUp() {
            return connection.ended || connection.cancelled.contains(id);
        }

        /** Answers the part. */
        void answer(String end, String value) throws IOException {
            byte[] bytes = ("A" + id + " " + end + " 1 -\n" + value).getBytes(StandardCharsets.UTF_8);
            synchronized (connection.out) {
                connection.out.writeInt(bytes.length);
                connection.out.write(bytes);
                connection.out.flush();
            }
        }
    }

    /** What the case does with a part; runs on a thread of its own. */
    interface Handler {
        void handle(Part part) throws Exception;
    }

    private static final class Connection {
        final DataOutputStream out;
        final Set<String> cancelled = ConcurrentHashMap.newKeySet();
        volatile boolean ended;

        Connection(DataOutputStream out) {
            this.out = out;
        }
    }

    final String name;
    private final ServerSocket server;
    private final Handler handler;

    Worker(String name, Handler handler) throws IOException {
        this.name = name;
        this.handler = handler;
        server = new ServerSocket(0, 100, InetAddress.getByName("127.0.0.1"));
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
        Connection connection = null;
        try (socket) {
            socket.setTcpNoDelay(true);
            var in = new DataInputStream(socket.getInputStream());
            connection = new Connection(new DataOutputStream(socket.getOutputStream()));
            while (true) {
                byte[] frame = new byte[in.readInt()];
                in.readFully(frame);
                if (frame[0] == 'X') {
                    connection.cancelled.add(new String(frame, 1, frame.length - 1, StandardCharsets.ISO_8859_1));
                } else if (frame[0] == 'Q') {
                    readCall(frame, connection);
                }
            }
        } catch (IOException e) {
            // the gatherer has closed the connection
        } finally {
            if (connection != null) {
                connection.ended = true;
            }
        }
    }

    private void readCall(byte[] frame, Connection connection) {
        int at = 1;
        while (at < frame.length) {
            int end = at;
            while (frame[end] != '\n') {
                end++;
            }
            String[] head = new String(frame, at, end - at, StandardCharsets.ISO_8859_1).split(" ");
            int length = Integer.parseInt(head[3]);
            var part = new Part(head[0], Integer.parseInt(head[1]), head[2],
                    new String(frame, end + 1, length, StandardCharsets.UTF_8), connection);
            at = end + 1 + length;
            daemon(() -> {
                try {
                    handler.handle(part);
                } catch (Exception e) {
                    // the connection has ended
                }
            });
        }
    }
}
