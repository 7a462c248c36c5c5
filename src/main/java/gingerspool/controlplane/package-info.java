/**
 * The program `control`: stores the configuration and, on the leader, allocates slots and scales
 * instances. {@link gingerspool.controlplane.ControlNode} is the process, {@link
 * gingerspool.controlplane.ClusterMember} its membership in the control cluster, {@link
 * gingerspool.controlplane.LeaderDuties} the work of the leader of a term. All state belongs to one
 * event loop; the log on disk belongs to the thread of {@link gingerspool.storage.LogWriter}.
 */
package gingerspool.controlplane;
