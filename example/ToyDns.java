import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import org.xbill.DNS.ARecord;
import org.xbill.DNS.DClass;
import org.xbill.DNS.Flags;
import org.xbill.DNS.Message;
import org.xbill.DNS.Name;
import org.xbill.DNS.Rcode;
import org.xbill.DNS.Record;
import org.xbill.DNS.SRVRecord;
import org.xbill.DNS.Section;
import org.xbill.DNS.TXTRecord;
import org.xbill.DNS.Type;

/**
 * A toy DNS server on 127.0.0.1:8553 that answers from example/toy-dns.txt, read anew for each question: change a line
 * and see what the gatherer makes of it. Start it with {@code java -cp 'target/lib/*' example/ToyDns.java}.
 */
public final class ToyDns {
    private static final String SERVICE = "_calendar._tcp.toy.example.";
    private static final long TTL = 5;

    /** Serves until it is ended. */
    public static void main(String[] args) throws Exception {
        var socket = new DatagramSocket(8553, InetAddress.getByName("127.0.0.1"));
        System.out.println("toy DNS is up on 127.0.0.1:8553; end it with Ctrl-C");
        while (true) {
            var packet = new DatagramPacket(new byte[2048], 2048);
            socket.receive(packet);
            var query = new Message(Arrays.copyOf(packet.getData(), packet.getLength()));
            Record question = query.getQuestion();
            var answer = new Message(query.getHeader().getID());
            answer.getHeader().setFlag(Flags.QR);
            answer.addRecord(question, Section.QUESTION);
            boolean named = question.getName().toString().equals(SERVICE);
            for (String line : Files.readAllLines(Path.of("example/toy-dns.txt"))) {
                String[] w = line.trim().split("\\s+");
                if (line.isBlank() || line.startsWith("#")) {
                    continue;
                }
                Name host = Name.fromString(w[0] + ".");
                if (named && question.getType() == Type.SRV) {
                    answer.addRecord(new SRVRecord(question.getName(), DClass.IN, TTL, Integer.parseInt(w[2]),
                            Integer.parseInt(w[3]), Integer.parseInt(w[1]), host), Section.ANSWER);
                } else if (question.getName().equals(host)) {
                    named = true;
                    if (question.getType() == Type.A) {
                        answer.addRecord(new ARecord(host, DClass.IN, TTL, InetAddress.getByName("127.0.0.1")), Section.ANSWER);
                    } else if (question.getType() == Type.TXT) {
                        answer.addRecord(new TXTRecord(host, DClass.IN, TTL, List.of(w).subList(4, w.length)), Section.ANSWER);
                    }
                }
            }
            answer.getHeader().setRcode(named ? Rcode.NOERROR : Rcode.NXDOMAIN);
            System.out.println(question.getName() + " " + Type.string(question.getType()) + ": "
                    + answer.getSection(Section.ANSWER).size() + " records");
            byte[] wire = answer.toWire();
            socket.send(new DatagramPacket(wire, wire.length, packet.getSocketAddress()));
        }
    }
}
