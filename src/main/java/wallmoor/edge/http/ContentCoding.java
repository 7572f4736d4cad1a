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

/** Content codings, with a bound on what unpacks: a few kilobytes may claim to be gigabytes. */
enum ContentCoding {
    IDENTITY, GZIP, ZSTD;

    /** Links are poor and bodies small: the levels at which a few more bytes would cost many times the work. */
    private static final int ZSTD_LEVEL = 9;
    private static final int MOST_WINDOW = 1 << 17;
    private static final int CHUNK = 4096;
    /** A smaller body does not get smaller. */
    private static final int WORTH_IT = 200;

    /** The one that a request's body has. */
    static ContentCoding ofContent(String header) throws HttpProtocolException {
        return switch (header == null ? "identity" : header.trim().toLowerCase(Locale.ROOT)) {
            case "identity" -> IDENTITY;
            case "gzip", "x-gzip" -> GZIP;
            case "zstd" -> ZSTD;
            default -> throw new HttpProtocolException(415, "Content-Encoding is none of gzip and zstd");
        };
    }

    /** The best that a client takes for a body of this length. */
    static ContentCoding accepted(String header, int length) {
        if (header == null || length < WORTH_IT) {
            return IDENTITY;
        }
        ContentCoding best = IDENTITY;
        for (String item : header.toLowerCase(Locale.ROOT).split(",")) {
            String[] parts = item.trim().split("\\s*;\\s*");
            boolean no = parts.length > 1 && parts[1].matches("q=0(\\.0*)?");
            if (!no && parts[0].equals("zstd")) {
                best = ZSTD;
            } else if (!no && parts[0].equals("gzip") && best == IDENTITY) {
                best = GZIP;
            }
        }
        return best;
    }

    String token() {
        return name().toLowerCase(Locale.ROOT);
    }

    /** Packs; the same bytes each time, so that a range of them can be asked for later. */
    byte[] pack(byte[] body) throws IOException {
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

    /** Unpacks, up to {@code most} bytes. */
    byte[] unpack(byte[] packed, int most) throws HttpProtocolException {
        if (this == IDENTITY) {
            return packed;
        }
        var out = new ByteArrayOutputStream(Math.min(most, 4 * packed.length + CHUNK));
        byte[] chunk = new byte[CHUNK];
        try (InputStream in = stream(packed)) {
            for (int n = in.read(chunk); n >= 0; n = in.read(chunk)) {
                if (out.size() + n > most) {
                    throw new HttpProtocolException(413, "the body unpacks to more than " + most + " bytes");
                }
                out.write(chunk, 0, n);
            }
        } catch (IOException e) {
            throw new HttpProtocolException(400, "the body is no whole " + token() + ": " + e.getMessage());
        }
        return out.toByteArray();
    }

    private InputStream stream(byte[] packed) throws IOException {
        var in = new ByteArrayInputStream(packed);
        if (this == GZIP) {
            return new GZIPInputStream(in, CHUNK);
        }
        var zstd = new ZstdInputStream(in);
        zstd.setLongMax(Integer.numberOfTrailingZeros(MOST_WINDOW)); // a frame may ask for a window of gigabytes
        return zstd;
    }
}
