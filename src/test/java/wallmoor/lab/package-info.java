/**
 * Fault injection for real processes: a seeded script of faults, the relays that cut their network, and an independent
 * history of what each process reported to act on, which finds contradictions.
 */
package wallmoor.lab;
