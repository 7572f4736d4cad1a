package wallmoor.standin;

import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.Logger;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.core.AppenderBase;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import org.slf4j.LoggerFactory;

/** The lines at warn or error of a package's loggers, from when this is made until it is closed. Any thread. */
public final class CapturedWarnings implements AutoCloseable {
    private final Logger logger;
    private final List<String> messages = new CopyOnWriteArrayList<>();
    private final AppenderBase<ILoggingEvent> appender = new AppenderBase<>() {
        @Override
        protected void append(ILoggingEvent event) {
            if (event.getLevel().isGreaterOrEqual(Level.WARN)) {
                messages.add(event.getFormattedMessage());
            }
        }
    };

    /** Of the loggers below a name. */
    public CapturedWarnings(String loggerName) {
        logger = (Logger) LoggerFactory.getLogger(loggerName);
        appender.setContext(logger.getLoggerContext());
        appender.start();
        logger.addAppender(appender);
    }

    /** The lines so far, as they were formatted. */
    public List<String> messages() {
        return List.copyOf(messages);
    }

    @Override
    public void close() {
        logger.detachAppender(appender);
    }
}
