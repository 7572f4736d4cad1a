package wallmoor.rules;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;

/** SHA-256 over texts, each with its length before it, so that none runs into the next. */
final class Sha256 {
    private Sha256() {}

    static String of(String... texts) {
        try {
            MessageDigest sha = MessageDigest.getInstance("SHA-256");
            for (String t : texts) {
                byte[] bytes = t.getBytes(StandardCharsets.UTF_8);
                sha.update(ByteBuffer.allocate(Integer.BYTES).putInt(bytes.length).array());
                sha.update(bytes);
            }
            return HexFormat.of().formatHex(sha.digest());
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException(e); // every Java platform has it
        }
    }
}
