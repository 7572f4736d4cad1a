package wallmoor.rules;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;

/** SHA-256 over texts. Each text follows its length, so that no two lists of texts give the same input. */
final class Sha256 {
    private Sha256() {}

    /** Returns the hash of these texts in hexadecimal digits. */
    static String of(String... texts) {
        try {
            MessageDigest digest = MessageDigest.getInstance("SHA-256");
            for (String text : texts) {
                byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
                digest.update(ByteBuffer.allocate(Integer.BYTES).putInt(bytes.length).array());
                digest.update(bytes);
            }
            return HexFormat.of().formatHex(digest.digest());
        } catch (NoSuchAlgorithmException e) {
            throw new AssertionError("every Java platform has SHA-256", e);
        }
    }
}
