/**
 * The blocking facade of the decision module: {@code Gatherer}, and the types in which fronts and network code speak
 * with it. One lock, never held during I/O.
 */
package wallmoor.core;
