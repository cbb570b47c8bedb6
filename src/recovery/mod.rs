//! Recovery: how attempts end, what may follow, and the orderly shutdown of a proxy. No I/O.

pub mod attempt_end;
pub mod set_ups;
pub mod shutdown;
