//! Implementations of [`ProxyFleet`]: the shipped call table with the shipped decision module, an external program
//! that speaks the simulator's protocol, two fleets side by side, and a simple policy for tests.

mod direct;
mod follow;
mod recorded;
mod shipped;
mod twin;
mod wire;

pub use direct::Direct;
pub use follow::CallTrace;
pub use recorded::Capturing;
pub use shipped::Shipped;
pub use twin::{Difference, Twin};
pub use wire::ExternalProgram;

pub use crate::world::fleet::{EventsByProxy, OverloadLevels, ProxyFleet};
