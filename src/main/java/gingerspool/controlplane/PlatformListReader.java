package gingerspool.controlplane;

import gingerspool.settings.NodeSettings;
import gingerspool.wire.EventLoop;
import gingerspool.wire.JsonTree;
import java.util.List;
import java.util.function.BooleanSupplier;

/**
 * Reads the platform's lists of instances and hosts again and again, while the lease holds, within
 * a part of the platform's rate. Runs on the loop; ends with the leader's term.
 */
final class PlatformListReader {
    /** The instances are listed so often, in parts of how late the list is. */
    private static final double READ_INTERVAL_LIST_DELAYS = 0.5;

    /** The part of the platform's rate of calls that lists may take. */
    private static final double RATE_FRACTION = 0.5;

    /** Instances on one page of the list, each of which is a call. */
    private static final int PAGE_SIZE = 100;

    /** The pause while the lease does not hold, in milliseconds. */
    private static final double LEASE_CHECK_INTERVAL_MS = 50;

    /** Who is told what the lists say. */
    interface Listener {
        /** The complete list of instances, and when it was asked for. */
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

    /** Reads the lists now, and again after a pause. */
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

    /** The instances are null where a page could not be had. */
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
