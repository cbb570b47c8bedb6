//! Membership: liveness of exchanges, judged by what arrives on their connections, and their start times. No I/O.

pub mod liveness;
pub mod start_time;
