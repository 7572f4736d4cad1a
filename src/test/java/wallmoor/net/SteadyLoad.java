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
 * Clients that ask one query after another, each on a connection that it keeps until it is told to close it. What came
 * of every query is kept; one whose connection was refused, or broke before a whole answer, is not asked again.
 */
final class SteadyLoad implements AutoCloseable {
    /** What came of a query: {@code status} is -1 where no whole answer came, and {@code fault} says why. */
    record Asked(String id, String queryClass, int status, String fault, long from, long until) {}

    final ConcurrentLinkedQueue<Asked> all = new ConcurrentLinkedQueue<>();
    /** Answers that were not to the query asked, or came beside one. */
    final ConcurrentLinkedQueue<String> unexpectedAnswers = new ConcurrentLinkedQueue<>();
    private final AtomicInteger numbers = new AtomicInteger();
    private final List<Thread> threads = new ArrayList<>();
    private final int port;
    private final long pause;
    private final List<String> classes;
    private final int[] shards;
    private volatile boolean over;

    /** So many clients, each with so long a pause after an answer. Query classes are asked in turn. */
    SteadyLoad(int port, int clients, long pauseMillis, List<String> classes, int... shards) {
        this.port = port;
        this.pause = pauseMillis;
        this.classes = classes;
        this.shards = shards;
        for (int i = 0; i < clients; i++) {
            long first = pauseMillis * i / clients;
            threads.add(new Thread(() -> run(first)));
        }
        threads.forEach(Thread::start);
    }

    private void run(long first) {
        Client client = null;
        try {
            Thread.sleep(first);
            while (!over) {
                int number = numbers.getAndIncrement();
                String queryClass = classes.get(number % classes.size());
                client = ask(client, queryClass + "-" + number, queryClass);
                Thread.sleep(pause);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } finally {
            close(client);
        }
    }

    /** Asks, and returns the connection to go on with, or null. */
    private Client ask(Client kept, String id, String queryClass) {
        Client client = kept;
        long from = System.nanoTime();
        try {
            if (client == null) {
                client = new Client(port);
            }
            var answer = client.send(Client.query(id, queryClass, 1900, shards)).answer();
            all.add(new Asked(id, queryClass, answer.status, "", from, System.nanoTime()));
            if ((answer.status == 200 && !answer.body.contains("\"doc\":\"v" + id + "."))
                    || client.socket.getInputStream().available() > 0) {
                unexpectedAnswers.add(id + ": " + answer.head + answer.body);
            }
            if (!"close".equalsIgnoreCase(answer.header("Connection"))) {
                return client;
            }
        } catch (IOException e) {
            all.add(new Asked(id, queryClass, -1, (kept == null ? "new: " : "kept: ") + e, from, System.nanoTime()));
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
            // it is closed as far as it can be
        }
    }

    /** Queries that met a refused, reset or unread connection and were under way in this time. */
    List<Asked> broken(long from, long until) {
        return all.stream().filter(a -> a.status < 0 && a.until >= from && a.from <= until).toList();
    }

    /** How many ended with which status, by class: {@code all 200}. */
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

    /** Asks no more, and waits for the answers to what was asked. */
    void stop() {
        over = true;
        try {
            for (Thread t : threads) {
                t.join(TimeUnit.SECONDS.toMillis(20));
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
