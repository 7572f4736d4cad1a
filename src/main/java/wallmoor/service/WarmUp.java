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
import wallmoor.metrics.GathererMetrics;
import wallmoor.platform.PlatformFront;
import wallmoor.threads.Threads;

/**
 * Sends synthetic queries through a separate front, from the client's bytes to a worker's frames and back, before the
 * real front listens. Otherwise the first real queries would wait until classes are loaded and compiled, which takes
 * seconds on a fraction of a core. Everything stays in memory: there is no listening address and no real client or
 * worker.
 */
public final class WarmUp {
    /** The queries that train the archive: enough to load all classes that serving needs; a start doesn't run them. */
    public static final int ARCHIVE_QUERIES = 50;
    /**
     * The queries of each class that a start runs. They load, link and begin to compile the code path of a query. With
     * one round a cold pair of gatherers on half a core answered 60 % in time in its first five seconds, with three all
     * (docs/start.md). More rounds would only delay clients when all gatherers start at once.
     */
    private static final int ROUNDS = 3;
    /** The maximum duration; beyond it real queries warm up the code better. */
    private static final long MAX_MILLIS = 1_000;
    private static final int ANSWER_TIMEOUT_MILLIS = 1_000;
    /** Each 15th frame of a connection fails, for the error paths in the archive; a start sends too few for that. */
    private static final int FAILURE_INTERVAL = 15;

    private WarmUp() {}

    /** Runs the warm-up of a start, before it serves; returns the number of answered queries. */
    public static int run(LaunchConfig launch) {
        return run(launch, ROUNDS * launch.classes().size());
    }

    /** Sends the given number of queries, or as many as time permits; returns the number of answered queries. */
    public static int run(LaunchConfig launch, int queries) {
        long deadlineNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(MAX_MILLIS);
        int cells = launch.settings().layout().cells();
        var members = new ArrayList<WorkerEndpoint>();
        for (int i = 0; i < 2 * cells; i++) {
            members.add(new WorkerEndpoint("r" + i, "127.0.0.1:1", i % 2, 0, i % cells,
                    WorkerEndpoint.EndpointState.SERVING, 1, 0));
        }
        CalendarNodes nodes = null;
        int answered = 0;
        try (var client = new InMemory(); var server = new InMemory()) {
            client.connectTo(server);
            var clock = new MonotonicClock();
            nodes = CalendarNodes.withoutSources(launch, clock, Worker::new, members);
            new PlatformFront(launch, () -> launch, clock, nodes.gatherer(), nodes.workers(), NOPLogger.NOP_LOGGER,
                    ConnectionAcceptor.at(null)).serve(server);
            var in = new HttpReader(client);
            for (; answered < queries && System.nanoTime() < deadlineNanos; answered++) {
                client.getOutputStream().write(query(launch, answered));
                if (!in.await(ANSWER_TIMEOUT_MILLIS)) {
                    break;
                }
                in.answer(ANSWER_TIMEOUT_MILLIS, true);
            }
        } catch (IOException | HttpProtocolException | RuntimeException | OutOfMemoryError e) {
            // Only the start is slower. A real fault shows, and is logged, when the real front serves.
        } finally {
            if (nodes != null) {
                nodes.close();
            }
        }
        return answered;
    }

    /**
     * Runs once, for the archive only, what a start needs besides queries, mainly the processing of endpoint updates.
     */
    public static void load(LaunchConfig launch, wallmoor.config.OperatorConfig operator) {
        CalendarNodes nodes = null;
        try {
            nodes = CalendarNodes.of(launch, new MonotonicClock(), operator, new GathererMetrics());
            var entries = List.of(
                    new SourceEndpoint("a", "127.0.0.1:1", 0, 0, 0, WorkerEndpoint.EndpointState.SERVING, 1, 0, 0),
                    new SourceEndpoint("b", "127.0.0.1:2", 0, 0, 0, WorkerEndpoint.EndpointState.DRAINING, 1, 0, 0));
            nodes.endpointUpdater().apply(new WatchEvent.EndpointSnapshot("list", "1", entries, true));
            nodes.endpointUpdater().apply(new WatchEvent.EndpointSnapshot("list", "2", entries.subList(0, 1), true));
            nodes.endpointUpdater().apply(new WatchEvent.EndpointDelta("list", "3", entries));
            nodes.endpointUpdater().apply(new WatchEvent.EndpointsUnchanged("list"));
            nodes.endpointUpdater().apply(new WatchEvent.SourceFailure("list", "rehearsed"));
        } catch (wallmoor.json.Json.Malformed | RuntimeException e) {
            // the archive lacks some classes, which slows a start slightly
        } finally {
            if (nodes != null) {
                nodes.close();
            }
        }
    }

    /** Returns a synthetic query for one to nine shards; consecutive indexes cycle through the classes. */
    static byte[] query(LaunchConfig launch, int index) {
        int shards = launch.settings().layout().shards();
        int parts = Math.min(shards, 1 + index % 9);
        var body = new StringBuilder("{\"shards\":[");
        for (int p = 0; p < parts; p++) {
            body.append(p == 0 ? "" : ",").append("{\"shard\":").append((index + p) % shards).append(",\"weight\":")
                    .append(1.0 / parts).append('}');
        }
        body.append("],\"q\":\"c41e77d0\"}");
        return ("POST /api HTTP/1.1\r\nHost: service.internal\r\nX-Request-Id: r" + index + "\r\nX-Class: "
                + launch.classes().get(index % launch.classes().size()) + "\r\nX-Deadline: " + 2 * ANSWER_TIMEOUT_MILLIS
                + "m\r\nContent-Length: " + body.length() + "\r\n\r\n" + body).getBytes(StandardCharsets.ISO_8859_1);
    }

    /**
     * Returns a worker's answer to a frame, empty unless the frame is a part.
     *
     * @param frameNumber counts the frames of the connection from 1
     */
    static byte[] answer(byte[] frame, int frameNumber) {
        if (frame[0] != 'Q') {
            return new byte[0];
        }
        String id = new String(frame, 1, frame.length - 1, StandardCharsets.ISO_8859_1).split(" ")[0];
        return ("A" + id + (frameNumber % FAILURE_INTERVAL == 0 ? " err" : " ok") + " 1 -\n5be2a07c19f04d63")
                .getBytes(StandardCharsets.ISO_8859_1);
    }

    /** A connection to a worker that answers at once; some parts fail, so that the error paths run too. */
    private static final class Worker extends InMemory {
        private final InMemory remoteEnd = new InMemory();
        private int frameCount;

        @Override
        public void connect(SocketAddress address, int millis) {
            connectTo(remoteEnd);
            Threads.start("rehearsal-worker", this::answer);
        }

        private void answer() {
            try (remoteEnd) {
                var in = new DataInputStream(remoteEnd.getInputStream());
                while (true) {
                    byte[] answer = WarmUp.answer(in.readNBytes(in.readInt()), ++frameCount);
                    if (answer.length > 0) {
                        var bytes = new ByteArrayOutputStream();
                        new DataOutputStream(bytes).writeInt(answer.length);
                        bytes.write(answer);
                        remoteEnd.getOutputStream().write(bytes.toByteArray());
                    }
                }
            } catch (IOException e) {
                // the warm-up has ended
            }
        }
    }

    /** One end of a connection in memory. */
    private static class InMemory extends Socket {
        private Pipe in = new Pipe();
        private Pipe out = new Pipe();

        final void connectTo(InMemory other) {
            other.in = out;
            other.out = in;
        }

        @Override
        public InputStream getInputStream() {
            return in;
        }

        @Override
        public OutputStream getOutputStream() {
            return out.output;
        }

        @Override
        public void setTcpNoDelay(boolean on) {
            // no effect in memory
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

    /** One direction of a connection, with an unbounded buffer: a warm-up sends few bytes. */
    private static final class Pipe extends InputStream {
        private final List<byte[]> buffers = new ArrayList<>();
        /** The read position in the first buffer. */
        private int position;
        private boolean closed;
        private volatile int timeout;
        private final OutputStream output = new OutputStream() {
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
                throw new IOException("in-memory connection closed");
            }
            buffers.add(bytes);
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
                while (buffers.isEmpty() && length > 0) {
                    if (closed) {
                        return -1;
                    }
                    wait(timeout); // a timeout isn't reported; the loop ends because the other end always closes
                }
            } catch (InterruptedException e) {
                throw new IOException(e);
            }
            if (length == 0) {
                return 0;
            }
            byte[] first = buffers.get(0);
            int count = Math.min(length, first.length - position);
            System.arraycopy(first, position, to, from, count);
            position += count;
            if (position == first.length) {
                buffers.remove(0);
                position = 0;
            }
            return count;
        }

        @Override
        public synchronized void close() {
            closed = true;
            notifyAll();
        }
    }
}
