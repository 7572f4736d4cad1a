package wallmoor.peers;

/**
 * What one member's part in the group came to since its start.
 *
 * @param probes           sent to subjects
 * @param unansweredProbes of these, not answered before others were asked to probe
 * @param suspicions       reported by this member
 * @param refutations      of suspicions of this member
 * @param removals         of others, in this member's view
 * @param staleMessages    from incarnations that were over
 */
public record MembershipCounts(long probes, long unansweredProbes, long suspicions, long refutations, long removals,
        long staleMessages) {}
