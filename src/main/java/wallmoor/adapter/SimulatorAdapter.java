package wallmoor.adapter;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.PrintStream;
import java.io.PrintWriter;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;
import wallmoor.config.ConfigException;
import wallmoor.config.SettingsReader;
import wallmoor.decision.RoutingPolicy;
import wallmoor.decision.WorkerListEntry;

/**
 * Hosts the routing policies of many gatherers in one process and connects them to the simulator by its wire protocol.
 * It makes no decisions. Events come in batches, each for one time; the policies decide at the end of a batch. Not
 * thread-safe.
 */
public final class SimulatorAdapter {
    private static final int NO_GATHERER = -1;

    private final BufferedReader in;
    private final PrintStream err;
    private final WireOutput out;
    private final EventReader events = new EventReader();
    private final Map<Integer, HostedGatherer> gatherers = new HashMap<>();
    /** The gatherers with an event in this batch, in the order of their first one. */
    private final Set<Integer> gatherersWithEvents = new LinkedHashSet<>();
    private long lineNumber;
    /** The time of the batch in microseconds of the simulator's clock. */
    private long now;
    private String round;
    /** The number of the gatherer that receives the next events. */
    private int currentGatherer = NO_GATHERER;

    /**
     * Creates an adapter.
     *
     * @param err receives the stack traces of exceptions that policies throw
     */
    public SimulatorAdapter(BufferedReader in, PrintWriter out, PrintStream err) {
        this.in = in;
        this.out = new WireOutput(out);
        this.err = err;
    }

    /**
     * Handles batches until the input ends.
     *
     * @throws WireFormatException if a line is malformed
     */
    public void run() throws IOException {
        for (MessageLine line = readLine(); line != null; line = readLine()) {
            if (line.name.equals("GO")) {
                endBatch();
            } else if (!line.name.isEmpty()) {
                handleAndReportBugs(line);
            }
        }
    }

    private MessageLine readLine() throws IOException {
        String text = in.readLine();
        lineNumber++;
        return text == null ? null : new MessageLine(lineNumber, text);
    }

    /** Handles a line. An exception that a policy throws is reported to the simulator, and the run goes on. */
    private void handleAndReportBugs(MessageLine line) throws IOException {
        try {
            handle(line);
        } catch (WireFormatException e) {
            throw e;
        } catch (RuntimeException e) {
            reportBug(currentGatherer, e);
        }
    }

    private void handle(MessageLine line) throws IOException {
        switch (line.name) {
            case "TURN" -> beginBatch(line);
            case "SWITCH_TO" -> currentGatherer = line.intValue("I");
            case "INVENTORY" -> readInventory(line);
            case "CRASH_NOW" -> {
                gatherers.remove(currentGatherer);
                gatherersWithEvents.remove(currentGatherer);
            }
            case "START" -> startGatherer(line);
            default -> deliverEvent(line);
        }
    }

    private void beginBatch(MessageLine line) {
        now = line.longValue("AtTime");
        round = line.text("round");
        gatherersWithEvents.clear();
        currentGatherer = NO_GATHERER;
        out.beginBatch();
    }

    private void readInventory(MessageLine line) throws IOException {
        int number = line.intValue("Sheet");
        int count = line.intValue("Elements");
        var entries = new ArrayList<WorkerListEntry>();
        for (int i = 0; i < count; i++) {
            MessageLine item = readLine();
            if (item == null || !item.name.equals("ITEM")) {
                throw line.malformed("Elements", "is " + count + ", but only " + i + " ITEM lines follow");
            }
            entries.add(EventReader.readEntry(item));
        }
        events.addInventory(number, entries);
    }

    private void startGatherer(MessageLine line) {
        long seed = line.longValue("Prng");
        var reader = new SettingsReader(line.remainingPairs("Params"));
        HostedGatherer gatherer;
        try {
            var policy = new RoutingPolicy(reader.settings(), seed, new ActionWriter(out, currentGatherer));
            gatherer = new HostedGatherer(currentGatherer, policy, reader.columns());
        } catch (ConfigException e) {
            throw line.malformed("Params", e.getMessage());
        } catch (IllegalArgumentException | NullPointerException e) {
            throw line.malformed("Params", "is refused: " + e.getMessage());
        }
        gatherers.put(currentGatherer, gatherer);
        gatherersWithEvents.add(currentGatherer);
        gatherer.policy().onStart(now);
    }

    /** Delivers an event to the current gatherer, unless it has crashed or was not started. */
    private void deliverEvent(MessageLine line) {
        HostedGatherer gatherer = gatherers.get(currentGatherer);
        if (gatherer != null) {
            gatherersWithEvents.add(currentGatherer);
            events.deliver(line, gatherer, now);
        }
    }

    private void endBatch() {
        for (int number : gatherersWithEvents) {
            HostedGatherer gatherer = gatherers.get(number);
            if (gatherer != null) {
                try {
                    gatherer.policy().onRoundEnd(now);
                } catch (RuntimeException e) {
                    reportBug(number, e);
                }
            }
        }
        out.endBatch(round);
    }

    private void reportBug(int gatherer, RuntimeException exception) {
        exception.printStackTrace(err);
        new ActionWriter(out, gatherer).writeBug(exception);
    }
}
