/**
 * Taking machines out of service for work: in which order they go, and which action is due for each. Decides without
 * I/O, clock or threads. All state that must survive a process is in the replicated document {@code maintenance}
 * ({@link wallmoor.maintenance.MaintenanceState}) or is observed anew ({@link wallmoor.maintenance.FleetSnapshot}).
 * Times are milliseconds since 1970, UTC, on the clock of whoever decides; ages are milliseconds that an observer
 * measured, and do not depend on clocks that agree. The rules are in docs/maintenance.md.
 */
package wallmoor.maintenance;
