/** What the system's own processes say to each other, over held connections. */
package gingerspool.codec;
