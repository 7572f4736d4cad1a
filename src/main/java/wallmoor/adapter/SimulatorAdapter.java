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
 * Hosts the routing policies of many gatherers in one process and speaks the simulator's wire for them. It decides
 * nothing. Events come in batches, each of one moment; the policies decide at its end. Single-threaded.
 */
public final class SimulatorAdapter {
    private static final int NO_GATHERER = -1;

    private final BufferedReader in;
    private final PrintStream err;
    private final WireOutput out;
    private final EventReader events = new EventReader();
    private final Map<Integer, HostedGatherer> gatherers = new HashMap<>();
    /** The gatherers that had an event in this batch, in the order of their first one. */
    private final Set<Integer> withEvents = new LinkedHashSet<>();
    private long lineNumber;
    /** The time of the batch: microseconds of the simulator's clock. */
    private long now;
    private String round;
    /** The gatherer that events are for. */
    private int current = NO_GATHERER;

    /** Makes an adapter; stack traces of a policy that fails go to {@code err}. */
    public SimulatorAdapter(BufferedReader in, PrintWriter out, PrintStream err) {
        this.in = in;
        this.out = new WireOutput(out);
        this.err = err;
    }

    /**
     * Answers batches until the input ends.
     *
     * @throws WireFormatException if a line can't be read
     */
    public void run() throws IOException {
        for (MessageLine line = read(); line != null; line = read()) {
            if (line.name.equals("GO")) {
                endBatch();
            } else if (!line.name.isEmpty()) {
                handleGuarded(line);
            }
        }
    }

    private MessageLine read() throws IOException {
        String text = in.readLine();
        lineNumber++;
        return text == null ? null : new MessageLine(lineNumber, text);
    }

    /** Handles a line; what a policy throws is told to the simulator and ends nothing. */
    private void handleGuarded(MessageLine line) throws IOException {
        try {
            handle(line);
        } catch (WireFormatException e) {
            throw e;
        } catch (RuntimeException e) {
            reportBug(current, e);
        }
    }

    private void handle(MessageLine line) throws IOException {
        switch (line.name) {
            case "TURN" -> beginBatch(line);
            case "SWITCH_TO" -> current = line.intValue("I");
            case "INVENTORY" -> inventory(line);
            case "CRASH_NOW" -> {
                gatherers.remove(current);
                withEvents.remove(current);
            }
            case "START" -> start(line);
            default -> event(line);
        }
    }

    private void beginBatch(MessageLine line) {
        now = line.longValue("AtTime");
        round = line.text("round");
        withEvents.clear();
        current = NO_GATHERER;
        out.beginBatch();
    }

    private void inventory(MessageLine line) throws IOException {
        int number = line.intValue("Sheet");
        int count = line.intValue("Elements");
        var entries = new ArrayList<WorkerListEntry>();
        for (int i = 0; i < count; i++) {
            MessageLine item = read();
            if (item == null || !item.name.equals("ITEM")) {
                throw line.malformed("Elements", "promises " + count + " ITEM lines, found " + i);
            }
            entries.add(EventReader.entry(item));
        }
        events.addInventory(number, entries);
    }

    private void start(MessageLine line) {
        long seed = line.longValue("Prng");
        var reader = new SettingsReader(line.remainingPairs("Params"));
        HostedGatherer gatherer;
        try {
            var policy = new RoutingPolicy(reader.settings(), seed, new ActionWriter(out, current));
            gatherer = new HostedGatherer(current, policy, reader.columns());
        } catch (ConfigException e) {
            throw line.malformed("Params", e.getMessage());
        } catch (IllegalArgumentException | NullPointerException e) {
            throw line.malformed("Params", "is refused: " + e.getMessage());
        }
        gatherers.put(current, gatherer);
        withEvents.add(current);
        gatherer.policy().onStart(now);
    }

    /** An event for the current gatherer; one that crashed gets none. */
    private void event(MessageLine line) {
        HostedGatherer gatherer = gatherers.get(current);
        if (gatherer != null) {
            withEvents.add(current);
            events.deliver(line, gatherer, now);
        }
    }

    private void endBatch() {
        for (int number : withEvents) {
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

    private void reportBug(int number, RuntimeException thrown) {
        thrown.printStackTrace(err);
        new ActionWriter(out, number).writeBug(thrown);
    }
}
