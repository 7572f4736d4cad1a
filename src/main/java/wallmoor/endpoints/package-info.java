/**
 * Which nodes there are, by what several sources say of them. Decides only: no I/O, no clock, no threads. The rule for
 * disagreement stands in docs/membership.md.
 */
package wallmoor.endpoints;
