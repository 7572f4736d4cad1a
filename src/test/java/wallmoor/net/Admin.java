package wallmoor.net;

import static org.junit.Assert.assertEquals;

import java.io.IOException;
import java.util.Map;
import java.util.TreeMap;

/** The operators' address of a gatherer, called as they do: one call a connection. */
record Admin(int port) {
    /** Whether it says yes; one that does not listen says no. */
    boolean ready() {
        try {
            return Client.get(port, "/_ready").status / 100 == 2;
        } catch (IOException e) {
            return false;
        }
    }

    /** The figures by their names, without what all of these begin with. */
    Map<String, Long> vars() throws IOException {
        var answer = Client.get(port, "/_vars");
        assertEquals(200, answer.status);
        var figures = new TreeMap<String, Long>();
        answer.body.lines().map(l -> l.split("=")).forEach(w -> {
            Long before = figures.put(w[0].replaceFirst("^gatherer\\.", ""), Long.parseLong(w[1]));
            assertEquals("a figure is told once: " + w[0], null, before);
        });
        return figures;
    }

    /** One figure; it fails where that is absent. */
    long figure(String name) {
        try {
            Long value = vars().get(name);
            if (value == null) {
                throw new AssertionError("no figure " + name);
            }
            return value;
        } catch (IOException e) {
            throw new java.io.UncheckedIOException(e);
        }
    }

    /** Says detach or attach of a worker; the status. */
    int putWorkerAction(String word, String worker) throws IOException {
        try (var client = new Client(port)) {
            return client.send("PUT /_workers/" + word + " HTTP/1.1\r\nHost: localhost\r\nContent-Length: "
                    + worker.length() + "\r\n\r\n" + worker).answer().status;
        }
    }
}
