/**
 * The operators' configuration: reading, checking and changing it, the versions kept of it, and the
 * route of a request.
 */
package gingerspool.configuration;
