/**
 * Decides which scheduler may use which slots of which instances. {@link
 * gingerspool.slots.SlotAllocator} owns this state and makes all grants; {@link
 * gingerspool.slots.FunctionCatalog} holds the functions, {@link gingerspool.slots.Function} and
 * {@link gingerspool.slots.Instance} what is known of each. The classes perform no I/O, read no
 * clock and start no thread. Only the duties of the leader call them, on one thread. Times are
 * milliseconds of a steady clock, rates are requests per millisecond.
 */
package gingerspool.slots;
