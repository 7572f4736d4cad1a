package wallmoor.standin;

import java.io.DataInputStream;
import java.io.IOException;
import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import org.xbill.DNS.AAAARecord;
import org.xbill.DNS.ARecord;
import org.xbill.DNS.CNAMERecord;
import org.xbill.DNS.DClass;
import org.xbill.DNS.Flags;
import org.xbill.DNS.Message;
import org.xbill.DNS.Name;
import org.xbill.DNS.Opcode;
import org.xbill.DNS.Rcode;
import org.xbill.DNS.Record;
import org.xbill.DNS.SOARecord;
import org.xbill.DNS.SRVRecord;
import org.xbill.DNS.Section;
import org.xbill.DNS.TXTRecord;
import org.xbill.DNS.Type;

/** A scripted DNS server on loopback, UDP and TCP on one port, from RFC 1035: it answers from a zone, or at fault. */
public final class DnsServer implements AutoCloseable {
    /** What it does wrong. */
    public enum Fault {
        NONE, SILENT, SERVFAIL, REFUSED, WRONG_ID, WRONG_QUESTION, OTHER_PORT, GARBAGE, POINTER_LOOP, TRUNCATED,
        TRUNCATED_SILENT_TCP, TRUNCATED_NO_TCP, HALF_TCP, FORMERR_ON_EDNS
    }

    private final DatagramSocket udp;
    private final ServerSocket tcp;
    private final Map<String, List<Record>> zone = new ConcurrentHashMap<>();
    /** What was asked, as "udp NAME TYPE". */
    public final List<String> seen = new CopyOnWriteArrayList<>();
    private volatile Fault fault = Fault.NONE;
    private volatile boolean soa = true;
    private volatile Name existing;

    /** Starts on a free port. */
    public DnsServer() throws IOException {
        InetAddress loopback = InetAddress.getByName("127.0.0.1");
        ServerSocket stream = null;
        DatagramSocket datagrams = null;
        for (int i = 0; datagrams == null; i++) {
            stream = new ServerSocket(0, 50, loopback);
            try {
                datagrams = new DatagramSocket(stream.getLocalPort(), loopback);
            } catch (IOException e) { // that port is another's for UDP
                stream.close();
                if (i == 20) {
                    throw e;
                }
            }
        }
        tcp = stream;
        udp = datagrams;
        start("dns-udp", this::datagrams);
        start("dns-tcp", this::streams);
    }

    /** Where it listens. */
    public int port() {
        return udp.getLocalPort();
    }

    /** As an address. */
    public InetSocketAddress address() {
        return new InetSocketAddress("127.0.0.1", port());
    }

    /** From now on it does this. */
    public void setFault(Fault with) {
        fault = with;
    }

    /** Whether absences come with an SOA record; a name that exists without records is NODATA, not NXDOMAIN. */
    public void setNegativeAnswers(boolean withSoa, String nameThatExists) {
        soa = withSoa;
        existing = nameThatExists == null ? null : name(nameThatExists);
    }

    /** Replaces the records of a name and type; none removes them. */
    public void set(String name, int type, Record... records) {
        zone.put(key(name(name), type), List.of(records));
    }

    /** Replaces a service's records by these and gives each target an address and a text record. */
    public void service(String service, long ttl, String... targets) {
        var records = new ArrayList<Record>();
        for (String t : targets) { // HOST:PORT:PRIORITY:WEIGHT:TEXT,TEXT
            String[] p = t.split(":", 5);
            records.add(
                    srv(service, ttl, Integer.parseInt(p[2]), Integer.parseInt(p[3]), Integer.parseInt(p[1]), p[0]));
            set(p[0], Type.A, a(p[0], ttl, "127.0.0.1"));
            set(p[0], Type.TXT, new TXTRecord(name(p[0]), DClass.IN, ttl, List.of(p[4].split(","))));
        }
        set(service, Type.SRV, records.toArray(Record[]::new));
    }

    public static SRVRecord srv(String service, long ttl, int priority, int weight, int port, String target) {
        return new SRVRecord(name(service), DClass.IN, ttl, priority, weight, port, name(target));
    }

    public static ARecord a(String name, long ttl, String address) {
        return new ARecord(name(name), DClass.IN, ttl, bytes(address));
    }

    public static AAAARecord aaaa(String name, long ttl, String address) {
        return new AAAARecord(name(name), DClass.IN, ttl, bytes(address));
    }

    public static CNAMERecord cname(String name, String target) {
        return new CNAMERecord(name(name), DClass.IN, 60, name(target));
    }

    private static InetAddress bytes(String address) {
        try {
            return InetAddress.getByName(address); // a literal: nothing is looked up
        } catch (IOException e) {
            throw new IllegalArgumentException(e);
        }
    }

    private static Name name(String text) {
        try {
            return Name.fromString(text, Name.root);
        } catch (IOException e) {
            throw new IllegalArgumentException(e);
        }
    }

    private static String key(Name name, int type) {
        return name.toString().toLowerCase(Locale.ROOT) + " " + type;
    }

    private static void start(String name, Work work) {
        var thread = new Thread(() -> {
            try {
                work.run();
            } catch (IOException e) {
                // closed
            }
        }, name);
        thread.setDaemon(true);
        thread.start();
    }

    private interface Work {
        void run() throws IOException;
    }

    private void datagrams() throws IOException {
        while (true) {
            var packet = new DatagramPacket(new byte[2048], 2048);
            udp.receive(packet);
            byte[] answer = answer(java.util.Arrays.copyOf(packet.getData(), packet.getLength()), false);
            if (answer == null) {
                continue;
            }
            if (fault == Fault.OTHER_PORT) {
                try (var other = new DatagramSocket(0, InetAddress.getByName("127.0.0.1"))) {
                    other.send(new DatagramPacket(answer, answer.length, packet.getSocketAddress()));
                }
            } else {
                udp.send(new DatagramPacket(answer, answer.length, packet.getSocketAddress()));
            }
        }
    }

    private void streams() throws IOException {
        while (true) {
            Socket peer = tcp.accept();
            start("dns-tcp-one", () -> {
                try (peer) {
                    var in = new DataInputStream(peer.getInputStream());
                    byte[] answer = answer(in.readNBytes(in.readUnsignedShort()), true);
                    if (fault == Fault.TRUNCATED_NO_TCP) {
                        return;
                    }
                    if (fault == Fault.TRUNCATED_SILENT_TCP) {
                        in.read();
                    }
                    byte[] framed = new byte[2 + answer.length];
                    framed[0] = (byte) (answer.length >>> 8);
                    framed[1] = (byte) answer.length;
                    System.arraycopy(answer, 0, framed, 2, answer.length);
                    peer.getOutputStream().write(framed, 0,
                            fault == Fault.HALF_TCP ? framed.length / 2 : framed.length);
                }
            });
        }
    }

    private byte[] answer(byte[] wire, boolean overTcp) throws IOException {
        Message query = new Message(wire);
        Record question = query.getQuestion();
        seen.add((overTcp ? "tcp " : "udp ") + question.getName().toString(true) + " "
                + Type.string(question.getType()));
        var answer = new Message(fault == Fault.WRONG_ID ? query.getHeader().getID() ^ 1 : query.getHeader().getID());
        answer.getHeader().setFlag(Flags.QR);
        answer.getHeader().setOpcode(Opcode.QUERY);
        answer.addRecord(fault == Fault.WRONG_QUESTION
                ? Record.newRecord(name("other.example"), question.getType(), DClass.IN) : question, Section.QUESTION);
        switch (fault) {
            case SILENT -> {
                return null;
            }
            case SERVFAIL -> {
                answer.getHeader().setRcode(Rcode.SERVFAIL);
                return answer.toWire();
            }
            case REFUSED -> {
                answer.getHeader().setRcode(Rcode.REFUSED);
                return answer.toWire();
            }
            case GARBAGE -> {
                return new byte[] {wire[0], wire[1], (byte) 0x84, 0, 0, 1, 9, 9, 9, 9};
            }
            case POINTER_LOOP -> {
                return new byte[] {wire[0], wire[1], (byte) 0x84, 0, 0, 1, 0, 0, 0, 0, 0, 0, (byte) 0xc0, 12, 0, 33, 0,
                    1};
            }
            case FORMERR_ON_EDNS -> {
                if (query.getOPT() != null) {
                    answer.getHeader().setRcode(Rcode.FORMERR);
                    return answer.toWire();
                }
            }
            default -> {
                // the fault shows further down, or not in the answer
            }
        }
        boolean cut = fault.name().startsWith("TRUNCATED") || fault == Fault.HALF_TCP;
        fill(answer, question);
        if (!overTcp && (cut || answer.toWire().length > 1232)) {
            var empty = new Message(answer.getHeader().getID());
            empty.getHeader().setFlag(Flags.QR);
            empty.getHeader().setFlag(Flags.TC);
            empty.addRecord(question, Section.QUESTION);
            return empty.toWire();
        }
        return answer.toWire(65535);
    }

    private void fill(Message answer, Record question) {
        Name at = question.getName();
        for (int i = 0; i < 4; i++) { // a server follows aliases as far as it cares to
            List<Record> records = zone.getOrDefault(key(at, question.getType()), List.of());
            records.forEach(r -> answer.addRecord(r, Section.ANSWER));
            List<Record> alias = zone.getOrDefault(key(at, Type.CNAME), List.of());
            if (!records.isEmpty() || alias.isEmpty()) {
                break;
            }
            answer.addRecord(alias.get(0), Section.ANSWER);
            at = ((CNAMERecord) alias.get(0)).getTarget();
        }
        Name last = at;
        if (answer.getSection(Section.ANSWER).isEmpty()) {
            boolean known = last.equals(existing)
                    || zone.entrySet().stream().anyMatch(e -> !e.getValue().isEmpty() && e.getKey().startsWith(
                            last.toString().toLowerCase(Locale.ROOT) + " "));
            answer.getHeader().setRcode(known ? Rcode.NOERROR : Rcode.NXDOMAIN);
            if (soa) {
                answer.addRecord(
                        new SOARecord(name("example"), DClass.IN, 1, name("ns.example"), name("hostmaster.example"),
                                1, 1, 1, 1, 1),
                        Section.AUTHORITY);
            }
        }
    }

    @Override
    public void close() throws IOException {
        udp.close();
        tcp.close();
    }
}
