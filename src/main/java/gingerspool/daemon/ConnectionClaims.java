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
 * Has new connections come to this process while another one listens beside it, and sees to it that
 * they go on to.
 *
 * <p>Thread: the event loop.
 */
final class ConnectionClaims {
    private static final Logger LOG = LoggerFactory.getLogger(ConnectionClaims.class);

    /** A claim that found no listener is made again so soon, in milliseconds. */
    private static final double RETRY_DELAY_MS = 20;

    private final EventLoop loop;
    private final ConnectionSteering steering;
    private final ClientEndpoint clients;
    private final double verifyInterval;
    private final BooleanSupplier sharesClientsWithPredecessor;

    /** When new connections are claimed once more; null before the first claim has ended. */
    private Future<?> nextClaim;

    /**
     * Claims that stand are verified every so many milliseconds, as long as the process before this
     * one lives and none after it has the clients.
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
     * Claims new connections, which go to the listener of this number until then; tells whether
     * they come here.
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
     * Guards against a third process whose listener closes: that numbers the others anew, so that
     * they get each other's connections.
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

    /** Claims nothing any more. */
    void cancel() {
        steering.cancel();
    }

    /** New connections may go to any listener: there is no other one. */
    void release() {
        try {
            steering.release(((InetSocketAddress) clients.address()).getPort());
        } catch (IOException e) {
            // It listens no more, so there is nothing to give back.
            LOG.atDebug().addKeyValue("why", e.getMessage()).log("steering.unavailable");
        }
    }
}
