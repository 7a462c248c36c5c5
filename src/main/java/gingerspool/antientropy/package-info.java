/**
 * Anti-entropy repair of replicas: compares the copies of a state by digests of key ranges and
 * repairs copies that differ from the majority. Without I/O.
 */
package gingerspool.antientropy;
