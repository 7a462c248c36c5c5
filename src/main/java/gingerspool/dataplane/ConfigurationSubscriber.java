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
 * What a scheduler makes of the leader's pushes. Invariant: the version in force only goes up; a
 * push takes it to the version that the leader pushed, at once, or changes nothing. Each push is
 * answered, by an acknowledgement or by the request of a complete copy. For one thread, without
 * I/O.
 */
public final class ConfigurationSubscriber {
    private static final Logger LOG = LoggerFactory.getLogger(ConfigurationSubscriber.class);

    /** What follows from a push. */
    public interface Listener {
        /** This configuration is in force from now on. */
        void onConfiguration(Configuration configuration);

        /** A message for the leader. */
        void tellLeader(Object message);
    }

    private final Listener listener;
    private Configuration current = Configuration.getDefaultInstance();
    private long checksum;

    public ConfigurationSubscriber(Listener listener) {
        this.listener = listener;
    }

    /** The configuration in force; of version 0 while none has come. */
    public Configuration configuration() {
        return current;
    }

    /** A complete copy, newer, or again under the same number where ours was found to differ. */
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

    /** What leads from one version to a newer one. */
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
            listener.tellLeader(new Messages.ConfigurationRequest(current.getVersion()));
        }
    }

    /** Tells the leader what is in force; the checksum is made anew, so that damage to it shows. */
    public void report() {
        checksum = ConfigurationChecksum.of(current);
        acknowledge();
    }

    private void activate(Configuration configuration) {
        current = configuration;
        checksum = ConfigurationChecksum.of(configuration);
        listener.onConfiguration(configuration);
        acknowledge();
        LOG.info(
                "configuration.in_force version={} routes={} services={}",
                configuration.getVersion(),
                configuration.getRoutesCount(),
                configuration.getServicesCount());
    }

    private void acknowledge() {
        listener.tellLeader(new Messages.ConfigurationAck(current.getVersion(), checksum));
    }
}
