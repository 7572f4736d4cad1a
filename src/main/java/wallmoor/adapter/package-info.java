/**
 * Connects routing policies to the simulator by its wire protocol on standard input and output: reads events from lines
 * and writes actions as lines. Makes no decisions.
 */
package wallmoor.adapter;
