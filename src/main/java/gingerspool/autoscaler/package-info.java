/**
 * Decides how many instances each function has, and on which hosts. {@link
 * gingerspool.autoscaler.Autoscaler} owns the pending starts, the hosts and the retiring instances;
 * {@link gingerspool.autoscaler.CapacityPlan} computes the desired number of instances, {@link
 * gingerspool.autoscaler.Placement} chooses the host of the next start. The classes perform no I/O,
 * read no clock and start no thread. Only the duties of the leader call them, on one thread. Times
 * are milliseconds of a steady clock.
 */
package gingerspool.autoscaler;
