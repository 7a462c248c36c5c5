package gingerspool.dataplane;

import gingerspool.codec.Messages;
import gingerspool.codec.Messages.InstanceCondition;
import java.io.IOException;
import java.util.function.DoubleSupplier;

/**
 * Detects when a starting instance is up, by repeated attempts to connect from about half of its
 * remaining start-up time on, because the platform's instance list shows it much later. Then
 * notifies the leader.
 *
 * <p>Used by {@link FunctionQueue} on the event loop; times are in milliseconds.
 */
final class InstanceConnector {
    /** When the first attempt is made, as a fraction of the remaining start-up time. */
    private static final double FIRST_ATTEMPT_FRACTION = 0.5;

    /** The interval between attempts, in start-up times. */
    private static final double RETRY_STARTUP_TIMES = 0.03;

    /** How long after its expected start an instance is given up, in start-up times. */
    private static final double GIVE_UP_STARTUP_TIMES = 8;

    private final FunctionQueue.Environment environment;
    private final FunctionDispatcher dispatcher;
    private final SlotReturns returns;
    private final DoubleSupplier startupTime;
    private final Runnable onUp;

    /**
     * The supplier gives the start-up time of the function's instances; onUp runs each time that an
     * instance was found to be up.
     */
    InstanceConnector(
            FunctionQueue.Environment environment,
            FunctionDispatcher dispatcher,
            SlotReturns returns,
            DoubleSupplier startupTime,
            Runnable onUp) {
        this.environment = environment;
        this.dispatcher = dispatcher;
        this.returns = returns;
        this.startupTime = startupTime;
        this.onUp = onUp;
    }

    /** Slots were granted of an instance that is expected to be up in `startsIn` ms. */
    void awaitStart(InstanceSlot slot, double startsIn) {
        slot.startsAt = environment.loop().now() + startsIn;
        connectAfter(slot, FIRST_ATTEMPT_FRACTION * startsIn);
    }

    /** The instance is up. */
    void markUp(InstanceSlot slot) {
        if (!slot.isUp) {
            slot.isUp = true;
            slot.idleSince = environment.loop().now();
            dispatcher.publishSlots(slot);
        }
    }

    private void connectAfter(InstanceSlot slot, double delay) {
        if (!slot.isConnecting && !slot.isUp) {
            slot.isConnecting = true;
            environment
                    .loop()
                    .schedule(
                            delay,
                            () -> {
                                slot.isConnecting = false;
                                connect(slot);
                            });
        }
    }

    private void connect(InstanceSlot slot) {
        if (slot.isUp || slot.isDraining || slot.granted == 0) {
            return;
        }
        double giveUpAt = slot.startsAt + GIVE_UP_STARTUP_TIMES * startupTime.getAsDouble();
        if (environment.loop().now() > giveUpAt) {
            returns.returnSlots(slot, slot.granted, InstanceCondition.UNREACHABLE);
            return;
        }
        try {
            slot.isConnecting = true;
            environment
                    .pool()
                    .tryConnect(slot.poolIndex, slot.address, isUp -> onConnected(slot, isUp));
        } catch (IOException e) {
            onConnected(slot, false);
        }
    }

    private void onConnected(InstanceSlot slot, boolean isUp) {
        slot.isConnecting = false;
        if (isUp) {
            markUp(slot);
            environment.sendToLeader(
                    new Messages.SlotReturn(slot.instance, 0, InstanceCondition.STARTED));
            onUp.run();
        } else {
            connectAfter(slot, RETRY_STARTUP_TIMES * startupTime.getAsDouble());
        }
    }
}
