/**
 * Taking machines out for work: which may go when, and what is asked of whom meanwhile. Decides; no I/O, no clock, no
 * threads. All that must outlive a process stands in the document {@code maintenance} ({@link
 * wallmoor.maintenance.MaintenanceState}) or is observed anew ({@link wallmoor.maintenance.FleetSnapshot}). Times are
 * milliseconds since
 * 1970, UTC, on the clock of whoever decides; ages are milliseconds that an observer measured, and don't depend on
 * clocks that agree. The rules stand in docs/maintenance.md.
 */
package wallmoor.maintenance;
