package wallmoor.ogc;

import java.util.List;
import wallmoor.config.OgcConfig;
import wallmoor.core.Step;

/**
 * What a query asks of feature servers, the same for all its parts but for where each goes on.
 *
 * @param of      the collection, which knows where each shard's features are
 * @param query   further parameters, ready to be appended
 * @param one     the id of the one feature that is wanted, or null for a page
 * @param wanted  features a part is to bring at most
 * @param from    for each shard, how many features earlier pages have taken
 * @param repeat  whether the class lets a part run twice: if not, only new connections are used, since one that was
 *                kept may have been closed by the server without our knowing
 */
record Upstream(OgcConfig.Collection of, String query, String one, int wanted, java.util.Map<Integer, Integer> from,
        boolean repeat) {

    /** A part's value: features as they came, and whether the shard has more. */
    record Share(boolean more, List<byte[]> features) {

        byte[] encode() {
            var head = new StringBuilder(more ? "1" : "0");
            int length = 0;
            for (byte[] f : features) {
                head.append(' ').append(f.length);
                length += f.length;
            }
            byte[] first = head.append('\n').toString().getBytes(java.nio.charset.StandardCharsets.ISO_8859_1);
            byte[] all = java.util.Arrays.copyOf(first, first.length + length);
            int at = first.length;
            for (byte[] f : features) {
                System.arraycopy(f, 0, all, at, f.length);
                at += f.length;
            }
            return all;
        }

        static Share decode(Step.Value value) {
            byte[] all = value.bytes();
            int at = 0;
            while (all[at] != '\n') {
                at++;
            }
            String[] head = new String(all, 0, at++, java.nio.charset.StandardCharsets.ISO_8859_1).split(" ");
            var features = new java.util.ArrayList<byte[]>();
            for (int i = 1; i < head.length; i++) {
                int length = Integer.parseInt(head[i]);
                features.add(java.util.Arrays.copyOfRange(all, at, at + length));
                at += length;
            }
            return new Share(head[0].equals("1"), features);
        }
    }
}
