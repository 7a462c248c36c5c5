package gingerspool.controlplane;

import gingerspool.settings.NodeSettings;
import gingerspool.wire.EventLoop;
import gingerspool.wire.JsonTree;
import java.util.List;
import java.util.function.BooleanSupplier;

/**
 * Reads the platform's lists of instances and hosts periodically while the lease holds, using a
 * fraction of the platform's rate limit. Owned by {@link LeaderDuties}, whose term it ends with;
 * runs on the event loop.
 */
final class PlatformListReader {
    /**
     * Shortest interval between two reads of the instance list, in multiples of the platform's list
     * delay.
     */
    private static final double READ_INTERVAL_LIST_DELAYS = 0.5;

    /** Fraction of the platform's rate limit that the lists may use. */
    private static final double RATE_FRACTION = 0.5;

    /** Instances on one page of the list; each page costs one call. */
    private static final int PAGE_SIZE = 100;

    /** Interval between two checks while the lease does not hold. */
    private static final double LEASE_CHECK_INTERVAL_MS = 50;

    /** Receives the lists; called on the event loop. */
    interface Listener {
        /** The complete list of instances, and the time at which it was requested. */
        void instancesListed(List<Object> instances, double requestedAt);

        void hostsListed(List<?> hosts);
    }

    private final EventLoop loop;
    private final NodeSettings settings;
    private final Platform platform;
    private final BooleanSupplier mayAct;
    private final Listener listener;
    private boolean isEnded;
    private double hostsDueAt;

    PlatformListReader(
            EventLoop loop,
            NodeSettings settings,
            Platform platform,
            BooleanSupplier mayAct,
            Listener listener) {
        this.loop = loop;
        this.settings = settings;
        this.platform = platform;
        this.mayAct = mayAct;
        this.listener = listener;
    }

    void end() {
        isEnded = true;
    }

    /** Reads the lists now and schedules the next read. */
    void read() {
        if (isEnded) {
            return;
        }
        if (!mayAct.getAsBoolean()) {
            loop.schedule(LEASE_CHECK_INTERVAL_MS, this::read);
            return;
        }
        double requestedAt = loop.now();
        platform.instances(instances -> onInstances(instances, requestedAt));
        if (requestedAt >= hostsDueAt) {
            hostsDueAt = requestedAt + settings.platformListDelay;
            platform.hosts(this::onHosts);
        }
    }

    /** The list is null if a page could not be read. */
    private void onInstances(List<Object> instances, double requestedAt) {
        int callCount = 1;
        if (instances != null && !isEnded) {
            listener.instancesListed(instances, requestedAt);
            callCount = 1 + instances.size() / PAGE_SIZE;
        }
        double rateInterval = 1000 * callCount / (RATE_FRACTION * settings.platformRate);
        loop.schedule(
                Math.max(READ_INTERVAL_LIST_DELAYS * settings.platformListDelay, rateInterval),
                this::read);
    }

    private void onHosts(Platform.Response response) {
        if (response.status() == 200
                && JsonTree.at(response.body(), "Workers") instanceof List<?> hosts
                && !isEnded) {
            listener.hostsListed(hosts);
        }
    }
}
