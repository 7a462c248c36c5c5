/** Who may use which slots of which instances: deciders without I/O, clock or thread. */
package gingerspool.slots;
