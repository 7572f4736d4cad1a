/**
 * The platform's front: queries by {@code POST /api}, answered through {@code core}.
 */
package wallmoor.platform;
