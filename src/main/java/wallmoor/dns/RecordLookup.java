package wallmoor.dns;

import java.util.List;
import org.xbill.DNS.Record;

/** What came of a look-up. */
sealed interface RecordLookup {

    /**
     * Records.
     *
     * @param ttlMillis milliseconds that they may still be used
     * @param stale    no server would say, and this is what one said last (RFC 8767)
     */
    record Records(List<Record> records, long ttlMillis, boolean stale) implements RecordLookup {}

    /** There are none, as a server says for sure; {@code why} is NXDOMAIN or NODATA. */
    record NoRecords(String reason, long ttlMillis) implements RecordLookup {}

    /** No server gave a useful answer. */
    record LookupFailure(String reason) implements RecordLookup {}
}
