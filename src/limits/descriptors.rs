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
/// The same for the SIP front if it is the only one, and beside the platform front.
const SIP_DIVISOR_ALONE: usize = 3;
const SIP_DIVISOR_BESIDE: usize = 6;
/// Divisor of the SIP front's share that gives the connections which it opens itself, to exchanges and to callers whose
/// connection is gone. Accepted connections leave them free.
const SIP_OUTGOING_DIVISOR: usize = 8;
/// Further connections from callers that are accepted only to answer their requests with a refusal.
const CALLERS_TO_REFUSE: usize = 8;
/// Maximum number of connections to the administration interfaces, if these are enabled.
const ADMINISTRATION_CONNECTIONS: usize = 40;
/// Minimum limit on descriptors with which a proxy can run.
pub const MIN_DESCRIPTORS: usize = 128;

/// The parts of the proxy that need descriptors.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Enabled {
    /// The platform front.
    pub platform: bool,
    /// The SIP front.
    pub sip: bool,
    /// The administration.
    pub administration: bool,
}

/// Number of descriptors for each use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DescriptorPlan {
    /// The limit that the deployment sets.
    pub limit: usize,
    /// Connections from callers to the platform front.
    pub callers: usize,
    /// Connections of the SIP front in both directions.
    pub sip: usize,
    /// Connections to exchanges.
    pub exchanges: usize,
    /// Connections to the administration.
    pub administration: usize,
    /// The reserve, which no peer gets.
    pub reserve: usize,
}

impl DescriptorPlan {
    /// Divides a limit among the parts that are enabled.
    pub fn new(limit: usize, Enabled { platform, sip, administration }: Enabled) -> Self {
        let reserve = (limit / RESERVE_DIVISOR).max(MIN_RESERVE);
        let administration =
            if administration { ADMINISTRATION_CONNECTIONS.min(limit / RESERVE_DIVISOR) } else { 0 };
        let callers = if platform { limit / CALLERS_DIVISOR + CALLERS_TO_REFUSE } else { 0 };
        let sip = match (sip, platform) {
            (false, _) => 0,
            (true, false) => limit / SIP_DIVISOR_ALONE,
            (true, true) => limit / SIP_DIVISOR_BESIDE,
        };
        let exchanges = limit.saturating_sub(reserve + administration + callers + sip);
        DescriptorPlan { limit, callers, sip, exchanges, administration, reserve }
    }

    /// Most connections that the SIP front accepts.
    pub fn sip_accepted(&self) -> usize {
        self.sip - self.sip / SIP_OUTGOING_DIVISOR
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn the_shares_never_exceed_the_limit_and_callers_get_a_third() {
        for limit in MIN_DESCRIPTORS..5000 {
            for (administration, sip) in [(false, false), (false, true), (true, false), (true, true)] {
                let plan = DescriptorPlan::new(limit, Enabled { platform: true, sip, administration });
                let fronts = plan.callers + plan.sip;
                assert!(fronts + plan.exchanges + plan.administration + plan.reserve <= limit, "{plan:?}");
                assert!(plan.callers >= limit / 3 && plan.exchanges >= 16, "{plan:?}");
                assert!(!sip || plan.sip_accepted() >= 16, "{plan:?}");
            }
        }
    }
}
