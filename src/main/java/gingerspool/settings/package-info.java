/** The settings file of the platform's processes. */
package gingerspool.settings;
