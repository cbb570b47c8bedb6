//! Short trials of the built proxy under dense load, among stand-ins that simulate faults, and a checker for every
//! rule.
//!
//! A seed determines a whole trial before it starts ([`plan`]), [`trial`] plays it with real processes over loopback,
//! and [`judge`] checks the record against the rules. [`cli`] is the command line.

pub mod cli;
pub mod coverage;
pub mod fault;
pub mod judge;
pub mod plan;
pub mod report;
pub mod trial;
