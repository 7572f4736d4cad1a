package wallmoor.peers.udp;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.function.ToLongFunction;
import wallmoor.peers.GroupMessage;

/** The sizes of group messages on the wire. */
public final class MessageSizes {
    /** The bytes of the IPv4 and UDP headers. */
    private static final long HEADER_BYTES = 28;

    private MessageSizes() {}

    /** Returns a function that gives the bytes of a message with its headers; it is not thread-safe. */
    public static ToLongFunction<GroupMessage> onTheWire() {
        var codec = new GroupMessageCodec("khi");
        return message -> {
            try {
                return HEADER_BYTES + codec.encode(message).length;
            } catch (IOException e) {
                throw new UncheckedIOException(e);
            }
        };
    }
}
