/**
 * The replicated command log, implementing Raft: elections with pre-votes, the leader's lease, log
 * replication, snapshot transfer in pieces, membership changes by joint consensus, and leadership
 * transfer. The package performs no I/O, reads no clock and starts no thread: {@link
 * gingerspool.consensus.Replica} receives calls and messages, {@link
 * gingerspool.consensus.ReplicaEnvironment} carries out the effects, and {@link
 * gingerspool.consensus.ReplicaContext} holds the shared state (role, term, vote, log, commit
 * index). It is hosted by the control node, which calls it on its event loop, and by simulations in
 * tests. {@link gingerspool.consensus.LogEntry}, {@link gingerspool.consensus.Snapshot}, {@link
 * gingerspool.consensus.VoterSet} and {@link gingerspool.consensus.Member} are stored on disk:
 * their components must keep their names and their order.
 */
package gingerspool.consensus;
