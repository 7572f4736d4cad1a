/**
 * Planned maintenance: in which order machines are taken out of service for work, and which action is due for each. The
 * package uses no I/O, clock or threads. All state that must survive a process is in the replicated document {@code
 * maintenance} ({@link wallmoor.maintenance.MaintenanceState}) or is observed again ({@link
 * wallmoor.maintenance.FleetSnapshot}). Times are in milliseconds since 1970, UTC, by the clock of the deciding
 * process. Ages are durations in milliseconds measured by one observer, and need no synchronized clocks. The rules are
 * in docs/maintenance.md.
 */
package wallmoor.maintenance;
