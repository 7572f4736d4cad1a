package wallmoor.platform;

import java.io.IOException;
import java.net.InetSocketAddress;
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
 * after a failure is the module's to say.
 */
final class DiscoveryWatch {
    private static final int CONNECT_MILLIS = 1000;
    /** Discovery handles calls one after another; one that waits longer has failed there too. */
    private static final int HEAD_MILLIS = 2500;
    /** An empty line comes every 2 s: a watch silent for longer is dead, though its connection says nothing. */
    private static final int SILENCE_MILLIS = 3000;
    private static final int MOST_LINE = 1 << 20;

    private final Launch launch;
    private final Gatherer gatherer;
    private final Consumer<String> log;
    private long revision;

    DiscoveryWatch(Launch launch, long revision, Gatherer gatherer, Consumer<String> log) {
        this.launch = launch;
        this.revision = revision;
        this.gatherer = gatherer;
        this.log = log;
    }

    /** Watches until the thread is interrupted. */
    void run() {
        while (!Thread.currentThread().isInterrupted()) {
            try {
                gatherer.awaitWatchWanted();
                watch();
            } catch (InterruptedException e) {
                return;
            } catch (IOException | HttpProblem | Json.Malformed | RuntimeException e) {
                log.accept("watch: " + e);
            }
            gatherer.watchLost();
        }
    }

    private void watch() throws IOException, HttpProblem, Json.Malformed {
        InetSocketAddress at = launch.discovery();
        try (var socket = new Socket()) {
            socket.setTcpNoDelay(true);
            socket.connect(at, CONNECT_MILLIS);
            HttpOut.get(socket.getOutputStream(), at.getHostString() + ":" + at.getPort(),
                    "/api/targets?stream=1&index=" + revision, "");
            var in = new HttpIn(socket);
            if (!in.await(HEAD_MILLIS)) {
                throw new IOException("closed before an answer");
            }
            Message head = in.answer(HEAD_MILLIS, false);
            if (head.status() != 200) {
                throw new IOException("status " + head.status());
            }
            for (Slice line = in.bodyLine(SILENCE_MILLIS, MOST_LINE); line != null;
                    line = in.bodyLine(SILENCE_MILLIS, MOST_LINE)) {
                if (line.length() > 0) {
                    Members news = Members.of(Json.object(line.buffer(), line.from(), line.length()), launch);
                    revision = news.revision();
                    gatherer.members(news.complete(), news.members());
                }
            }
        }
    }
}
