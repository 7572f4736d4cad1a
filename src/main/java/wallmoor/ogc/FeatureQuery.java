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
import wallmoor.core.Step;

/**
 * What a query asks of feature servers, the same for all its parts but for where each goes on.
 *
 * @param collection      the collection, which knows where each shard's features are
 * @param query   further parameters, ready to be appended
 * @param featureId     the id of the one feature that is wanted, or null for a page
 * @param maxFeatures  features a part is to bring at most
 * @param offsets    for each shard, how many features earlier pages have taken
 * @param idempotent  whether the class lets a part run twice: if not, only new connections are used, since one that was
 *                kept may have been closed by the server without our knowing
 */
record FeatureQuery(OgcConfig.Collection collection, String query, String featureId, int maxFeatures,
        java.util.Map<Integer, Integer> offsets,
        boolean idempotent) {

    /**
     * A part's value.
     *
     * @param hasMore     whether the shard has more than these features, which are as they came
     * @param serverId       who gave them
     * @param epoch    of its data, and {@code version}, where it tells them; else {@link Long#MIN_VALUE}
     */
    record ShardFeatures(boolean hasMore, List<byte[]> features, String serverId, long epoch, long version) {
        private static final Pattern DATA = Pattern.compile("([0-9]{1,18})\\.([0-9]{1,18})");

        /** With the version of its data as a server's answer has it ({@code EPOCH.VERSION}), or null. */
        static ShardFeatures of(boolean more, List<byte[]> features, String by, String data) {
            Matcher told = data == null ? null : DATA.matcher(data);
            boolean tells = told != null && told.matches();
            return new ShardFeatures(more, features, by, tells ? Long.parseLong(told.group(1)) : Long.MIN_VALUE,
                    tells ? Long.parseLong(told.group(2)) : Long.MIN_VALUE);
        }

        byte[] encode() {
            var head = new StringBuilder(hasMore ? "1" : "0").append(' ').append(URLEncoder.encode(serverId, UTF_8))
                    .append(' ')
                    .append(epoch).append(' ').append(version);
            int length = 0;
            for (byte[] f : features) {
                head.append(' ').append(f.length);
                length += f.length;
            }
            byte[] first = head.append('\n').toString().getBytes(ISO_8859_1);
            byte[] all = Arrays.copyOf(first, first.length + length);
            int at = first.length;
            for (byte[] f : features) {
                System.arraycopy(f, 0, all, at, f.length);
                at += f.length;
            }
            return all;
        }

        static ShardFeatures decode(Step.PartValue value) {
            byte[] all = value.bytes();
            int at = 0;
            while (all[at] != '\n') {
                at++;
            }
            String[] head = new String(all, 0, at++, ISO_8859_1).split(" ");
            var features = new ArrayList<byte[]>();
            for (int i = 4; i < head.length; i++) {
                int length = Integer.parseInt(head[i]);
                features.add(Arrays.copyOfRange(all, at, at + length));
                at += length;
            }
            return new ShardFeatures(head[0].equals("1"), features, URLDecoder.decode(head[1], UTF_8),
                    Long.parseLong(head[2]),
                    Long.parseLong(head[3]));
        }
    }
}
