/**
 * The platform's front: serves queries by {@code POST /api} through {@code core}.
 */
package wallmoor.platform;
