package wallmoor.net;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Clients that send one query after another, each on a connection that it reuses until the server asks to close it. The
 * result of every query is recorded; a query whose connection was refused or broke is not retried.
 */
final class SteadyLoad implements AutoCloseable {
    /**
     * The result of a query.
     *
     * @param status the status, or -1 without a complete response
     * @param fault  why there was none; begins with {@code kept} on a reused connection and {@code new} on a new one
     * @param from   when it was sent, in nanoseconds of {@link System#nanoTime}
     * @param until  when it ended, on the same clock
     */
    record QueryResult(String id, String queryClass, int status, String fault, long from, long until) {}

    final ConcurrentLinkedQueue<QueryResult> all = new ConcurrentLinkedQueue<>();
    /** Responses to another query than the one that was sent, or followed by excess bytes. */
    final ConcurrentLinkedQueue<String> unexpectedAnswers = new ConcurrentLinkedQueue<>();
    private final AtomicInteger nextNumber = new AtomicInteger();
    private final List<Thread> threads = new ArrayList<>();
    private final int port;
    private final long pauseMillis;
    private final List<String> classes;
    private final int[] shards;
    private volatile boolean stopped;

    /**
     * Starts the clients.
     *
     * @param pauseMillis the pause of a client after each result
     * @param classes     the query classes, used in turn
     */
    SteadyLoad(int port, int clients, long pauseMillis, List<String> classes, int... shards) {
        this.port = port;
        this.pauseMillis = pauseMillis;
        this.classes = classes;
        this.shards = shards;
        for (int i = 0; i < clients; i++) {
            long initialDelayMillis = pauseMillis * i / clients;
            threads.add(new Thread(() -> run(initialDelayMillis)));
        }
        threads.forEach(Thread::start);
    }

    private void run(long initialDelayMillis) {
        Client client = null;
        try {
            Thread.sleep(initialDelayMillis);
            while (!stopped) {
                int number = nextNumber.getAndIncrement();
                String queryClass = classes.get(number % classes.size());
                client = query(client, queryClass + "-" + number, queryClass);
                Thread.sleep(pauseMillis);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } finally {
            close(client);
        }
    }

    /** Sends a query and returns the connection for the next one, or null where a new one is needed. */
    private Client query(Client reused, String id, String queryClass) {
        Client client = reused;
        long from = System.nanoTime();
        try {
            if (client == null) {
                client = new Client(port);
            }
            var answer = client.send(Client.query(id, queryClass, 1900, shards)).answer();
            all.add(new QueryResult(id, queryClass, answer.status, "", from, System.nanoTime()));
            if ((answer.status == 200 && !answer.body.contains("\"doc\":\"v" + id + "."))
                    || client.socket.getInputStream().available() > 0) {
                unexpectedAnswers.add(id + ": " + answer.head + answer.body);
            }
            if (!"close".equalsIgnoreCase(answer.header("Connection"))) {
                return client;
            }
        } catch (IOException e) {
            all.add(new QueryResult(id, queryClass, -1, (reused == null ? "new: " : "kept: ") + e, from,
                    System.nanoTime()));
        }
        close(client);
        return null;
    }

    private static void close(Client client) {
        try {
            if (client != null) {
                client.close();
            }
        } catch (IOException e) {
            // nothing more can be done to close it
        }
    }

    /** Returns the queries in flight in this time that got no complete response. */
    List<QueryResult> broken(long from, long until) {
        return all.stream().filter(a -> a.status < 0 && a.until >= from && a.from <= until).toList();
    }

    /** Returns the number of results by class and status, such as {@code all 200}. */
    Map<String, Integer> counts() {
        var counts = new TreeMap<String, Integer>();
        all.forEach(a -> counts.merge(a.queryClass + " " + a.status, 1, Integer::sum));
        return counts;
    }

    long count(int status) {
        return all.stream().filter(a -> a.status == status).count();
    }

    @Override
    public void close() {
        stop();
    }

    /** Stops sending and waits for the responses to the queries in flight. */
    void stop() {
        stopped = true;
        try {
            for (Thread t : threads) {
                t.join(TimeUnit.SECONDS.toMillis(20));
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
