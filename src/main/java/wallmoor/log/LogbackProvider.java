package wallmoor.log;

import ch.qos.logback.classic.LoggerContext;
import ch.qos.logback.classic.util.LogbackMDCAdapter;
import org.slf4j.ILoggerFactory;
import org.slf4j.IMarkerFactory;
import org.slf4j.helpers.BasicMarkerFactory;
import org.slf4j.spi.MDCAdapter;
import org.slf4j.spi.SLF4JServiceProvider;

/**
 * Logback without its search for a configuration: that search, and the messages it puts together about itself, are most
 * of what Logback costs a start (45 ms of processor time where the rest is 20). `Main` names this class to SLF4J.
 */
public final class LogbackProvider implements SLF4JServiceProvider {
    /** The version of SLF4J's interface that this was written to. */
    private static final String API = "2.0.99";

    private final LoggerContext context = new LoggerContext();
    private final IMarkerFactory markers = new BasicMarkerFactory();
    private final LogbackMDCAdapter adapter = new LogbackMDCAdapter();

    @Override
    public void initialize() {
        context.setName("default");
        context.setMDCAdapter(adapter);
        Logging.begin(context);
        context.start();
    }

    @Override
    public ILoggerFactory getLoggerFactory() {
        return context;
    }

    @Override
    public IMarkerFactory getMarkerFactory() {
        return markers;
    }

    @Override
    public MDCAdapter getMDCAdapter() {
        return adapter;
    }

    @Override
    public String getRequestedApiVersion() {
        return API;
    }
}
