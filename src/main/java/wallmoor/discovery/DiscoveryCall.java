package wallmoor.discovery;

import java.io.IOException;
import java.net.Socket;
import wallmoor.http.ByteSlice;
import wallmoor.http.HttpMessage;
import wallmoor.http.HttpProtocolException;
import wallmoor.http.HttpReader;
import wallmoor.http.HttpWriter;

/** One call to discovery: connects, requests the full list if needed, and watches the list until the watch ends. */
final class DiscoveryCall {
    /** The size limit of a full list and of an object of a watch; enough for some 4,000 endpoints in indented JSON. */
    static final int MAX_OBJECT_BYTES = 1 << 20;
    private static final String LIST_PATH = "/api/targets";
    private static final String WATCH_PATH = "/api/targets?stream=1&index=";
    private static final int HTTP_OK = 200;

    private final Socket socket;
    private final DiscoveryTarget target;
    private final WatchTracker tracker;
    private final EndpointListReceiver receiver;

    /** Creates a call on a socket that is not connected yet; the caller closes the socket. */
    DiscoveryCall(Socket socket, DiscoveryTarget target, WatchTracker tracker, EndpointListReceiver receiver) {
        this.socket = socket;
        this.target = target;
        this.tracker = tracker;
        this.receiver = receiver;
    }

    /** Runs until the watch ends. */
    void run() throws IOException, HttpProtocolException {
        socket.setTcpNoDelay(true);
        socket.connect(target.address(), tracker.remainingMillis());
        var in = new HttpReader(socket);
        in.setMaxBodyBytes(MAX_OBJECT_BYTES);
        if (target.needsFullList()) {
            receiver.onFullList(request(in, LIST_PATH, true).body());
        }
        request(in, WATCH_PATH + target.resumeRevision(), false);
        tracker.onStreamOpened(target);
        var parser = new WatchStreamParser(MAX_OBJECT_BYTES, receiver);
        ByteSlice part = in.bodyPart(tracker.remainingMillis());
        while (part != null) {
            parser.read(part);
            part = in.bodyPart(tracker.remainingMillis());
        }
    }

    private HttpMessage request(HttpReader in, String path, boolean withBody)
            throws IOException, HttpProtocolException {
        tracker.onRequestSent(target);
        HttpWriter.get(socket.getOutputStream(), target.authority(), path, "");
        if (!in.await(tracker.remainingMillis())) {
            throw new IOException("discovery closed the connection before it answered GET " + path);
        }
        HttpMessage response = in.answer(tracker.remainingMillis(), withBody);
        if (response.status() != HTTP_OK) {
            throw new IOException("discovery answered GET " + path + " with status " + response.status() + "; expected "
                    + HTTP_OK);
        }
        return response;
    }
}
