/**
 * The program `control`: keeps the configuration and, on the leader, the slots and the number of
 * instances. {@link gingerspool.controlplane.ControlNode} is the process, {@link
 * gingerspool.controlplane.CoreMember} its part in the core, {@link
 * gingerspool.controlplane.LeaderDuties} what the leader of a term does alone. All state belongs to
 * one event loop; the log on disk belongs to the thread of {@link gingerspool.storage.LogWriter}.
 */
package gingerspool.controlplane;
