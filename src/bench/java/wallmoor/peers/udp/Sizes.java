package wallmoor.peers.udp;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.function.ToLongFunction;
import wallmoor.peers.Message;

/** What messages take on the wire. */
public final class Sizes {
    /** Headers of IPv4 and UDP. */
    private static final int HEADERS = 28;

    private Sizes() {}

    /** Bytes of a message with its headers. Not for several threads at once. */
    public static ToLongFunction<Message> onTheWire() {
        var wire = new Wire("khi");
        return m -> {
            try {
                return HEADERS + wire.write(m).length;
            } catch (IOException e) {
                throw new UncheckedIOException(e);
            }
        };
    }
}
