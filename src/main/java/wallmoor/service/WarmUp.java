package wallmoor.service;

import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.Socket;
import java.net.SocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.slf4j.helpers.NOPLogger;
import wallmoor.config.LaunchConfig;
import wallmoor.core.MonotonicClock;
import wallmoor.core.WorkerEndpoint;
import wallmoor.endpoints.SourceEndpoint;
import wallmoor.endpoints.WatchEvent;
import wallmoor.http.ConnectionAcceptor;
import wallmoor.http.HttpProtocolException;
import wallmoor.http.HttpReader;
import wallmoor.http.Threads;
import wallmoor.metrics.GathererMetrics;
import wallmoor.platform.PlatformFront;

/**
 * Sends made-up queries through a front of its own, from the client's bytes to a worker's frames and back, before the
 * real one listens: the first real queries would else wait for classes to be loaded and compiled, which on part of a
 * core takes seconds. All of it stays in memory: no address is listened on, and no real client or worker takes part.
 */
public final class WarmUp {
    /** For the archive: enough that all classes are loaded that serving needs, at no cost to a start. */
    public static final int ARCHIVE_QUERIES = 50;
    /**
     * Before serving: each class of query three times. That loads, links and begins to compile the way of a query. With
     * one round the first five seconds of a cold pair on half a core served 60 % in time, with three all
     * (docs/start.md); more would only be waited for by clients where all gatherers start at once.
     */
    private static final int ROUNDS = 3;
    /** Beyond this the time is better spent on real queries. */
    private static final long MOST_MILLIS = 1_000;
    private static final int ANSWER_MILLIS = 1_000;
    /** Of a node's parts one in so many fails, so that the archive has the ways back too; a start comes to none. */
    private static final int FAILED = 15;

    private WarmUp() {}

    /** Returns when the way of a query is loaded, or after a while: what a start does before it serves. */
    public static int run(LaunchConfig launch) {
        return run(launch, ROUNDS * launch.classes().size());
    }

    /** Sends so many queries, or as many as there is time for; returns how many were answered. */
    public static int run(LaunchConfig launch, int queries) {
        long until = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(MOST_MILLIS);
        int cells = launch.settings().layout().cells();
        var members = new ArrayList<WorkerEndpoint>();
        for (int i = 0; i < 2 * cells; i++) {
            members.add(new WorkerEndpoint("r" + i, "127.0.0.1:1", i % 2, 0, i % cells,
                    WorkerEndpoint.EndpointState.SERVING, 1, 0));
        }
        CalendarNodes nodes = null;
        int answered = 0;
        try (var client = new InMemory(); var served = new InMemory()) {
            client.joined(served);
            var clock = new MonotonicClock();
            nodes = CalendarNodes.without(launch, clock, Worker::new, members);
            new PlatformFront(launch, () -> launch, clock, nodes.gatherer(), nodes.workers(), NOPLogger.NOP_LOGGER,
                    ConnectionAcceptor.at(null)).serve(served);
            var in = new HttpReader(client);
            for (; answered < queries && System.nanoTime() < until; answered++) {
                client.getOutputStream().write(query(launch, answered));
                if (!in.await(ANSWER_MILLIS)) {
                    break;
                }
                in.answer(ANSWER_MILLIS, true);
            }
        } catch (IOException | HttpProtocolException | RuntimeException | OutOfMemoryError e) {
            // a cold start is slower, no worse: the real front says what is wrong, if anything is
        } finally {
            if (nodes != null) {
                nodes.close();
            }
        }
        return answered;
    }

    /**
     * For the archive alone: uses once what a start needs beyond the way of a query, above all what news of nodes
     * needs.
     */
    public static void load(LaunchConfig launch, wallmoor.config.OperatorConfig operator) {
        CalendarNodes nodes = null;
        try {
            nodes = CalendarNodes.of(launch, new MonotonicClock(), operator, new GathererMetrics());
            var entries = List.of(
                    new SourceEndpoint("a", "127.0.0.1:1", 0, 0, 0, WorkerEndpoint.EndpointState.SERVING, 1, 0, 0),
                    new SourceEndpoint("b", "127.0.0.1:2", 0, 0, 0, WorkerEndpoint.EndpointState.DRAINING, 1, 0, 0));
            nodes.membership().apply(new WatchEvent.EndpointSnapshot("list", "1", entries, true));
            nodes.membership().apply(new WatchEvent.EndpointSnapshot("list", "2", entries.subList(0, 1), true));
            nodes.membership().apply(new WatchEvent.EndpointDelta("list", "3", entries));
            nodes.membership().apply(new WatchEvent.EndpointsUnchanged("list"));
            nodes.membership().apply(new WatchEvent.SourceFailure("list", "rehearsed"));
        } catch (wallmoor.json.Json.Malformed | RuntimeException e) {
            // the archive holds a little less
        } finally {
            if (nodes != null) {
                nodes.close();
            }
        }
    }

    /** A made-up query, one of each class in turn, for one to nine shards. */
    static byte[] query(LaunchConfig launch, int i) {
        int shards = launch.settings().layout().shards();
        int parts = Math.min(shards, 1 + i % 9);
        var body = new StringBuilder("{\"shards\":[");
        for (int p = 0; p < parts; p++) {
            body.append(p == 0 ? "" : ",").append("{\"shard\":").append((i + p) % shards).append(",\"weight\":")
                    .append(1.0 / parts).append('}');
        }
        body.append("],\"q\":\"c41e77d0\"}");
        return ("POST /api HTTP/1.1\r\nHost: service.internal\r\nX-Request-Id: r" + i + "\r\nX-Class: "
                + launch.classes().get(i % launch.classes().size()) + "\r\nX-Deadline: " + 2 * ANSWER_MILLIS
                + "m\r\nContent-Length: " + body.length() + "\r\n\r\n" + body).getBytes(StandardCharsets.ISO_8859_1);
    }

    /** What a worker says to its so-manieth frame: nothing, unless that is a part. */
    static byte[] answer(byte[] frame, int calls) {
        if (frame[0] != 'Q') {
            return new byte[0];
        }
        String id = new String(frame, 1, frame.length - 1, StandardCharsets.ISO_8859_1).split(" ")[0];
        return ("A" + id + (calls % FAILED == 0 ? " err" : " ok") + " 1 -\n5be2a07c19f04d63")
                .getBytes(StandardCharsets.ISO_8859_1);
    }

    /** A connection that a worker answers at once; now and then a part fails, so that the ways back are warm too. */
    private static final class Worker extends InMemory {
        private final InMemory far = new InMemory();
        private int calls;

        @Override
        public void connect(SocketAddress at, int millis) {
            joined(far);
            Threads.start("rehearsal-worker", this::answer);
        }

        private void answer() {
            try (far) {
                var in = new DataInputStream(far.getInputStream());
                while (true) {
                    byte[] answer = WarmUp.answer(in.readNBytes(in.readInt()), ++calls);
                    if (answer.length > 0) {
                        var bytes = new ByteArrayOutputStream();
                        new DataOutputStream(bytes).writeInt(answer.length);
                        bytes.write(answer);
                        far.getOutputStream().write(bytes.toByteArray());
                    }
                }
            } catch (IOException e) {
                // the rehearsal is over
            }
        }
    }

    /** One end of a connection in memory. */
    private static class InMemory extends Socket {
        private Pipe in = new Pipe();
        private Pipe out = new Pipe();

        final void joined(InMemory other) {
            other.in = out;
            other.out = in;
        }

        @Override
        public InputStream getInputStream() {
            return in;
        }

        @Override
        public OutputStream getOutputStream() {
            return out.end;
        }

        @Override
        public void setTcpNoDelay(boolean on) {
            // there is no wire
        }

        @Override
        public synchronized void setSoTimeout(int millis) {
            in.timeout = millis;
        }

        @Override
        public void shutdownOutput() {
            out.close();
        }

        @Override
        public synchronized void close() throws IOException {
            in.close();
            out.close();
            super.close();
        }
    }

    /** Bytes on their way, as many as were written: a rehearsal has few. */
    private static final class Pipe extends InputStream {
        private final List<byte[]> waiting = new ArrayList<>();
        private int at;
        private boolean closed;
        private volatile int timeout;
        private final OutputStream end = new OutputStream() {
            @Override
            public void write(int b) throws IOException {
                write(new byte[] {(byte) b}, 0, 1);
            }

            @Override
            public void write(byte[] b, int from, int length) throws IOException {
                put(java.util.Arrays.copyOfRange(b, from, from + length));
            }
        };

        private synchronized void put(byte[] bytes) throws IOException {
            if (closed) {
                throw new IOException("closed");
            }
            waiting.add(bytes);
            notifyAll();
        }

        @Override
        public int read() throws IOException {
            byte[] one = new byte[1];
            return read(one, 0, 1) < 0 ? -1 : one[0] & 0xff;
        }

        @Override
        public synchronized int read(byte[] to, int from, int length) throws IOException {
            try {
                while (waiting.isEmpty() && length > 0) {
                    if (closed) {
                        return -1;
                    }
                    wait(timeout); // whoever waits in vain finds that out by itself: the other end always closes
                }
            } catch (InterruptedException e) {
                throw new IOException(e);
            }
            if (length == 0) {
                return 0;
            }
            byte[] first = waiting.get(0);
            int n = Math.min(length, first.length - at);
            System.arraycopy(first, at, to, from, n);
            at += n;
            if (at == first.length) {
                waiting.remove(0);
                at = 0;
            }
            return n;
        }

        @Override
        public synchronized void close() {
            closed = true;
            notifyAll();
        }
    }
}
