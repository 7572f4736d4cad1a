/**
 * Which workers operators have banned, and the form in which that is stored. Decides; no I/O and no clock. It knows
 * nothing of the endpoint list, nor of where the bans are stored.
 */
package wallmoor.bans;
