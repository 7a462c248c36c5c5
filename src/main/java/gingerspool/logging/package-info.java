/** How the log reaches standard error without any thread that logs waiting for its reader. */
package gingerspool.logging;
