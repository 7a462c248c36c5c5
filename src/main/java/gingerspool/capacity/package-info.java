/**
 * Measures how the cost of the control side grows with schedulers, instances, functions, changes
 * and members, over the real code, and works out from the fitted lines what the target would need.
 */
package gingerspool.capacity;
