package wallmoor.ogc;

import static java.nio.charset.StandardCharsets.ISO_8859_1;
import static java.nio.charset.StandardCharsets.UTF_8;

import java.net.URLDecoder;
import java.net.URLEncoder;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import wallmoor.config.OgcConfig;
import wallmoor.http.ByteSlice;

/**
 * A query to feature servers. All parts of a query share it; only their offsets differ.
 *
 * @param collection  the collection, which has the paths of each shard's features
 * @param filterQuery further URL parameters, ready to be appended
 * @param featureId   the id of the one requested feature, or null for a page
 * @param maxFeatures the maximum number of features that a part returns
 * @param offsets     for each shard, how many features earlier pages have taken
 * @param idempotent  whether the query class lets a part run twice. If not, only new connections are used, since the
 *                    server may have closed an idle one without notice
 */
record FeatureQuery(OgcConfig.Collection collection, String filterQuery, String featureId, int maxFeatures,
        java.util.Map<Integer, Integer> offsets,
        boolean idempotent) {

    /**
     * The result of a part.
     *
     * @param hasMore  whether the shard has more features than these
     * @param features the features as the server sent them
     * @param serverId the feature server that returned them
     * @param epoch    the epoch of the server's data, or {@link Long#MIN_VALUE} if it didn't report one
     * @param version  the version of the server's data, or {@link Long#MIN_VALUE} if it didn't report one
     */
    record ShardFeatures(boolean hasMore, List<ByteSlice> features, String serverId, long epoch, long version) {
        private static final Pattern DATA_VERSION = Pattern.compile("([0-9]{1,18})\\.([0-9]{1,18})");

        /**
         * Creates a result.
         *
         * @param dataVersion the version of the server's data as its response has it ({@code EPOCH.VERSION}), or null
         */
        static ShardFeatures of(boolean hasMore, List<ByteSlice> features, String serverId, String dataVersion) {
            Matcher matcher = dataVersion == null ? null : DATA_VERSION.matcher(dataVersion);
            boolean hasVersion = matcher != null && matcher.matches();
            return new ShardFeatures(hasMore, features, serverId,
                    hasVersion ? Long.parseLong(matcher.group(1)) : Long.MIN_VALUE,
                    hasVersion ? Long.parseLong(matcher.group(2)) : Long.MIN_VALUE);
        }

        /** Encodes the result: a line with the fields and each feature's length, then the features. */
        byte[] encode() {
            var head = new StringBuilder(hasMore ? "1" : "0").append(' ').append(URLEncoder.encode(serverId, UTF_8))
                    .append(' ')
                    .append(epoch).append(' ').append(version);
            int length = 0;
            for (ByteSlice feature : features) {
                head.append(' ').append(feature.length());
                length += feature.length();
            }
            byte[] header = head.append('\n').toString().getBytes(ISO_8859_1);
            byte[] encoded = Arrays.copyOf(header, header.length + length);
            int position = header.length;
            for (ByteSlice feature : features) {
                System.arraycopy(feature.buffer(), feature.from(), encoded, position, feature.length());
                position += feature.length();
            }
            return encoded;
        }

        /** Decodes what {@link #encode} wrote; the features are ranges of the value's bytes. */
        static ShardFeatures decode(byte[] encoded) {
            int position = 0;
            while (encoded[position] != '\n') {
                position++;
            }
            String[] head = new String(encoded, 0, position++, ISO_8859_1).split(" ");
            var features = new ArrayList<ByteSlice>();
            for (int i = 4; i < head.length; i++) {
                int length = Integer.parseInt(head[i]);
                features.add(new ByteSlice(encoded, position, length));
                position += length;
            }
            return new ShardFeatures(head[0].equals("1"), features, URLDecoder.decode(head[1], UTF_8),
                    Long.parseLong(head[2]),
                    Long.parseLong(head[3]));
        }
    }
}
