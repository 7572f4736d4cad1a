package wallmoor.dns;

import java.util.List;
import org.xbill.DNS.Record;

/** What came of a look-up. */
sealed interface Found {

    /**
     * Records.
     *
     * @param lifetime milliseconds that they may still be used
     * @param stale    no server would say, and this is what one said last (RFC 8767)
     */
    record Records(List<Record> records, long lifetime, boolean stale) implements Found {}

    /** There are none, as a server says for sure; {@code why} is NXDOMAIN or NODATA. */
    record None(String why, long lifetime) implements Found {}

    /** No server gave a useful answer. */
    record Failure(String why) implements Found {}
}
