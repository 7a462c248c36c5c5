/**
 * The replicated log of commands: elections, the leader's lease, replication, snapshots and changes
 * of the voters, by the Raft algorithm. Without I/O, clock or thread.
 */
package gingerspool.consensus;
