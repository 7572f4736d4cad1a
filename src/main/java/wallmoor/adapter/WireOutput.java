package wallmoor.adapter;

import java.io.PrintWriter;

/** Writes the replies to a batch. A SOURCE line comes before each run of lines from the same gatherer. */
final class WireOutput {
    private static final int NO_GATHERER = -1;

    private final PrintWriter out;
    private int lastGatherer = NO_GATHERER;

    WireOutput(PrintWriter out) {
        this.out = out;
    }

    /** Begins a batch, in which no gatherer has written a line yet. */
    void beginBatch() {
        lastGatherer = NO_GATHERER;
    }

    /** Writes a line from a gatherer. */
    void write(int gatherer, String line) {
        if (lastGatherer != gatherer) {
            lastGatherer = gatherer;
            out.print("SOURCE " + gatherer + "\n");
        }
        out.print(line + "\n");
    }

    /** Ends the batch of a round and flushes the replies. */
    void endBatch(String round) {
        out.print("OK " + round + "\n");
        out.flush();
    }
}
