//! The limit on file descriptors, parted among those who hold them.

/// Descriptors that are never given to a peer: standard streams, listeners, poller, signals, discovery (the old and the
/// new connection during a move), and room so that accept and the log go on.
const RESERVE_LEAST: usize = 24;
/// The reserve as a share of the limit: one part in so many.
const RESERVE_PART: usize = 8;
/// Callers hold at most one part in so many of the limit (protocol page, 'Callers to signalling proxies').
const CALLERS_PART: usize = 3;
/// Callers beyond that are let in to be refused in words.
const CALLERS_BEYOND: usize = 8;
/// Connections of the administration's interfaces, where they are on.
const ADMINISTRATION: usize = 40;
/// The fewest descriptors with which a proxy can serve.
pub const MIN_DESCRIPTORS: usize = 128;

/// How many descriptors each part may hold.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DescriptorPlan {
    /// The limit of the deployment.
    pub limit: usize,
    /// Connections from callers.
    pub callers: usize,
    /// Connections to exchanges.
    pub exchanges: usize,
    /// Connections to the administration.
    pub administration: usize,
    /// Held by nobody in particular.
    pub reserve: usize,
}

impl DescriptorPlan {
    /// Parts a limit; the administration gets its part only where it is on.
    pub fn new(limit: usize, administration: bool) -> Self {
        let reserve = (limit / RESERVE_PART).max(RESERVE_LEAST);
        let administration = if administration { ADMINISTRATION.min(limit / RESERVE_PART) } else { 0 };
        let callers = limit / CALLERS_PART + CALLERS_BEYOND;
        let exchanges = limit.saturating_sub(reserve + administration + callers);
        DescriptorPlan { limit, callers, exchanges, administration, reserve }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn the_parts_never_exceed_the_limit_and_callers_get_their_third() {
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
