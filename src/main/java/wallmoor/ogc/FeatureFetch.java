package wallmoor.ogc;

import java.io.IOException;
import wallmoor.core.Attempt;
import wallmoor.core.AttemptOutcome;
import wallmoor.core.Gatherer;
import wallmoor.http.HttpProtocolException;

/** Runs one attempt at a feature server: reads the part's pages on one connection and reports the outcome. */
final class FeatureFetch {
    private final Attempt attempt;
    private final Gatherer gatherer;
    private final FetchConnection connection;

    /**
     * Creates an attempt, which {@link #run} starts.
     *
     * @param connectMillis the connect timeout in milliseconds
     */
    FeatureFetch(Attempt attempt, Gatherer gatherer, int connectMillis) {
        this.attempt = attempt;
        this.gatherer = gatherer;
        connection = new FetchConnection(attempt, gatherer, connectMillis);
    }

    /** Cancels the attempt; may be called from any thread. */
    void cancel(AttemptOutcome outcome) {
        connection.cancel(outcome);
    }

    /**
     * Runs the attempt on this thread and reports its outcome.
     *
     * @param idle an idle connection to use, or null to open a new one
     * @return the connection if another attempt may use it, else null
     */
    PooledConnection run(PooledConnection idle) {
        AttemptOutcome outcome;
        byte[] value = null;
        boolean reusable = false;
        try {
            FeatureQuery query = (FeatureQuery) attempt.query().attachment();
            if (connection.open(idle)) {
                value = new ShardPageReader(attempt, connection, query).read().encode();
                outcome = AttemptOutcome.SERVED;
                reusable = connection.isReusable();
            } else {
                outcome = AttemptOutcome.CONNECT_FAILED;
            }
        } catch (SendNotPermittedException e) {
            outcome = outcomeOf(e);
        } catch (ServerRejectedException e) {
            outcome = AttemptOutcome.REJECTED;
        } catch (IOException e) {
            outcome = connection.hasSent() ? AttemptOutcome.RESET : AttemptOutcome.CONNECT_FAILED;
        } catch (HttpProtocolException | RuntimeException | OutOfMemoryError e) {
            outcome = AttemptOutcome.ERROR;
        }
        if (!reusable) {
            connection.close();
        }
        // a complete value is reported as served even if the attempt was cancelled meanwhile
        gatherer.report(attempt, value != null ? outcome : connection.outcomeUnlessCancelled(outcome), value);
        return reusable ? connection.release() : null;
    }

    /** Returns the outcome of an attempt of which a request was not permitted; earlier ones may have run. */
    private AttemptOutcome outcomeOf(SendNotPermittedException refusal) {
        if (!connection.hasSent()) {
            return AttemptOutcome.NOT_SENT;
        }
        return refusal.isDeadlineExceeded() ? AttemptOutcome.TIMED_OUT : AttemptOutcome.RESET;
    }
}
