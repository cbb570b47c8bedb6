//! Liveness of exchanges, judged by what arrives on their connections. No I/O.

pub mod liveness;
