/**
 * Which scheduler may use which slots of which instances. The allocator of the leader owns this
 * state: {@link gingerspool.slots.FunctionCatalog} the functions, {@link
 * gingerspool.slots.Function} and {@link gingerspool.slots.Instance} what is known of each, {@link
 * gingerspool.slots.SlotAllocator} all grants. Deciders without I/O, clock or thread, for one
 * thread; the leader's duties call them and nobody else. Times are milliseconds of a steady clock,
 * rates are requests a millisecond.
 */
package gingerspool.slots;
