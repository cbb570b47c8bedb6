//! Random streams by name. A draw depends on the seed, its purpose and its index, never on what was drawn before
//! for another purpose: two arms of a comparison meet the same callers, delays and noise.

use rand::{Rng, SeedableRng};
use rand_distr::{Distribution, LogNormal};
use rand_pcg::Pcg64;

/// What a stream is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Purpose {
    /// The true figures of a day.
    Day = 1,
    /// Arrivals of one pair of exchanges.
    Arrivals,
    /// One caller: class, holding time, habits.
    Caller,
    /// Times in flight.
    Flight,
    /// Noise of load reports.
    Report,
    /// When the roster tells a proxy.
    Roster,
    /// Whom a trouble hits.
    Trouble,
    /// Lengths of work at a processor.
    ProcessorWork,
    /// Seeds of the proxies.
    ProxySeed,
    /// Resampling.
    Bootstrap,
}

/// Draws that one index of a stream may take before it meets the next one's.
const BLOCK: u128 = 1 << 40;

/// The stream of a purpose: PCG XSL RR 128/64 (O'Neill 2014), at a block of its own for each index.
pub fn stream(seed: u64, purpose: Purpose, index: u64) -> Pcg64 {
    let mut rng =
        Pcg64::seed_from_u64(seed.rotate_left(17) ^ (purpose as u64).wrapping_mul(0x9e37_79b9_7f4a_7c15));
    rng.advance(u128::from(index) * BLOCK);
    rng
}

/// A number from 0 up to but not including 1.
pub fn unit(rng: &mut impl Rng) -> f64 {
    // 53 bits are what a double holds.
    (rng.next_u64() >> 11) as f64 / (1u64 << 53) as f64
}

/// A number below `n`; 0 where `n` is 0.
pub fn below(rng: &mut impl Rng, n: usize) -> usize {
    ((unit(rng) * n as f64) as usize).min(n.saturating_sub(1))
}

/// A number from 0 up to but not including 1 that two numbers and a seed always give (the finalizer of SplitMix64,
/// Steele, Lea and Flood 2014): for figures that must not depend on the order in which things happen.
pub fn noise(seed: u64, a: u64, b: u64) -> f64 {
    let mut z = seed ^ a.wrapping_mul(0x9e37_79b9_7f4a_7c15) ^ b.wrapping_mul(0xd1b5_4a32_d192_ed03);
    for _ in 0..2 {
        z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        z ^= z >> 31;
    }
    (z >> 11) as f64 / (1u64 << 53) as f64
}

/// A lognormal draw with this mean and coefficient of variation.
pub fn lognormal(rng: &mut Pcg64, mean: f64, cv: f64) -> f64 {
    let var = (1.0 + cv * cv).ln();
    // A variance that is finite and not negative always makes a distribution.
    LogNormal::new(mean.max(1e-12).ln() - var / 2.0, var.sqrt()).map_or(mean, |d| d.sample(rng))
}
