//! Resource budgets: how the deployment's limits on descriptors and memory are divided, and what is closed or dropped
//! when a share is used up. No I/O: limits and decisions are plain values.

pub mod callers;
pub mod connections;
pub mod datagrams;
pub mod descriptors;
pub mod inbound;
pub mod memory;
pub mod set_ups;
pub mod shares;
pub mod slow_reader;
pub mod transactions;
