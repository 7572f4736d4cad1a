package wallmoor.service;

import java.io.IOException;
import java.util.Locale;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.slf4j.Marker;
import org.slf4j.MarkerFactory;
import wallmoor.agreement.Agreement;
import wallmoor.agreement.RulesControl;
import wallmoor.config.Launch;
import wallmoor.config.RulesConfig;
import wallmoor.log.Logging;
import wallmoor.versions.Act;
import wallmoor.versions.Acting;

/** This gatherer's part in what all agree on, and its log: one line for each change of what it goes by. */
final class Rules {
    private static final Marker STATE = MarkerFactory.getMarker(Logging.STATE);

    private final Logger log = LoggerFactory.getLogger(Rules.class);
    private final RulesConfig config;
    private final Runnable changed;
    private final Agreement agreement;
    private final RulesControl control;

    /** {@code changed} is told that something is gone by in another way; it must not wait for long. */
    Rules(RulesConfig config, Launch launch, Runnable changed) throws IOException {
        this.config = config;
        this.changed = changed;
        agreement = new Agreement(config, launch.name(), launch.seed(), this::changed,
                line -> log.info(STATE, "rules: {}", line),
                line -> log.warn("rules: {}", line));
        control = config.control() == null ? null : new RulesControl(config.control(), launch.name(), agreement);
    }

    private void changed(String name, Act act) {
        log.info(STATE, "rules: goes by {} {} to {}, as {}: {}", name, act.from(), act.to(),
                act.basis().toString().toLowerCase(Locale.ROOT), act.body().json());
        changed.run();
    }

    void start() {
        agreement.start();
        if (control != null) {
            control.start();
            log.info("telling of the rules on {}", config.control());
        }
    }

    /** What is gone by, for whoever acts. */
    Acting acting() {
        return agreement;
    }

    void leave() {
        log.info("leaving the rules: {}", agreement.counters());
        if (control != null) {
            control.close();
        }
        agreement.close();
    }
}
