package wallmoor.net;

import static org.junit.Assert.assertEquals;

import java.io.IOException;
import java.util.Map;
import java.util.TreeMap;

/** A client of a gatherer's operator port on the loopback address. It opens a connection for each request. */
record Admin(int port) {
    /** Returns true if the readiness check succeeds, and false also if nothing listens on the port. */
    boolean ready() {
        try {
            return Client.get(port, "/_ready").status / 100 == 2;
        } catch (IOException e) {
            return false;
        }
    }

    /** Returns all metrics by name, without the prefix {@code gatherer.}. Fails if a metric is listed twice. */
    Map<String, Long> vars() throws IOException {
        var answer = Client.get(port, "/_vars");
        assertEquals(200, answer.status);
        var metrics = new TreeMap<String, Long>();
        answer.body.lines().map(l -> l.split("=")).forEach(pair -> {
            Long before = metrics.put(pair[0].replaceFirst("^gatherer\\.", ""), Long.parseLong(pair[1]));
            assertEquals("metric is listed twice: " + pair[0], null, before);
        });
        return metrics;
    }

    /** Returns one metric. Fails if the gatherer does not report it. */
    long figure(String name) {
        try {
            Long value = vars().get(name);
            if (value == null) {
                throw new AssertionError("metric is not reported: " + name);
            }
            return value;
        } catch (IOException e) {
            throw new java.io.UncheckedIOException(e);
        }
    }

    /**
     * Requests that a worker is detached or attached, and returns the status of the answer.
     *
     * @param action {@code detach} or {@code attach}
     */
    int putWorkerAction(String action, String worker) throws IOException {
        try (var client = new Client(port)) {
            return client.send("PUT /_workers/" + action + " HTTP/1.1\r\nHost: localhost\r\nContent-Length: "
                    + worker.length() + "\r\n\r\n" + worker).answer().status;
        }
    }
}
