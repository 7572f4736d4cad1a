/**
 * Hosts decision modules on the simulator's wire, on standard streams. It reads lines into events and writes actions as
 * lines; it decides nothing.
 */
package wallmoor.adapter;
