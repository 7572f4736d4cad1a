package wallmoor.cli;

import static java.nio.charset.StandardCharsets.UTF_8;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;

/**
 * The result of a command line that was run in this process.
 *
 * @param code the exit code
 * @param out  the text on standard output
 * @param err  the text on standard error
 */
public record Console(int code, String out, String err) {
    /** Runs a command line and captures its output. */
    public static Console run(String... args) {
        PrintStream originalOut = System.out;
        PrintStream originalErr = System.err;
        var out = new ByteArrayOutputStream();
        var err = new ByteArrayOutputStream();
        System.setOut(new PrintStream(out, true));
        System.setErr(new PrintStream(err, true));
        try {
            int code = Commands.run(args);
            return new Console(code, out.toString(UTF_8), err.toString(UTF_8));
        } finally {
            System.setOut(originalOut);
            System.setErr(originalErr);
        }
    }

    /** Writes the lines to the file and runs the {@code plan} subcommand of a command on it, with JSON output. */
    static Console plan(String command, Path file, String... lines) throws IOException {
        Files.write(file, List.of(lines));
        return run(command, "plan", file.toString(), "--json");
    }
}
