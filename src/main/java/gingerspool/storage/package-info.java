/**
 * The durable log of a member of the core: its vote, its snapshot and the entries after the
 * snapshot. {@link gingerspool.storage.LogWriter} owns the log's thread and is called on the event
 * loop; {@link gingerspool.storage.DurableLog} blocks on disk I/O and runs on that thread only.
 */
package gingerspool.storage;
