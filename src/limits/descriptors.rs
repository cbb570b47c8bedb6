//! Division of the limit on file descriptors among callers, exchanges and administration.

/// Minimum number of descriptors that no peer gets: for standard streams, listeners, poller, signals and discovery
/// (the old and the new connection during a move), with some to spare so that accepting connections and logging
/// always work.
const MIN_RESERVE: usize = 24;
/// Divisor of the limit that gives the reserve.
const RESERVE_DIVISOR: usize = 8;
/// Divisor of the limit that gives the connections of callers. The platform's protocol lets callers hold at most a
/// third of the limit.
const CALLERS_DIVISOR: usize = 3;
/// Further connections from callers that are accepted only to answer their requests with a refusal.
const CALLERS_TO_REFUSE: usize = 8;
/// Maximum number of connections to the administration interfaces, if these are enabled.
const ADMINISTRATION_CONNECTIONS: usize = 40;
/// Minimum limit on descriptors with which a proxy can run.
pub const MIN_DESCRIPTORS: usize = 128;

/// Number of descriptors for each use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DescriptorPlan {
    /// The limit that the deployment sets.
    pub limit: usize,
    /// Connections from callers.
    pub callers: usize,
    /// Connections to exchanges.
    pub exchanges: usize,
    /// Connections to the administration.
    pub administration: usize,
    /// The reserve, which no peer gets.
    pub reserve: usize,
}

impl DescriptorPlan {
    /// Divides a limit. The administration gets a share only if it is enabled.
    pub fn new(limit: usize, administration: bool) -> Self {
        let reserve = (limit / RESERVE_DIVISOR).max(MIN_RESERVE);
        let administration =
            if administration { ADMINISTRATION_CONNECTIONS.min(limit / RESERVE_DIVISOR) } else { 0 };
        let callers = limit / CALLERS_DIVISOR + CALLERS_TO_REFUSE;
        let exchanges = limit.saturating_sub(reserve + administration + callers);
        DescriptorPlan { limit, callers, exchanges, administration, reserve }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn the_shares_never_exceed_the_limit_and_callers_get_a_third() {
        for limit in MIN_DESCRIPTORS..5000 {
            for administration in [false, true] {
                let plan = DescriptorPlan::new(limit, administration);
                assert!(
                    plan.callers + plan.exchanges + plan.administration + plan.reserve <= limit,
                    "{plan:?}"
                );
                assert!(plan.callers >= limit / 3 && plan.exchanges >= 16, "{plan:?}");
            }
        }
    }
}
