/** Asynchronous log output to standard error: threads that log never wait for the reader. */
package gingerspool.logging;
