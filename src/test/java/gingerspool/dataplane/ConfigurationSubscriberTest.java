package gingerspool.dataplane;

import static org.testng.Assert.assertEquals;

import gingerspool.codec.Messages;
import gingerspool.configuration.Configuration;
import gingerspool.configuration.Service;
import java.util.ArrayList;
import java.util.List;
import org.testng.annotations.Test;

public class ConfigurationSubscriberTest implements ConfigurationSubscriber.Listener {
    private final List<Object> sentMessages = new ArrayList<>();
    private final List<Long> appliedVersions = new ArrayList<>();
    private boolean isFailing;

    @Override
    public void onConfiguration(Configuration configuration) {
        if (isFailing) {
            throw new IllegalStateException("can't be applied");
        }
        appliedVersions.add(configuration.getVersion());
    }

    @Override
    public void sendToLeader(Object message) {
        sentMessages.add(((Messages.ConfigurationAck) message).number());
    }

    private static Messages.ConfigurationPush push(long version) {
        Configuration configuration =
                Configuration.newBuilder()
                        .setVersion(version)
                        .addServices(Service.newBuilder().setName("f"))
                        .build();
        return new Messages.ConfigurationPush(version, configuration.toByteArray(), false);
    }

    /**
     * Guards against a version that is reported as in force though it was applied in part or not at
     * all: the leader would never push it again.
     */
    @Test
    public void aConfigurationThatFailsToApplyIsNotReportedAndMayComeAgain() {
        ConfigurationSubscriber subscriber = new ConfigurationSubscriber(this);
        subscriber.receive(push(3));
        isFailing = true;
        subscriber.receive(push(5));
        assertEquals(subscriber.configuration().getVersion(), 3);
        subscriber.report();
        isFailing = false;
        subscriber.receive(push(5));
        assertEquals(sentMessages, List.of(3L, 3L, 5L));
        assertEquals(appliedVersions, List.of(3L, 5L));
    }
}
