package wallmoor.agreement;

import java.util.ArrayList;
import java.util.List;
import wallmoor.versions.DamagedException;
import wallmoor.versions.Document;
import wallmoor.versions.Entry;
import wallmoor.versions.Forms;
import wallmoor.versions.Message;
import wallmoor.versions.MessageForms;
import wallmoor.versions.Proposal;

/** What processes of a group say to each other over a link; all of it is read as if anybody could have sent it. */
sealed interface Packet {
    /** A number that both ends must read alike. */
    long MAGIC = 0x574d72756c657331L;

    /** The first on each link, both ways. {@code group} is the same of all that may talk to each other. */
    record Hello(String group, String name, long life) implements Packet {}

    /** Of the log's library. */
    record Log(byte[] message) implements Packet {}

    /** Of the deciders. */
    record Said(Message message) implements Packet {}

    /** This voter does not lead; who does, as far as it knows. */
    record Elsewhere(String leader) implements Packet {}

    /** A voter asks the leader to put its verdict into the log. */
    record Verdict(Entry.Verdict entry) implements Packet {}

    /** A voter that has nothing kept asks for the other's term. */
    record AskTerm() implements Packet {}

    /** The term. */
    record Term(int term) implements Packet {}

    /**
     * Somebody at a gatherer's control port asks the leader: to propose, or where {@code proposal} is null for what
     * there is.
     */
    record Request(long id, String name, Proposal proposal) implements Packet {}

    /**
     * The answer.
     *
     * @param state    {@code acts}, {@code accepted}, {@code pending}, {@code refused} or {@code told}
     * @param number   of the version that it is about
     * @param why      of what was refused
     * @param acting   the number of the version that acts
     * @param versions that are kept, where it was told
     * @param refused  sentences on what was refused of late, where it was told
     */
    record Reply(long id, String state, long number, String why, long acting, List<Document> versions,
            List<String> refused)
            implements
                Packet {}

    /** As a frame carries it. */
    static byte[] write(Packet packet) {
        var to = new Forms.Writer();
        if (packet instanceof Hello p) {
            to.number(1).number(MAGIC).text(p.group()).text(p.name()).number(p.life());
        } else if (packet instanceof Log p) {
            to.number(2).raw(p.message());
        } else if (packet instanceof Said p) {
            to.number(3).raw(MessageForms.write(p.message()));
        } else if (packet instanceof Elsewhere p) {
            to.number(4).text(p.leader());
        } else if (packet instanceof Verdict p) {
            to.number(5).raw(Forms.write(p.entry()));
        } else if (packet instanceof AskTerm) {
            to.number(6);
        } else if (packet instanceof Term p) {
            to.number(7).number(p.term());
        } else if (packet instanceof Request p) {
            to.number(8).number(p.id()).text(p.name()).raw(p.proposal() == null ? new byte[0]
                    : Forms.write(new Entry.Propose(p.proposal())));
        } else if (packet instanceof Reply p) {
            to.number(9).number(p.id()).text(p.state()).number(p.number()).text(p.why())
                    .number(p.acting()).number(p.versions().size());
            p.versions().forEach(to::document);
            to.number(p.refused().size());
            p.refused().forEach(to::text);
        }
        return to.bytes();
    }

    /** What a frame carried. */
    static Packet read(byte[] bytes) throws DamagedException {
        var from = new Forms.Reader(bytes);
        int type = (int) from.number();
        Packet packet = switch (type) {
            case 1 -> {
                if (from.number() != MAGIC) {
                    throw new DamagedException("no hello of this program's", 0);
                }
                yield new Hello(from.text(), from.text(), from.number());
            }
            case 2 -> new Log(from.raw());
            case 3 -> new Said(MessageForms.read(from.raw()));
            case 4 -> new Elsewhere(from.text());
            case 5 -> {
                if (!(Forms.read(from.raw()) instanceof Entry.Verdict v)) {
                    throw new DamagedException("no verdict", 0);
                }
                yield new Verdict(v);
            }
            case 6 -> new AskTerm();
            case 7 -> new Term((int) from.number());
            case 8 -> request(from);
            case 9 -> reply(from);
            default -> throw new DamagedException("a packet of unknown type " + type, 0);
        };
        from.end();
        return packet;
    }

    private static Request request(Forms.Reader from) throws DamagedException {
        long id = from.number();
        String name = from.text();
        byte[] entry = from.raw();
        if (entry.length == 0) {
            return new Request(id, name, null);
        }
        if (!(Forms.read(entry) instanceof Entry.Propose p)) {
            throw new DamagedException("no proposal", 0);
        }
        return new Request(id, name, p.proposal());
    }

    private static Reply reply(Forms.Reader from) throws DamagedException {
        long id = from.number();
        String state = from.text();
        long number = from.number();
        String why = from.text();
        long acting = from.number();
        var versions = new ArrayList<Document>();
        for (long n = from.count(); n > 0; n--) {
            versions.add(from.document());
        }
        var refused = new ArrayList<String>();
        for (long n = from.count(); n > 0; n--) {
            refused.add(from.text());
        }
        return new Reply(id, state, number, why, acting, List.copyOf(versions), List.copyOf(refused));
    }
}
