/**
 * The replicated log of commands, by Raft: elections with pre-votes, the leader's lease,
 * replication, snapshots in pieces, joint changes of the voters, and leadership transfer. A decider
 * without I/O, clock or thread: {@link gingerspool.consensus.Replica} is the way in, {@link
 * gingerspool.consensus.ReplicaEnvironment} the way out, and {@link
 * gingerspool.consensus.ReplicaContext} owns what the parts share (role, term, vote, log, commit
 * index). Its host is the control node, or a simulation in tests. {@link
 * gingerspool.consensus.LogEntry}, {@link gingerspool.consensus.Snapshot}, {@link
 * gingerspool.consensus.VoterSet} and {@link gingerspool.consensus.Member} stand on disk: their
 * components keep their order and sorted names.
 */
package gingerspool.consensus;
