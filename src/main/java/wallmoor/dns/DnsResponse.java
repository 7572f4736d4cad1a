package wallmoor.dns;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.xbill.DNS.CNAMERecord;
import org.xbill.DNS.Flags;
import org.xbill.DNS.Header;
import org.xbill.DNS.Message;
import org.xbill.DNS.Name;
import org.xbill.DNS.Opcode;
import org.xbill.DNS.Rcode;
import org.xbill.DNS.Record;
import org.xbill.DNS.SOARecord;
import org.xbill.DNS.Section;
import org.xbill.DNS.Type;

/** The meaning of a server's response, which is untrusted input. Does no I/O and has no clock. */
sealed interface DnsResponse {
    /** The most CNAME records followed in a look-up (RFC 1034 asks for a limit; common resolvers have 8 to 16). */
    int MAX_ALIASES = 8;
    /** The reason of the failure when a chain of CNAME records is not followed to its end. */
    String TOO_MANY_ALIASES = "a loop of CNAME records, or more than " + MAX_ALIASES;

    /**
     * The requested records.
     *
     * @param ttl        the least TTL of them and of the CNAME records that lead to them, in seconds
     * @param additional the addresses in the additional section
     */
    record PositiveAnswer(List<Record> records, long ttl, List<Record> additional) implements DnsResponse {}

    /** There are no such records (RFC 2308): NXDOMAIN or NODATA; times are seconds, and -1 without an SOA record. */
    record NegativeAnswer(String reason, long soaTtl, long soaMinimum) implements DnsResponse {
        private static final long NO_SOA = -1;

        /** Returns whether the response has an SOA record. */
        boolean hasSoa() {
            return soaTtl >= 0;
        }
    }

    /** The name is an alias of another name, which has to be looked up. */
    record Alias(Name target) implements DnsResponse {}

    /** The response is truncated; the query has to be sent over TCP. */
    record Truncated() implements DnsResponse {}

    /** The server gave no useful response. */
    record ServerFailure(String reason) implements DnsResponse {}

    /** Returns whether a response has the id and question of a query; else it is forged or answers another query. */
    static boolean answers(Message query, Message response) {
        Header header = response.getHeader();
        List<Record> questions = response.getSection(Section.QUESTION);
        return header.getFlag(Flags.QR) && header.getOpcode() == Opcode.QUERY
                && header.getID() == query.getHeader().getID() && questions.size() == 1
                && questions.get(0).equals(query.getQuestion());
    }

    /** Interprets the response to a query. */
    static DnsResponse of(Message query, Message response) {
        int rcode = response.getRcode();
        if (response.getHeader().getFlag(Flags.TC)) {
            return new Truncated();
        }
        if (rcode != Rcode.NOERROR && rcode != Rcode.NXDOMAIN) {
            return new ServerFailure(Rcode.string(rcode));
        }
        return followAliases(query, response);
    }

    /** Follows the CNAME records of the answer section from the requested name to the requested records. */
    private static DnsResponse followAliases(Message query, Message response) {
        Name name = query.getQuestion().getName();
        Set<Name> visited = new HashSet<>();
        long ttl = Long.MAX_VALUE;
        while (true) {
            List<Record> records = records(query, response, name);
            if (!records.isEmpty()) {
                return new PositiveAnswer(records, Math.min(ttl, minTtl(records)), additionalAddresses(response));
            }
            CNAMERecord alias = alias(query, response, name);
            if (alias == null) {
                break;
            }
            ttl = Math.min(ttl, alias.getTTL());
            if (!visited.add(name) || visited.size() > MAX_ALIASES) {
                return new ServerFailure(TOO_MANY_ALIASES);
            }
            name = alias.getTarget();
        }
        if (response.getRcode() == Rcode.NXDOMAIN) {
            return negative("NXDOMAIN", response);
        }
        return visited.isEmpty() ? negative("NODATA", response) : new Alias(name);
    }

    private static List<Record> records(Message query, Message response, Name name) {
        var records = new ArrayList<Record>();
        for (Record record : response.getSection(Section.ANSWER)) {
            if (isOf(query, name, record) && record.getType() == query.getQuestion().getType()) {
                records.add(record);
            }
        }
        return records;
    }

    /** Returns the last CNAME record of a name, or null. In a query for CNAME records they are no aliases. */
    private static CNAMERecord alias(Message query, Message response, Name name) {
        CNAMERecord alias = null;
        for (Record record : response.getSection(Section.ANSWER)) {
            if (isOf(query, name, record) && record instanceof CNAMERecord cname) {
                alias = cname;
            }
        }
        return alias;
    }

    private static boolean isOf(Message query, Name name, Record record) {
        return record.getName().equals(name) && record.getDClass() == query.getQuestion().getDClass();
    }

    private static long minTtl(List<Record> records) {
        long ttl = Long.MAX_VALUE;
        for (Record record : records) {
            ttl = Math.min(ttl, record.getTTL());
        }
        return ttl;
    }

    private static List<Record> additionalAddresses(Message response) {
        var addresses = new ArrayList<Record>();
        for (Record record : response.getSection(Section.ADDITIONAL)) {
            if (record.getType() == Type.A || record.getType() == Type.AAAA) {
                addresses.add(record);
            }
        }
        return List.copyOf(addresses);
    }

    private static NegativeAnswer negative(String reason, Message response) {
        for (Record record : response.getSection(Section.AUTHORITY)) {
            if (record instanceof SOARecord soa) {
                return new NegativeAnswer(reason, soa.getTTL(), soa.getMinimum());
            }
        }
        return new NegativeAnswer(reason, NegativeAnswer.NO_SOA, NegativeAnswer.NO_SOA);
    }
}
