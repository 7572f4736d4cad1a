package wallmoor.platform;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Proxy;
import java.net.Socket;
import java.util.function.Consumer;
import wallmoor.config.Launch;
import wallmoor.core.Gatherer;
import wallmoor.http.HttpIn;
import wallmoor.http.HttpOut;
import wallmoor.http.HttpProblem;
import wallmoor.http.Message;
import wallmoor.http.Slice;
import wallmoor.json.Json;

/**
 * Watches discovery's list: from the revision held last, whenever the module wants it watched. When to try again
 * after a failure is the module's to say; when the configuration names another discovery, the watch moves at once.
 */
final class DiscoveryWatch {
    private static final int CONNECT_MILLIS = 1000;
    /** Discovery handles calls one after another; one that waits longer has failed there too. */
    private static final int HEAD_MILLIS = 2500;
    /** An empty line comes every 2 s: a watch silent for longer is dead, though its connection says nothing. */
    private static final int SILENCE_MILLIS = 3000;
    private static final int MOST_LINE = 1 << 20;

    /** Where the list is, and the version held of it; below 0 none, as another discovery may count from elsewhere. */
    private static final class Source {
        final InetSocketAddress at;
        long revision;

        Source(InetSocketAddress at, long revision) {
            this.at = at;
            this.revision = revision;
        }
    }

    private final Launch launch;
    private final Gatherer gatherer;
    private final Consumer<String> log;
    private volatile Source source;
    private volatile Socket open;

    DiscoveryWatch(Launch launch, long revision, Gatherer gatherer, Consumer<String> log) {
        this.launch = launch;
        this.source = new Source(launch.discovery(), revision);
        this.gatherer = gatherer;
        this.log = log;
    }

    /** From now on the list is to be had here; the one held stays until this discovery has told its own. */
    void move(InetSocketAddress at) {
        if (at.equals(source.at)) {
            return;
        }
        source = new Source(at, -1);
        close(open); // its reader finds that the source is another one
        gatherer.watchAgain();
    }

    /** Watches until the thread is interrupted. */
    void run() {
        while (!Thread.currentThread().isInterrupted()) {
            Source from = source;
            try {
                gatherer.awaitWatchWanted();
                from = source;
                watch(from);
            } catch (InterruptedException e) {
                return;
            } catch (IOException | HttpProblem | Json.Malformed | RuntimeException | OutOfMemoryError e) {
                log.accept("watch: " + e);
            }
            if (from == source) { // one left for another discovery was not lost
                gatherer.watchLost();
            }
        }
    }

    private void watch(Source from) throws IOException, HttpProblem, Json.Malformed {
        try (var socket = new Socket(Proxy.NO_PROXY)) {
            open = socket;
            if (from != source) {
                return;
            }
            socket.setTcpNoDelay(true);
            socket.connect(from.at, CONNECT_MILLIS);
            var in = new HttpIn(socket);
            if (from.revision < 0) { // the whole list first: a watch from a version needs one of this discovery's
                Slice all = ask(socket, in, from, "/api/targets", true).body();
                take(from, all);
            }
            ask(socket, in, from, "/api/targets?stream=1&index=" + from.revision, false);
            for (Slice line = in.bodyLine(SILENCE_MILLIS, MOST_LINE); line != null;
                    line = in.bodyLine(SILENCE_MILLIS, MOST_LINE)) {
                if (line.length() > 0) {
                    take(from, line);
                }
            }
        }
    }

    private static Message ask(Socket socket, HttpIn in, Source from, String target, boolean withBody)
            throws IOException, HttpProblem {
        HttpOut.get(socket.getOutputStream(), from.at.getHostString() + ":" + from.at.getPort(), target, "");
        if (!in.await(HEAD_MILLIS)) {
            throw new IOException("closed before an answer");
        }
        Message answer = in.answer(HEAD_MILLIS, withBody);
        if (answer.status() != 200) {
            throw new IOException("status " + answer.status());
        }
        return answer;
    }

    private void take(Source from, Slice json) throws Json.Malformed {
        Members news = Members.of(Json.object(json.buffer(), json.from(), json.length()), launch);
        if (from == source) { // what a discovery left behind still says is old
            from.revision = news.revision();
            gatherer.members(news.complete(), news.members());
        }
    }

    private static void close(Socket socket) {
        try {
            if (socket != null) {
                socket.close();
            }
        } catch (IOException e) {
            // it is closed as far as it can be
        }
    }
}
