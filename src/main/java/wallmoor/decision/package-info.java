/**
 * All decisions about queries, parts and workers. Single-threaded, no clock, no I/O: equal events after an equal start
 * give equal actions. The design stands in docs/design.md.
 */
package wallmoor.decision;
