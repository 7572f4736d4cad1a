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

/** Runs this gatherer's part in the consensus on rules, and logs each change of a rule in effect. */
final class RulesService {
    private static final Logger LOG = LoggerFactory.getLogger(RulesService.class);
    private static final Marker STATE = MarkerFactory.getMarker(Logging.STATE);

    private final RulesConfig config;
    private final Runnable onChange;
    private final ConsensusService consensus;
    private final RulesControlServer control;

    /**
     * Creates it; nothing runs before {@link #start}.
     *
     * @param onChange is called on the consensus thread when a rule in effect has changed; must not block for long
     * @throws IOException if the stored state can't be read or the control port can't be bound
     */
    RulesService(RulesConfig config, LaunchConfig launch, Runnable onChange) throws IOException {
        this.config = config;
        this.onChange = onChange;
        consensus = new ConsensusService(config, launch.name(), launch.seed(), this::onRuleChanged);
        control = config.control() == null ? null : new RulesControlServer(config.control(), launch.name(), consensus);
    }

    private void onRuleChanged(String name, EffectiveRule rule) {
        LOG.info(STATE, "rule in effect changed: name={} active={} latest={} basis={} body={}", name,
                rule.activeVersion(), rule.latestVersion(), rule.basis().toString().toLowerCase(Locale.ROOT),
                rule.body().toJson());
        onChange.run();
    }

    /** Starts the consensus, and the control port where one is configured. */
    void start() {
        consensus.start();
        if (control != null) {
            control.start();
            LOG.info("rules control port open: address={}", config.control());
        }
    }

    /** Returns the source of the rules in effect. */
    RuleReader reader() {
        return consensus;
    }

    /** Closes the control port, then the consensus; the lease is not released but expires. */
    void close() {
        LOG.info("rules closing: {}", consensus.counters());
        if (control != null) {
            control.close();
        }
        consensus.close();
    }
}
