/**
 * Replaces a running scheduler process by a new one without refusing clients. The new process (the
 * successor) copies the state of the running one (its predecessor), asks it to retire and takes
 * over its new connections; the predecessor finishes the tasks that it has.
 *
 * <p>{@link Succession} is the state machine, free of I/O, and {@link Handover} carries out its
 * actions. The processes find each other by a {@link HandoverFile} and call each other's management
 * address through a {@link Peer}.
 */
package gingerspool.handover;
