/**
 * The messages between this system's processes, sent over persistent connections, and their
 * encoding, which is also used on disk.
 */
package gingerspool.codec;
