/**
 * The edge over CoAP, on Californium. Reads and writes messages; the rules are elsewhere.
 */
package wallmoor.edge.coap;
