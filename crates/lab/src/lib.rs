//! A model of the whole fleet: exchanges, trunk groups, processors, callers and troubles in simulated time, with
//! the shipped signalling proxies in their seats. It compares two settings or two versions side by side and says
//! with what certainty they differ.
//!
//! One seed gives one result, byte for byte, on any number of threads: there is no wall clock and no socket here,
//! and every random draw comes from a stream named by its purpose ([`random`]).

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
