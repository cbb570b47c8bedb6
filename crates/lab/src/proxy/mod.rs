//! Who sits in the proxies' seats: the shipped call table with the shipped module, a program that speaks the
//! simulator's wire, both side by side, or a policy made for a test.

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
