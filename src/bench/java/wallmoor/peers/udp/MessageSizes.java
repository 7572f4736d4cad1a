package wallmoor.peers.udp;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.function.ToLongFunction;
import wallmoor.peers.GroupMessage;

/** What messages take on the wire. */
public final class MessageSizes {
    /** Headers of IPv4 and UDP. */
    private static final long HEADER_BYTES = 28;

    private MessageSizes() {}

    /** Bytes of a message with its headers. Not for several threads at once. */
    public static ToLongFunction<GroupMessage> onTheWire() {
        var codec = new GroupMessageCodec("khi");
        return m -> {
            try {
                return HEADER_BYTES + codec.encode(m).length;
            } catch (IOException e) {
                throw new UncheckedIOException(e);
            }
        };
    }
}
