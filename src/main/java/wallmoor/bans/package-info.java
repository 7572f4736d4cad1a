/**
 * The register of bans of workers by operators, and its file format. Pure logic without I/O or a clock, independent of
 * the endpoint list and of the place where bans are stored.
 */
package wallmoor.bans;
