package gingerspool.daemon;

import gingerspool.wire.ClientEndpoint;
import gingerspool.wire.ConnectionSteering;
import gingerspool.wire.EventLoop;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.concurrent.Future;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Claims new connections for this process while the process before it still listens at the same
 * address, and verifies regularly that they keep arriving here. Belongs to {@link Daemon}.
 *
 * <p>Thread: the event loop.
 */
final class ConnectionClaims {
    private static final Logger LOG = LoggerFactory.getLogger(ConnectionClaims.class);

    /** The delay before a claim that found no listener is repeated, in milliseconds. */
    private static final double RETRY_DELAY_MS = 20;

    private final EventLoop loop;
    private final ConnectionSteering steering;
    private final ClientEndpoint clients;

    /** How often a successful claim is verified, in milliseconds. */
    private final double verifyInterval;

    /** Whether the previous process is alive and no successor has the clients. */
    private final BooleanSupplier sharesClientsWithPredecessor;

    /** The timer of the next claim or verification; null before the first claim has ended. */
    private Future<?> nextClaim;

    /**
     * @param verifyInterval how often a successful claim is verified, in milliseconds
     * @param sharesClientsWithPredecessor whether the previous process is alive and no successor
     *     has the clients; claims are verified only while it holds
     */
    ConnectionClaims(
            EventLoop loop,
            ConnectionSteering steering,
            ClientEndpoint clients,
            double verifyInterval,
            BooleanSupplier sharesClientsWithPredecessor) {
        this.loop = loop;
        this.steering = steering;
        this.clients = clients;
        this.verifyInterval = verifyInterval;
        this.sharesClientsWithPredecessor = sharesClientsWithPredecessor;
    }

    /** The number of this process's listener. */
    int listenerNumber() {
        return steering.member();
    }

    /**
     * Claims new connections, which go to the previous process's listener until then; reports
     * whether they arrive here.
     */
    void claim(int predecessorListener, Consumer<Boolean> done) {
        clients.claim(
                steering,
                predecessorListener,
                outcome -> claimEnded(outcome, predecessorListener, done));
    }

    private void claimEnded(
            ConnectionSteering.Outcome outcome, int predecessorListener, Consumer<Boolean> done) {
        if (outcome == ConnectionSteering.Outcome.NOT_FOUND
                && sharesClientsWithPredecessor.getAsBoolean()) {
            schedule(RETRY_DELAY_MS, () -> claim(predecessorListener, done));
            return;
        }
        boolean claimed = outcome == ConnectionSteering.Outcome.CLAIMED;
        if (claimed && sharesClientsWithPredecessor.getAsBoolean()) {
            schedule(verifyInterval, this::verify);
        }
        done.accept(claimed);
    }

    private void schedule(double delay, Runnable claim) {
        if (nextClaim != null) {
            nextClaim.cancel(false);
        }
        nextClaim = loop.schedule(delay, claim);
    }

    /**
     * Guards against a third process that closes its listener: the kernel then renumbers the
     * others, so that they receive each other's connections.
     */
    private void verify() {
        if (sharesClientsWithPredecessor.getAsBoolean() && !steering.isClaiming()) {
            clients.verifyClaim(steering, this::verifyEnded);
        }
    }

    private void verifyEnded(boolean holds) {
        if (!sharesClientsWithPredecessor.getAsBoolean() || steering.isClaiming()) {
            return;
        }
        if (holds) {
            schedule(verifyInterval, this::verify);
        } else {
            claim(steering.member(), claimed -> {});
        }
    }

    /** Cancels the claim in progress. */
    void cancel() {
        steering.cancel();
    }

    /** Lets new connections go to any listener, once this process has the only one. */
    void release() {
        try {
            steering.release(((InetSocketAddress) clients.address()).getPort());
        } catch (IOException e) {
            // The process no longer listens, so there is no claim to release.
            LOG.atDebug().addKeyValue("why", e.getMessage()).log("steering.unavailable");
        }
    }
}
