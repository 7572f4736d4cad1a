package wallmoor.adapter;

import java.util.HexFormat;
import wallmoor.decision.RoutingActions;

/** Writes the actions of one gatherer's routing policy as lines of the simulator's wire protocol. */
final class ActionWriter implements RoutingActions {
    private static final int ALL_GATHERERS = -1;

    private final WireOutput out;
    private final int gatherer;

    ActionWriter(WireOutput out, int gatherer) {
        this.out = out;
        this.gatherer = gatherer;
    }

    private void write(String line) {
        out.write(gatherer, line);
    }

    /** Reports an exception that the policy threw to the simulator. */
    void writeBug(RuntimeException exception) {
        write("BUG " + String.valueOf(exception).replaceAll("\\s+", " "));
    }

    @Override
    public void startAttempt(String part, String worker, long giveUpAfter, long beginWithin) {
        write("ASSIGN " + part + " " + worker + " " + giveUpAfter); // the simulator begins an attempt at once
    }

    @Override
    public void cancelAttempt(String part, int attempt) {
        write("STOP_ATTEMPT " + part + " " + attempt);
    }

    @Override
    public void answer(String query, boolean complete) {
        write("ANSWER " + query + (complete ? " 1" : " 0"));
    }

    @Override
    public void reject(String query, long retryAfter) {
        write("BOUNCE " + query + " " + retryAfter);
    }

    @Override
    public void fail(String query) {
        write("GIVE_UP " + query);
    }

    @Override
    public void scheduleTimer(long delay, String token) {
        write("SLEEP " + delay + " " + token);
    }

    @Override
    public void closeIdleConnections(String worker) {
        write("DROP_CONNS " + worker);
    }

    @Override
    public void broadcast(byte[] contents) {
        String hex = contents.length == 0 ? MessageLine.ABSENT : HexFormat.of().formatHex(contents);
        write("PUBLISH " + ALL_GATHERERS + " " + hex);
    }

    @Override
    public void watchWorkerList() {
        write("STREAM_CHANGES 1");
    }

    @Override
    public void log(String line) {
        write("WRITE_LOG " + line);
    }
}
