package wallmoor.ogc;

import java.io.IOException;
import wallmoor.core.Attempt;
import wallmoor.core.AttemptOutcome;
import wallmoor.core.Gatherer;
import wallmoor.http.HttpProtocolException;
import wallmoor.json.Json;

/** One attempt at a feature server: reads the part's pages on one connection, and reports its outcome. */
final class FeatureFetch {
    private final Attempt attempt;
    private final Gatherer gatherer;
    private final FetchConnection connection;

    /**
     * An attempt that is not begun.
     *
     * @param connectMillis how long a connect may take at most, in milliseconds
     */
    FeatureFetch(Attempt attempt, Gatherer gatherer, int connectMillis) {
        this.attempt = attempt;
        this.gatherer = gatherer;
        connection = new FetchConnection(attempt, gatherer, connectMillis);
    }

    /** Cancels the attempt, from any thread. */
    void cancel(AttemptOutcome outcome) {
        connection.cancel(outcome);
    }

    /**
     * Runs the attempt on this thread and reports it.
     *
     * @param idle a connection to use, or null for a new one
     * @return a connection that can be used again, or null
     */
    PooledConnection run(PooledConnection idle) {
        AttemptOutcome outcome;
        byte[] value = null;
        boolean keep = false;
        try {
            FeatureQuery query = (FeatureQuery) attempt.query().attachment();
            if (connection.open(idle)) {
                value = new ShardPageReader(attempt, connection, query).read().encode();
                outcome = AttemptOutcome.SERVED;
                keep = connection.reusable();
            } else {
                outcome = AttemptOutcome.CONNECT_FAILED;
            }
        } catch (SendNotPermittedException e) {
            outcome = AttemptOutcome.NOT_SENT;
        } catch (ServerRejectedException e) {
            outcome = AttemptOutcome.REJECTED;
        } catch (IOException e) {
            outcome = connection.hasSent() ? AttemptOutcome.RESET : AttemptOutcome.CONNECT_FAILED;
        } catch (HttpProtocolException | Json.Malformed | RuntimeException | OutOfMemoryError e) {
            outcome = AttemptOutcome.ERROR;
        }
        if (!keep) {
            connection.close();
        }
        // a value that came in complete counts, even if it crossed the cancel
        gatherer.report(attempt, value != null ? outcome : connection.outcomeUnlessCancelled(outcome), value);
        return keep ? connection.release() : null;
    }
}
