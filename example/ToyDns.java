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
 * A toy DNS server on 127.0.0.1:8553 that answers from example/toy-dns.txt and reads the file again for each question:
 * change a line and watch how the gatherer reacts. Start it with {@code java -cp 'target/lib/*' example/ToyDns.java}.
 */
public final class ToyDns {
    private static final String SERVICE = "_calendar._tcp.toy.example.";
    private static final long TTL_SECONDS = 5;

    /** Answers questions until the process is ended. */
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
            boolean isKnownName = question.getName().toString().equals(SERVICE);
            for (String line : Files.readAllLines(Path.of("example/toy-dns.txt"))) {
                String[] fields = line.trim().split("\\s+");
                if (line.isBlank() || line.startsWith("#")) {
                    continue;
                }
                Name host = Name.fromString(fields[0] + ".");
                if (isKnownName && question.getType() == Type.SRV) {
                    answer.addRecord(new SRVRecord(question.getName(), DClass.IN, TTL_SECONDS, Integer.parseInt(fields[2]),
                            Integer.parseInt(fields[3]), Integer.parseInt(fields[1]), host), Section.ANSWER);
                } else if (question.getName().equals(host)) {
                    isKnownName = true;
                    if (question.getType() == Type.A) {
                        answer.addRecord(new ARecord(host, DClass.IN, TTL_SECONDS, InetAddress.getByName("127.0.0.1")), Section.ANSWER);
                    } else if (question.getType() == Type.TXT) {
                        answer.addRecord(new TXTRecord(host, DClass.IN, TTL_SECONDS, List.of(fields).subList(4, fields.length)), Section.ANSWER);
                    }
                }
            }
            answer.getHeader().setRcode(isKnownName ? Rcode.NOERROR : Rcode.NXDOMAIN);
            System.out.println(question.getName() + " " + Type.string(question.getType()) + ": "
                    + answer.getSection(Section.ANSWER).size() + " records");
            byte[] answerBytes = answer.toWire();
            socket.send(new DatagramPacket(answerBytes, answerBytes.length, packet.getSocketAddress()));
        }
    }
}
