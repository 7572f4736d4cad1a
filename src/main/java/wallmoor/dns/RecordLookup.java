package wallmoor.dns;

import java.util.List;
import org.xbill.DNS.Record;

/** The result of looking up the records of one name and type. */
sealed interface RecordLookup {

    /**
     * The records of the name and type.
     *
     * @param ttlMillis how long they may still be used
     * @param stale     whether no server answered, so that the last answer is used beyond its TTL (RFC 8767)
     */
    record Records(List<Record> records, long ttlMillis, boolean stale) implements RecordLookup {}

    /** There are no such records, as a server answered; {@code reason} is NXDOMAIN or NODATA. */
    record NoRecords(String reason, long ttlMillis) implements RecordLookup {}

    /** No server gave a useful response. */
    record LookupFailure(String reason) implements RecordLookup {}
}
