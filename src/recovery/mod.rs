//! Orderly shutdown of a proxy. No I/O.

pub mod shutdown;
