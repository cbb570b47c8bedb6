//! Who sits in the proxies' seats: the shipped call table with the shipped module, a program that speaks the
//! simulator's wire, both side by side, or a policy made for a test.

mod direct;
mod follow;
mod recorded;
mod shipped;
mod twin;
mod wire;

pub use direct::Direct;
pub use follow::Follow;
pub use recorded::Recorded;
pub use shipped::Shipped;
pub use twin::{Difference, Twin};
pub use wire::Wire;

pub use crate::world::seats::{Levels, Seats, Told};
