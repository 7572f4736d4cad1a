/**
 * The edge over CoAP, on Californium. It reads and writes messages and holds no rule.
 */
package wallmoor.edge.coap;
