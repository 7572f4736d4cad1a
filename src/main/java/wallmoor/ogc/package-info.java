/**
 * The front for OGC API - Features, and the client for the feature servers behind it.
 */
package wallmoor.ogc;
