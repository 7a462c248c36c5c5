/**
 * The durable log of a member of the core: its vote, its snapshot and the entries after it, on its
 * disk. {@link gingerspool.storage.LogWriter} owns the log's thread and is called on the event
 * loop; {@link gingerspool.storage.DurableLog} blocks and runs on that thread only.
 */
package gingerspool.storage;
