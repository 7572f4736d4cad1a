package wallmoor.versions;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import wallmoor.versions.Message.Ask;
import wallmoor.versions.Message.Denied;
import wallmoor.versions.Message.Grant;
import wallmoor.versions.Message.Known;
import wallmoor.versions.Message.News;

/** What gatherers and voters say as bytes, and what a gatherer knows as records of a file; none of it is trusted. */
public final class MessageForms {
    private static final int ASK = 1;
    private static final int GRANT = 2;
    private static final int DENIED = 3;
    private static final int NEWS = 4;

    private MessageForms() {}

    /** A message as it is sent. */
    public static byte[] write(Message message) {
        var to = new Forms.Writer().number(Forms.FORM);
        if (message instanceof Ask a) {
            to.number(ASK).text(a.holder()).number(a.life()).number(a.seq()).number(a.known().size());
            a.known().forEach((name, k) -> to.text(name).number(k.number()).text(k.hash()));
        } else if (message instanceof Grant g) {
            to.number(GRANT).text(g.holder()).number(g.life()).number(g.seq());
            chains(to, g.chains());
        } else if (message instanceof Denied d) {
            to.number(DENIED).text(d.holder()).number(d.life()).number(d.seq()).text(d.why());
        } else if (message instanceof News n) {
            to.number(NEWS);
            chains(to, n.chains());
        }
        return to.bytes();
    }

    /** The message that was written. */
    public static Message read(byte[] bytes) throws DamagedException {
        var from = new Forms.Reader(bytes).form();
        long type = from.number();
        Message message;
        if (type == ASK) {
            String holder = from.text();
            long life = from.number();
            long seq = from.number();
            Map<String, Known> known = new HashMap<>();
            for (long n = from.count(); n > 0; n--) {
                known.put(from.text(), new Known(from.number(), from.text()));
            }
            message = new Ask(holder, life, seq, known);
        } else if (type == GRANT) {
            message = new Grant(from.text(), from.number(), from.number(), chains(from));
        } else if (type == DENIED) {
            message = new Denied(from.text(), from.number(), from.number(), from.text());
        } else if (type == NEWS) {
            message = new News(chains(from));
        } else {
            throw new DamagedException("a message of unknown type " + type, Long.BYTES);
        }
        from.end();
        return message;
    }

    /** What a gatherer knows, as a file's records. */
    public static List<byte[]> keep(List<Chain> known) {
        return known.stream().map(c -> {
            var to = new Forms.Writer().number(Forms.FORM);
            chains(to, List.of(c));
            return to.bytes();
        }).toList();
    }

    /** What was kept. */
    public static List<Chain> kept(List<byte[]> records) throws DamagedException {
        var all = new ArrayList<Chain>();
        for (byte[] r : records) {
            var from = new Forms.Reader(r).form();
            all.addAll(chains(from));
            from.end();
        }
        return List.copyOf(all);
    }

    private static void chains(Forms.Writer to, List<Chain> chains) {
        to.number(chains.size());
        for (Chain c : chains) {
            to.text(c.name()).number(c.from()).number(c.to()).number(c.documents().size());
            c.documents().forEach(to::document);
        }
    }

    private static List<Chain> chains(Forms.Reader from) throws DamagedException {
        var chains = new ArrayList<Chain>();
        for (long n = from.count(); n > 0; n--) {
            String name = from.text();
            long acts = from.number();
            long last = from.number();
            var documents = new ArrayList<Document>();
            for (long d = from.count(); d > 0; d--) {
                documents.add(from.document());
            }
            chains.add(new Chain(name, acts, last, documents));
        }
        return List.copyOf(chains);
    }
}
