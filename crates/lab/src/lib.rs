//! Simulation of the whole fleet: exchanges, trunk groups, processors, callers and failures in simulated time,
//! controlled by the shipped signalling proxies or by a candidate program. It compares two settings or two versions
//! on the same days, with confidence intervals.
//!
//! The results are deterministic: the same seed gives the same result, byte for byte, on any number of threads. The
//! model uses no wall clock and no sockets, and has a separate random stream for each purpose ([`random`]).

pub mod captures;
pub mod cli;
pub mod day;
pub mod error;
pub mod proxy;
pub mod random;
pub mod scenario;
pub mod study;
pub mod traffic;
pub mod world;

pub use error::LabError;
