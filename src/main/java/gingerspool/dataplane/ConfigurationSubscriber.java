package gingerspool.dataplane;

import com.google.protobuf.InvalidProtocolBufferException;
import gingerspool.codec.Messages;
import gingerspool.configuration.Configuration;
import gingerspool.configuration.ConfigurationChanges;
import gingerspool.configuration.ConfigurationChecksum;
import gingerspool.configuration.ConfigurationDelta;
import gingerspool.configuration.DeltaMismatchException;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Applies the configurations that the leader pushes to a scheduler. Invariant: the current version
 * never decreases; a push either takes it to the pushed version in one step or changes nothing. A
 * push is answered with an acknowledgement, or with a request for a complete copy if a delta
 * doesn't fit. Called by {@link SchedulerNode} on its event loop; not thread-safe, performs no I/O.
 */
public final class ConfigurationSubscriber {
    private static final Logger LOG = LoggerFactory.getLogger(ConfigurationSubscriber.class);

    /** Carries out the effects of a push. */
    public interface Listener {
        /** Puts this configuration in force; it is the current one once this returns. */
        void onConfiguration(Configuration configuration);

        /** Sends a message to the leader. */
        void sendToLeader(Object message);
    }

    private final Listener listener;
    private Configuration current = Configuration.getDefaultInstance();
    private long checksum;

    public ConfigurationSubscriber(Listener listener) {
        this.listener = listener;
    }

    /** The current configuration; its version is 0 until the first push. */
    public Configuration configuration() {
        return current;
    }

    /**
     * Receives a complete configuration: a newer version, or the current version again because the
     * local copy was found to differ from it.
     */
    public void receive(Messages.ConfigurationPush push) {
        boolean isRepair = push.again() && push.number() == current.getVersion();
        if (push.number() <= current.getVersion() && !isRepair) {
            acknowledge();
            return;
        }
        try {
            activate(Configuration.parseFrom(push.configuration()));
        } catch (InvalidProtocolBufferException e) {
            LOG.warn(
                    "configuration.unreadable version={} why=\"{}\"",
                    push.number(),
                    e.getMessage());
        }
    }

    /** Receives the changes from one version to a newer one. */
    public void receive(Messages.ConfigurationDeltaPush push) {
        if (push.number() <= current.getVersion()) {
            acknowledge();
            return;
        }
        try {
            activate(
                    ConfigurationDelta.apply(
                            current, ConfigurationChanges.parseFrom(push.changes())));
        } catch (InvalidProtocolBufferException | DeltaMismatchException e) {
            LOG.warn(
                    "configuration.delta_mismatch version={} why=\"{}\"",
                    push.number(),
                    e.getMessage());
            listener.sendToLeader(new Messages.ConfigurationRequest(current.getVersion()));
        }
    }

    /**
     * Reports the current version to the leader. The checksum is recomputed so that damage to the
     * local copy is detected.
     */
    public void report() {
        checksum = ConfigurationChecksum.of(current);
        acknowledge();
    }

    /**
     * Puts a configuration in force. Guards against reporting what is not in force: one that the
     * listener fails to apply is neither current nor acknowledged, so that the leader repeats it.
     */
    private void activate(Configuration configuration) {
        try {
            listener.onConfiguration(configuration);
        } catch (RuntimeException e) {
            LOG.error("configuration.not_applied version={}", configuration.getVersion(), e);
            return;
        }
        current = configuration;
        checksum = ConfigurationChecksum.of(configuration);
        acknowledge();
        LOG.info(
                "configuration.in_force version={} routes={} services={}",
                configuration.getVersion(),
                configuration.getRoutesCount(),
                configuration.getServicesCount());
    }

    private void acknowledge() {
        listener.sendToLeader(new Messages.ConfigurationAck(current.getVersion(), checksum));
    }
}
