package wallmoor.log;

import ch.qos.logback.classic.LoggerContext;
import ch.qos.logback.classic.util.LogbackMDCAdapter;
import org.slf4j.ILoggerFactory;
import org.slf4j.IMarkerFactory;
import org.slf4j.helpers.BasicMarkerFactory;
import org.slf4j.spi.MDCAdapter;
import org.slf4j.spi.SLF4JServiceProvider;

/**
 * Provides Logback to SLF4J without its search for a configuration. That search, with Logback's own status messages,
 * takes 45 ms of processor time at the start, and the rest of Logback 20 ms. {@code Main} names this class to SLF4J.
 */
public final class LogbackProvider implements SLF4JServiceProvider {
    /** The version of the SLF4J API that this class implements. */
    private static final String API_VERSION = "2.0.99";

    private final LoggerContext context = new LoggerContext();
    private final IMarkerFactory markers = new BasicMarkerFactory();
    private final LogbackMDCAdapter adapter = new LogbackMDCAdapter();

    @Override
    public void initialize() {
        context.setName("default");
        context.setMDCAdapter(adapter);
        Logging.configureDefaults(context);
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
        return API_VERSION;
    }
}
