package wallmoor.membership;

import wallmoor.core.Member;

/**
 * What becomes of a node, and why.
 *
 * @param cause in words for the operators, as "drained by list at revision 43"
 */
public record Change(Member member, String cause) {}
