package wallmoor.dns;

import java.util.List;
import org.xbill.DNS.Record;

/** The result of looking up the records of one name and type. */
sealed interface RecordLookup {

    /**
     * Records.
     *
     * @param ttlMillis how long they may still be used
     * @param stale     whether no server would say, and this is what one said last (RFC 8767)
     */
    record Records(List<Record> records, long ttlMillis, boolean stale) implements RecordLookup {}

    /** There are none, as a server says for sure; {@code reason} is NXDOMAIN or NODATA. */
    record NoRecords(String reason, long ttlMillis) implements RecordLookup {}

    /** No server gave a useful response. */
    record LookupFailure(String reason) implements RecordLookup {}
}
