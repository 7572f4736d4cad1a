package wallmoor.cli;

import static java.nio.charset.StandardCharsets.UTF_8;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;

/** What a command line ended with and printed, run in this process. */
public record Console(int code, String out, String err) {
    public static Console run(String... args) {
        PrintStream wasOut = System.out;
        PrintStream wasErr = System.err;
        var out = new ByteArrayOutputStream();
        var err = new ByteArrayOutputStream();
        System.setOut(new PrintStream(out, true));
        System.setErr(new PrintStream(err, true));
        try {
            int code = Commands.run(args);
            return new Console(code, out.toString(UTF_8), err.toString(UTF_8));
        } finally {
            System.setOut(wasOut);
            System.setErr(wasErr);
        }
    }

    /** Has a command plan by a file of these lines, and print JSON. */
    static Console plan(String command, Path file, String... lines) throws IOException {
        Files.write(file, List.of(lines));
        return run(command, "plan", file.toString(), "--json");
    }
}
