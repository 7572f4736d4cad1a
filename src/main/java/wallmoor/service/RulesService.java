package wallmoor.service;

import java.io.IOException;
import java.util.Locale;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.slf4j.Marker;
import org.slf4j.MarkerFactory;
import wallmoor.config.LaunchConfig;
import wallmoor.config.RulesConfig;
import wallmoor.consensus.ConsensusService;
import wallmoor.consensus.RulesControlServer;
import wallmoor.log.Logging;
import wallmoor.rules.EffectiveRule;
import wallmoor.rules.RuleReader;

/** This gatherer's part in what all agree on, and its log: one line for each change of what it goes by. */
final class RulesService {
    private static final Marker STATE = MarkerFactory.getMarker(Logging.STATE);

    private final Logger log = LoggerFactory.getLogger(RulesService.class);
    private final RulesConfig config;
    private final Runnable changed;
    private final ConsensusService consensus;
    private final RulesControlServer control;

    /** {@code changed} is told that something is gone by in another way; it must not wait for long. */
    RulesService(RulesConfig config, LaunchConfig launch, Runnable changed) throws IOException {
        this.config = config;
        this.changed = changed;
        consensus = new ConsensusService(config, launch.name(), launch.seed(), this::onRuleChanged);
        control = config.control() == null ? null : new RulesControlServer(config.control(), launch.name(), consensus);
    }

    private void onRuleChanged(String name, EffectiveRule rule) {
        log.info(STATE, "rules: goes by {} {} to {}, as {}: {}", name, rule.activeVersion(), rule.latestVersion(),
                rule.basis().toString().toLowerCase(Locale.ROOT), rule.body().toJson());
        changed.run();
    }

    void start() {
        consensus.start();
        if (control != null) {
            control.start();
            log.info("telling of the rules on {}", config.control());
        }
    }

    /** What is gone by, for whoever acts. */
    RuleReader reader() {
        return consensus;
    }

    void leave() {
        log.info("leaving the rules: {}", consensus.counters());
        if (control != null) {
            control.close();
        }
        consensus.close();
    }
}
