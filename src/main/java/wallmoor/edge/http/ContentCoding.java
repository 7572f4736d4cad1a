package wallmoor.edge.http;

import com.github.luben.zstd.Zstd;
import com.github.luben.zstd.ZstdInputStream;
import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.util.Locale;
import java.util.zip.GZIPInputStream;
import java.util.zip.GZIPOutputStream;
import wallmoor.http.HttpProtocolException;

/** Content codings, with a limit on the decompressed size: a few kilobytes may expand to gigabytes. */
enum ContentCoding {
    IDENTITY, GZIP, ZSTD;

    /** Devices have poor links and bodies are small; higher levels save a few bytes for many times the work. */
    private static final int ZSTD_LEVEL = 9;
    private static final int MAX_WINDOW_BYTES = 1 << 17;
    private static final int CHUNK_BYTES = 4096;
    /** Smaller bodies are not compressed, as they would not shrink. */
    private static final int MIN_COMPRESSED_BYTES = 200;

    /** Returns the coding of a request's body by its Content-Encoding. */
    static ContentCoding ofContentEncoding(String header) throws HttpProtocolException {
        return switch (header == null ? "identity" : header.trim().toLowerCase(Locale.ROOT)) {
            case "identity" -> IDENTITY;
            case "gzip", "x-gzip" -> GZIP;
            case "zstd" -> ZSTD;
            default -> throw new HttpProtocolException(415, "Content-Encoding is none of gzip and zstd");
        };
    }

    /** Returns the best coding that an Accept-Encoding header allows for a body of this length. */
    static ContentCoding negotiate(String header, int length) {
        if (header == null || length < MIN_COMPRESSED_BYTES) {
            return IDENTITY;
        }
        ContentCoding best = IDENTITY;
        for (String item : header.toLowerCase(Locale.ROOT).split(",")) {
            String[] parts = item.trim().split("\\s*;\\s*");
            boolean isRefused = parts.length > 1 && parts[1].matches("q=0(\\.0*)?");
            if (!isRefused && parts[0].equals("zstd")) {
                best = ZSTD;
            } else if (!isRefused && parts[0].equals("gzip") && best == IDENTITY) {
                best = GZIP;
            }
        }
        return best;
    }

    String token() {
        return name().toLowerCase(Locale.ROOT);
    }

    /** Compresses a body, to the same bytes each time, so that a range of them can be requested later. */
    byte[] compress(byte[] body) throws IOException {
        return switch (this) {
            case IDENTITY -> body;
            case ZSTD -> Zstd.compress(body, ZSTD_LEVEL);
            case GZIP -> {
                var out = new ByteArrayOutputStream(body.length / 2);
                try (var gzip = new GZIPOutputStream(out)) {
                    gzip.write(body);
                }
                yield out.toByteArray();
            }
        };
    }

    /** Decompresses a body, up to {@code maxBytes} bytes. */
    byte[] decompress(byte[] compressed, int maxBytes) throws HttpProtocolException {
        if (this == IDENTITY) {
            return compressed;
        }
        var out = new ByteArrayOutputStream(Math.min(maxBytes, 4 * compressed.length + CHUNK_BYTES));
        byte[] chunk = new byte[CHUNK_BYTES];
        try (InputStream in = stream(compressed)) {
            for (int n = in.read(chunk); n >= 0; n = in.read(chunk)) {
                if (out.size() + n > maxBytes) {
                    throw new HttpProtocolException(413, "the body unpacks to more than " + maxBytes + " bytes");
                }
                out.write(chunk, 0, n);
            }
        } catch (IOException e) {
            throw new HttpProtocolException(400, "the body is no whole " + token() + ": " + e.getMessage());
        }
        return out.toByteArray();
    }

    private InputStream stream(byte[] compressed) throws IOException {
        var in = new ByteArrayInputStream(compressed);
        if (this == GZIP) {
            return new GZIPInputStream(in, CHUNK_BYTES);
        }
        var zstd = new ZstdInputStream(in);
        zstd.setLongMax(Integer.numberOfTrailingZeros(MAX_WINDOW_BYTES)); // a frame may request a window of gigabytes
        return zstd;
    }
}
