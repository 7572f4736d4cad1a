package wallmoor.pruning;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.List;
import wallmoor.http.ByteSlice;
import wallmoor.http.HttpProtocolException;
import wallmoor.json.Json;
import wallmoor.summaries.Site;
import wallmoor.summaries.SiteMessage;

/** The JSON messages by which a server sends widenings and a gatherer acknowledges them. All input is validated. */
final class WideningMessages {
    /** Maximum widenings in one answer; a server sends further ones after these are acknowledged. */
    private static final int MAX_WIDENINGS = 1000;
    private static final int MAX_BLOCK_LENGTH = 200;

    /** The version of a block's summary that is in effect at this gatherer. */
    record Acknowledged(String block, long epoch, long version) {}

    private WideningMessages() {}

    static byte[] acknowledge(List<Acknowledged> all) {
        var to = new StringBuilder("{\"acknowledged\":[");
        for (int i = 0; i < all.size(); i++) {
            Acknowledged a = all.get(i);
            to.append(i == 0 ? "" : ",").append("{\"block\":");
            Json.quote(to, a.block());
            to.append(",\"epoch\":").append(a.epoch()).append(",\"version\":").append(a.version()).append('}');
        }
        return to.append("]}").toString().getBytes(StandardCharsets.UTF_8);
    }

    /**
     * Parses the widenings in an answer, in its order.
     *
     * @param maxRowsBytes maximum size of the rows of one widening
     */
    static List<SiteMessage.Widening> read(String site, ByteSlice body, int maxRowsBytes)
            throws HttpProtocolException, Json.Malformed {
        List<?> list = Json.object(body.buffer(), body.from(), body.length()).list("widenings");
        if (list == null || list.size() > MAX_WIDENINGS) {
            throw new HttpProtocolException(502, "answer has no list of widenings, or one of more than "
                    + MAX_WIDENINGS);
        }
        var all = new ArrayList<SiteMessage.Widening>();
        for (Object item : list) {
            if (!(item instanceof Json.Obj w) || w.text("block") == null || w.text("block").length() > MAX_BLOCK_LENGTH
                    || !(w.get("epoch") instanceof Long epoch) || !(w.get("from") instanceof Long from)
                    || !(w.get("to") instanceof Long to) || from >= to) {
                throw new HttpProtocolException(502, "widening " + all.size()
                        + " of the answer needs a block of at most " + MAX_BLOCK_LENGTH
                        + " characters and integers epoch, from and to, with from below to");
            }
            all.add(new SiteMessage.Widening(new Site(site, w.text("block")), epoch, from, to,
                    rows(w.text("rows"), maxRowsBytes)));
        }
        return all;
    }

    /** Returns the rows, or null if they can't be decoded: the cached summary is then dropped, which is safe. */
    private static byte[] rows(String text, int maxRowsBytes) {
        if (text == null || text.length() / 4 * 3 > maxRowsBytes + 3) {
            return null;
        }
        try {
            return Base64.getDecoder().decode(text);
        } catch (IllegalArgumentException e) {
            return null;
        }
    }
}
