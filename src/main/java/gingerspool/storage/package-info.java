/** The ledger: what a member of the core has promised and taken, on its disk. */
package gingerspool.storage;
