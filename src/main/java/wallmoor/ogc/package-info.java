/**
 * The second front, OGC API - Features, and the client of the feature servers behind it.
 */
package wallmoor.ogc;
