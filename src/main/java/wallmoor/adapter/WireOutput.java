package wallmoor.adapter;

import java.io.PrintWriter;

/** Writes the replies to a batch: a line names the gatherer that speaks wherever another one spoke before. */
final class WireOutput {
    private static final int NOBODY = -1;

    private final PrintWriter out;
    private int speaker = NOBODY;

    WireOutput(PrintWriter out) {
        this.out = out;
    }

    /** A batch begins: nobody has spoken in it. */
    void beginBatch() {
        speaker = NOBODY;
    }

    /** Writes a line of a gatherer. */
    void write(int gatherer, String line) {
        if (speaker != gatherer) {
            speaker = gatherer;
            out.print("SOURCE " + gatherer + "\n");
        }
        out.print(line + "\n");
    }

    /** Ends the batch of this round and sends all of it. */
    void endBatch(String round) {
        out.print("OK " + round + "\n");
        out.flush();
    }
}
