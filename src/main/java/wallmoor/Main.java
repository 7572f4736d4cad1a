package wallmoor;

import java.io.BufferedReader;
import java.io.InputStreamReader;
import java.io.OutputStreamWriter;
import java.io.PrintWriter;
import java.nio.charset.StandardCharsets;
import wallmoor.adapter.Adapter;
import wallmoor.adapter.WireException;

/** The command line: {@code adapter} speaks the simulator's wire on standard input and output. */
public final class Main {
    private Main() {
    }

    /** Runs a subcommand. Exits 0 at end of input, 1 on a malformed line, 2 on wrong usage. */
    public static void main(String[] args) throws java.io.IOException {
        if (args.length != 1 || !args[0].equals("adapter")) {
            System.err.println("usage: java -jar wallmoor.jar adapter");
            System.exit(2);
        }
        var in = new BufferedReader(new InputStreamReader(System.in, StandardCharsets.UTF_8), 1 << 16);
        var out = new PrintWriter(new OutputStreamWriter(System.out, StandardCharsets.UTF_8));
        try {
            new Adapter(in, out, System.err).run();
        } catch (WireException e) {
            System.err.println("wallmoor: " + e.getMessage());
            System.exit(1);
        }
    }
}
