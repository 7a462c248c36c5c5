package gingerspool.daemon;

import ch.qos.logback.classic.LoggerContext;
import ch.qos.logback.classic.encoder.JsonEncoder;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.core.ConsoleAppender;
import org.slf4j.LoggerFactory;

/** Selects the logging library. To be called once, before anything is logged. */
final class LogBackend {
    private LogBackend() {}

    /** Uses Logback for the format `json`; any other format keeps slf4j-simple. */
    static void select(String format) {
        if (!format.equals("json")) {
            return;
        }
        // The jar names slf4j-simple as the only provider, which saves each start the search for
        // others.
        System.setProperty("slf4j.internal.verbosity", "WARN");
        System.setProperty("slf4j.provider", "ch.qos.logback.classic.spi.LogbackServiceProvider");
        if (LoggerFactory.getILoggerFactory() instanceof LoggerContext context) {
            context.reset();
            JsonEncoder encoder = new JsonEncoder();
            encoder.setContext(context);
            encoder.setWithSequenceNumber(false);
            encoder.setWithContext(false);
            encoder.setWithNanoseconds(false);
            encoder.start();
            ConsoleAppender<ILoggingEvent> appender = new ConsoleAppender<>();
            appender.setContext(context);
            appender.setTarget("System.err");
            appender.setEncoder(encoder);
            appender.start();
            ch.qos.logback.classic.Logger root =
                    context.getLogger(org.slf4j.Logger.ROOT_LOGGER_NAME);
            root.setLevel(ch.qos.logback.classic.Level.INFO);
            root.addAppender(appender);
        }
    }
}
