package wallmoor.edge.coap;

import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.security.GeneralSecurityException;
import java.security.SecureRandom;
import java.util.Arrays;
import java.util.Map;
import javax.crypto.Mac;
import javax.crypto.spec.SecretKeySpec;
import org.eclipse.californium.core.coap.Option;
import org.eclipse.californium.core.coap.option.StandardOptionRegistry;

/**
 * The addresses that have proven by the Echo option (RFC 9175) that they receive what is sent to them. A challenge
 * holds its time and a MAC of time and address, so that no state is needed for addresses that have not answered one.
 * Safe for concurrent use.
 */
final class VerifiedAddresses {
    private static final int MAX_ADDRESSES = 20_000;
    private static final long CHALLENGE_LIFETIME_MILLIS = 60_000;
    /** The time for which an address stays verified; later a NAT may have assigned it to another device. */
    private static final long VERIFICATION_LIFETIME_MILLIS = 600_000;
    private static final int MAC_BYTES = 12;

    private final SecretKeySpec secret;
    private final Map<InetSocketAddress, Long> verifiedTimes = new RecentlyUsedMap<>(MAX_ADDRESSES);

    VerifiedAddresses() {
        byte[] randomBytes = new byte[32];
        new SecureRandom().nextBytes(randomBytes);
        secret = new SecretKeySpec(randomBytes, "HmacSHA256");
    }

    /**
     * Returns whether an address is verified, or becomes so by this answer to a challenge.
     *
     * @param now  milliseconds of a monotonic clock
     * @param echo the value of the request's Echo option, or null
     */
    boolean isVerified(long now, InetSocketAddress address, byte[] echo) {
        synchronized (verifiedTimes) {
            Long verifiedAt = verifiedTimes.get(address);
            if (verifiedAt != null && now - verifiedAt < VERIFICATION_LIFETIME_MILLIS) {
                return true;
            }
        }
        if (echo == null || echo.length != Long.BYTES + MAC_BYTES) {
            return false;
        }
        long issuedAt = ByteBuffer.wrap(echo).getLong();
        if (now - issuedAt > CHALLENGE_LIFETIME_MILLIS || issuedAt > now
                || !java.security.MessageDigest.isEqual(echo, challenge(issuedAt, address))) {
            return false;
        }
        synchronized (verifiedTimes) {
            verifiedTimes.put(address, now);
        }
        return true;
    }

    /** Returns the value that the address has to send back in an Echo option. */
    byte[] challenge(long now, InetSocketAddress address) {
        try {
            Mac mac = Mac.getInstance("HmacSHA256");
            mac.init(secret);
            mac.update(ByteBuffer.allocate(Long.BYTES + Integer.BYTES).putLong(now).putInt(address.getPort()).array());
            byte[] macBytes = mac.doFinal(address.getAddress().getAddress());
            return ByteBuffer.allocate(Long.BYTES + MAC_BYTES).putLong(now).put(Arrays.copyOf(macBytes, MAC_BYTES))
                    .array();
        } catch (GeneralSecurityException e) {
            throw new IllegalStateException(e); // every Java platform has HmacSHA256
        }
    }

    static Option option(byte[] value) {
        return new Option(StandardOptionRegistry.ECHO, value);
    }
}
