/**
 * How many instances each function should have, and on which hosts. {@link
 * gingerspool.autoscaler.Autoscaler} owns the starts that were asked for, the hosts and the
 * instances that are to stop; {@link gingerspool.autoscaler.CapacityPlan} says how many are wanted,
 * {@link gingerspool.autoscaler.Placement} where the next one starts. Deciders without I/O, clock
 * or thread, called by the leader's duties only. Times are milliseconds of a steady clock.
 */
package gingerspool.autoscaler;
