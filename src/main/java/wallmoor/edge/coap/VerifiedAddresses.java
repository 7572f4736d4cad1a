package wallmoor.edge.coap;

import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.security.GeneralSecurityException;
import java.security.SecureRandom;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.Map;
import javax.crypto.Mac;
import javax.crypto.spec.SecretKeySpec;
import org.eclipse.californium.core.coap.Option;
import org.eclipse.californium.core.coap.option.StandardOptionRegistry;

/**
 * Which addresses have proven that they get what is sent to them, by the Echo option (RFC 9175). A challenge holds its
 * time and a code of the address, so that nothing is kept for who has not answered one. Safe for threads.
 */
final class VerifiedAddresses {
    private static final int MOST_ADDRESSES = 20_000;
    private static final long CHALLENGE_MILLIS = 60_000;
    /** So long after its proof an address is taken for the same device's: a NAT may give it to another then. */
    private static final long PROOF_MILLIS = 600_000;
    private static final int CODE = 12;

    private final SecretKeySpec secret;
    private final Map<InetSocketAddress, Long> proven = new LinkedHashMap<>(64, 0.75f, true) {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<InetSocketAddress, Long> eldest) {
            return size() > MOST_ADDRESSES;
        }
    };

    VerifiedAddresses() {
        byte[] drawn = new byte[32];
        new SecureRandom().nextBytes(drawn);
        secret = new SecretKeySpec(drawn, "HmacSHA256");
    }

    /** Whether it is known to be real, or proves it by this answer to a challenge. */
    boolean isVerified(long now, InetSocketAddress address, byte[] echo) {
        synchronized (proven) {
            Long at = proven.get(address);
            if (at != null && now - at < PROOF_MILLIS) {
                return true;
            }
        }
        if (echo == null || echo.length != Long.BYTES + CODE) {
            return false;
        }
        long then = ByteBuffer.wrap(echo).getLong();
        if (now - then > CHALLENGE_MILLIS || then > now
                || !java.security.MessageDigest.isEqual(echo, challenge(then, address))) {
            return false;
        }
        synchronized (proven) {
            proven.put(address, now);
        }
        return true;
    }

    /** What the address is to send back. */
    byte[] challenge(long now, InetSocketAddress address) {
        try {
            Mac mac = Mac.getInstance("HmacSHA256");
            mac.init(secret);
            mac.update(ByteBuffer.allocate(Long.BYTES + Integer.BYTES).putLong(now).putInt(address.getPort()).array());
            byte[] code = mac.doFinal(address.getAddress().getAddress());
            return ByteBuffer.allocate(Long.BYTES + CODE).putLong(now).put(Arrays.copyOf(code, CODE)).array();
        } catch (GeneralSecurityException e) {
            throw new IllegalStateException(e); // every Java has it
        }
    }

    static Option option(byte[] value) {
        return new Option(StandardOptionRegistry.ECHO, value);
    }
}
