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

/** The form in JSON in which a server tells of widenings and is told which ones count. Nothing in it is trusted. */
final class WideningMessages {
    /** Widenings in one answer: what a server has beyond them it tells when these are acknowledged. */
    private static final int MOST = 1000;
    private static final int LONGEST_BLOCK = 200;

    /** What counts now at this gatherer. */
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
     * What a server tells, in its order.
     *
     * @param mostBytes of one widening's rows
     */
    static List<SiteMessage.Widening> read(String site, ByteSlice body, int mostBytes)
            throws HttpProtocolException, Json.Malformed {
        List<?> list = Json.object(body.buffer(), body.from(), body.length()).list("widenings");
        if (list == null || list.size() > MOST) {
            throw new HttpProtocolException(502, "its news has no list of widenings, or one of more than " + MOST);
        }
        var all = new ArrayList<SiteMessage.Widening>();
        for (Object item : list) {
            if (!(item instanceof Json.Obj w) || w.text("block") == null || w.text("block").length() > LONGEST_BLOCK
                    || !(w.get("epoch") instanceof Long epoch) || !(w.get("from") instanceof Long from)
                    || !(w.get("to") instanceof Long to) || from >= to) {
                throw new HttpProtocolException(502, "its news holds what is no widening");
            }
            all.add(new SiteMessage.Widening(new Site(site, w.text("block")), epoch, from, to,
                    rows(w.text("rows"), mostBytes)));
        }
        return all;
    }

    /** Null stands for rows that can't be taken in: what is held then ends, which is safe. */
    private static byte[] rows(String text, int mostBytes) {
        if (text == null || text.length() / 4 * 3 > mostBytes + 3) {
            return null;
        }
        try {
            return Base64.getDecoder().decode(text);
        } catch (IllegalArgumentException e) {
            return null;
        }
    }
}
