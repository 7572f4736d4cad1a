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

/** Judges one answer of a server, with distrust of every byte. No I/O and no clock. */
sealed interface DnsResponse {
    /** CNAME records followed for one look-up at most (RFC 1034 asks for a bound; common resolvers have 8 to 16). */
    int MOST_ALIASES = 8;

    /**
     * The records asked for.
     *
     * @param ttl   the least TTL on the way to them, in seconds
     * @param extra addresses in the additional section
     */
    record PositiveAnswer(List<Record> records, long ttl, List<Record> extra) implements DnsResponse {}

    /** There are none; TTLs are -1 where no SOA record came. */
    record NegativeAnswer(String why, long soaTtl, long soaMinimum) implements DnsResponse {}

    /** The name is another's, which must be asked for. */
    record Alias(Name target) implements DnsResponse {}

    /** The answer does not fit, and is to be had over TCP. */
    record Truncated() implements DnsResponse {}

    /** The server can't be used for this. */
    record ServerFailure(String why) implements DnsResponse {}

    /** Whether this can be the answer to that query: another's id or question is somebody else's, or forged. */
    static boolean answers(Message query, Message answer) {
        Header header = answer.getHeader();
        List<Record> asked = answer.getSection(Section.QUESTION);
        return header.getFlag(Flags.QR) && header.getOpcode() == Opcode.QUERY
                && header.getID() == query.getHeader().getID() && asked.size() == 1
                && asked.get(0).equals(query.getQuestion());
    }

    /** What an answer to a query of this type says. */
    static DnsResponse of(Message query, Message answer) {
        int rcode = answer.getRcode();
        if (answer.getHeader().getFlag(Flags.TC)) {
            return new Truncated();
        }
        if (rcode != Rcode.NOERROR && rcode != Rcode.NXDOMAIN) {
            return new ServerFailure(Rcode.string(rcode));
        }
        Name at = query.getQuestion().getName();
        int type = query.getQuestion().getType();
        List<Record> answers = answer.getSection(Section.ANSWER);
        Set<Name> passed = new HashSet<>();
        long ttl = Long.MAX_VALUE;
        while (true) {
            var records = new ArrayList<Record>();
            CNAMERecord alias = null;
            for (Record r : answers) {
                if (r.getName().equals(at) && r.getDClass() == query.getQuestion().getDClass()) {
                    if (r.getType() == type) {
                        records.add(r);
                        ttl = Math.min(ttl, r.getTTL());
                    } else if (r instanceof CNAMERecord c) {
                        alias = c;
                    }
                }
            }
            if (!records.isEmpty()) {
                return new PositiveAnswer(records, ttl, extra(answer));
            }
            if (alias == null) {
                break;
            }
            ttl = Math.min(ttl, alias.getTTL());
            if (!passed.add(at) || passed.size() > MOST_ALIASES) {
                return new ServerFailure("a loop of CNAME records, or more than " + MOST_ALIASES);
            }
            at = alias.getTarget();
        }
        if (rcode == Rcode.NXDOMAIN) {
            return absent("NXDOMAIN", answer);
        }
        return passed.isEmpty() ? absent("NODATA", answer) : new Alias(at);
    }

    private static List<Record> extra(Message answer) {
        return answer.getSection(Section.ADDITIONAL).stream()
                .filter(r -> r.getType() == Type.A || r.getType() == Type.AAAA).toList();
    }

    private static NegativeAnswer absent(String why, Message answer) {
        for (Record r : answer.getSection(Section.AUTHORITY)) {
            if (r instanceof SOARecord soa) {
                return new NegativeAnswer(why, soa.getTTL(), soa.getMinimum());
            }
        }
        return new NegativeAnswer(why, -1, -1);
    }
}
