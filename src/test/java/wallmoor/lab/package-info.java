/**
 * Real processes struck by a seeded script, a network of relays between them, and apart from both a judge of what each
 * said it acted on, and when.
 */
package wallmoor.lab;
