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

/** A DNS server (RFC 1035) on loopback, with UDP and TCP on one port, that answers from a zone or by a set fault. */
public final class DnsServer implements AutoCloseable {
    /** A fault of the answers. */
    public enum Fault {
        NONE, SILENT, SERVFAIL, REFUSED, WRONG_ID, WRONG_QUESTION, OTHER_PORT, GARBAGE, POINTER_LOOP, TRUNCATED,
        TRUNCATED_SILENT_TCP, TRUNCATED_NO_TCP, HALF_TCP, FORMERR_ON_EDNS
    }

    private final DatagramSocket udp;
    private final ServerSocket tcp;
    private final Map<String, List<Record>> zone = new ConcurrentHashMap<>();
    /** The queries received, as {@code udp NAME TYPE} or {@code tcp NAME TYPE}. */
    public final List<String> seen = new CopyOnWriteArrayList<>();
    private volatile Fault fault = Fault.NONE;
    private volatile boolean hasSoa = true;
    private volatile Name nodataName;

    /** Starts on a free port. */
    public DnsServer() throws IOException {
        InetAddress loopback = InetAddress.getByName("127.0.0.1");
        ServerSocket stream = null;
        DatagramSocket datagrams = null;
        for (int i = 0; datagrams == null; i++) {
            stream = new ServerSocket(0, 50, loopback);
            try {
                datagrams = new DatagramSocket(stream.getLocalPort(), loopback);
            } catch (IOException e) { // another socket has this port for UDP
                stream.close();
                if (i == 20) {
                    throw e;
                }
            }
        }
        tcp = stream;
        udp = datagrams;
        start("dns-udp", this::serveUdp);
        start("dns-tcp", this::serveTcp);
    }

    /** Returns the port that it listens on. */
    public int port() {
        return udp.getLocalPort();
    }

    /** Returns the address that it listens on. */
    public InetSocketAddress address() {
        return new InetSocketAddress("127.0.0.1", port());
    }

    /** Sets the fault of all later answers. */
    public void setFault(Fault next) {
        fault = next;
    }

    /**
     * Sets the form of negative answers.
     *
     * @param withSoa        whether they carry an SOA record
     * @param nameThatExists a name without records, answered with NODATA and not NXDOMAIN; null for none
     */
    public void setNegativeAnswers(boolean withSoa, String nameThatExists) {
        hasSoa = withSoa;
        nodataName = nameThatExists == null ? null : name(nameThatExists);
    }

    /** Replaces the records of a name and type; removes them where none are given. */
    public void set(String name, int type, Record... records) {
        zone.put(key(name(name), type), List.of(records));
    }

    /**
     * Replaces a service's records and gives each target an address and a text record.
     *
     * @param targets each of the form {@code HOST:PORT:PRIORITY:WEIGHT:TEXT,TEXT}
     */
    public void service(String service, long ttl, String... targets) {
        var records = new ArrayList<Record>();
        for (String target : targets) {
            String[] fields = target.split(":", 5);
            records.add(
                    srv(service, ttl, Integer.parseInt(fields[2]), Integer.parseInt(fields[3]),
                            Integer.parseInt(fields[1]), fields[0]));
            set(fields[0], Type.A, a(fields[0], ttl, "127.0.0.1"));
            set(fields[0], Type.TXT, new TXTRecord(name(fields[0]), DClass.IN, ttl, List.of(fields[4].split(","))));
        }
        set(service, Type.SRV, records.toArray(Record[]::new));
    }

    /** Returns an SRV record. */
    public static SRVRecord srv(String service, long ttl, int priority, int weight, int port, String target) {
        return new SRVRecord(name(service), DClass.IN, ttl, priority, weight, port, name(target));
    }

    /** Returns an A record. */
    public static ARecord a(String name, long ttl, String address) {
        return new ARecord(name(name), DClass.IN, ttl, parse(address));
    }

    /** Returns an AAAA record. */
    public static AAAARecord aaaa(String name, long ttl, String address) {
        return new AAAARecord(name(name), DClass.IN, ttl, parse(address));
    }

    /** Returns a CNAME record with a TTL of 60 s. */
    public static CNAMERecord cname(String name, String target) {
        return new CNAMERecord(name(name), DClass.IN, 60, name(target));
    }

    private static InetAddress parse(String address) {
        try {
            return InetAddress.getByName(address); // an address literal causes no lookup
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
                // the server is closed
            }
        }, name);
        thread.setDaemon(true);
        thread.start();
    }

    private interface Work {
        void run() throws IOException;
    }

    private void serveUdp() throws IOException {
        while (true) {
            var packet = new DatagramPacket(new byte[2048], 2048);
            udp.receive(packet);
            byte[] response = answer(java.util.Arrays.copyOf(packet.getData(), packet.getLength()), false);
            if (response == null) {
                continue;
            }
            if (fault == Fault.OTHER_PORT) {
                try (var other = new DatagramSocket(0, InetAddress.getByName("127.0.0.1"))) {
                    other.send(new DatagramPacket(response, response.length, packet.getSocketAddress()));
                }
            } else {
                udp.send(new DatagramPacket(response, response.length, packet.getSocketAddress()));
            }
        }
    }

    private void serveTcp() throws IOException {
        while (true) {
            Socket peer = tcp.accept();
            start("dns-tcp-one", () -> {
                try (peer) {
                    var in = new DataInputStream(peer.getInputStream());
                    byte[] response = answer(in.readNBytes(in.readUnsignedShort()), true);
                    if (fault == Fault.TRUNCATED_NO_TCP) {
                        return;
                    }
                    if (fault == Fault.TRUNCATED_SILENT_TCP) {
                        in.read();
                    }
                    byte[] framed = new byte[2 + response.length];
                    framed[0] = (byte) (response.length >>> 8);
                    framed[1] = (byte) response.length;
                    System.arraycopy(response, 0, framed, 2, response.length);
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
                // other faults are applied below or by the caller
            }
        }
        boolean isTruncated = fault.name().startsWith("TRUNCATED") || fault == Fault.HALF_TCP;
        addRecords(answer, question);
        if (!overTcp && (isTruncated || answer.toWire().length > 1232)) {
            var empty = new Message(answer.getHeader().getID());
            empty.getHeader().setFlag(Flags.QR);
            empty.getHeader().setFlag(Flags.TC);
            empty.addRecord(question, Section.QUESTION);
            return empty.toWire();
        }
        return answer.toWire(65535);
    }

    private void addRecords(Message answer, Record question) {
        Name current = question.getName();
        for (int i = 0; i < 4; i++) { // follows at most four aliases
            List<Record> records = zone.getOrDefault(key(current, question.getType()), List.of());
            records.forEach(r -> answer.addRecord(r, Section.ANSWER));
            List<Record> alias = zone.getOrDefault(key(current, Type.CNAME), List.of());
            if (!records.isEmpty() || alias.isEmpty()) {
                break;
            }
            answer.addRecord(alias.get(0), Section.ANSWER);
            current = ((CNAMERecord) alias.get(0)).getTarget();
        }
        Name last = current;
        if (answer.getSection(Section.ANSWER).isEmpty()) {
            boolean exists = last.equals(nodataName)
                    || zone.entrySet().stream().anyMatch(e -> !e.getValue().isEmpty() && e.getKey().startsWith(
                            last.toString().toLowerCase(Locale.ROOT) + " "));
            answer.getHeader().setRcode(exists ? Rcode.NOERROR : Rcode.NXDOMAIN);
            if (hasSoa) {
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
