//! Recovery: what may follow a failed attempt, and the orderly shutdown of a proxy. No I/O.

pub mod attempt_end;
pub mod shutdown;
