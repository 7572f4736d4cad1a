package wallmoor.standin;

import ch.qos.logback.classic.Logger;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.core.AppenderBase;
import java.util.List;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import org.slf4j.LoggerFactory;

/** Captures the messages of a package's loggers, in order, until it is closed. */
public final class LogCapture implements AutoCloseable {
    private final Queue<String> lines = new ConcurrentLinkedQueue<>();
    private final Logger logger;
    private final AppenderBase<ILoggingEvent> appender = new AppenderBase<>() {
        @Override
        protected void append(ILoggingEvent event) {
            lines.add(event.getFormattedMessage());
        }
    };

    /** Captures what this logger and those below it write, such as {@code wallmoor.operator}. */
    public LogCapture(String loggerName) {
        logger = (Logger) LoggerFactory.getLogger(loggerName);
        appender.setContext(logger.getLoggerContext());
        appender.start();
        logger.addAppender(appender);
    }

    /** Returns a copy of the formatted messages so far. */
    public List<String> lines() {
        return List.copyOf(lines);
    }

    @Override
    public void close() {
        logger.detachAppender(appender);
        appender.stop();
    }
}
