/**
 * What a configuration switches on, put together: start, reload, leave.
 */
package wallmoor.service;
