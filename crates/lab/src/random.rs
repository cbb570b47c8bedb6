//! Independent random streams. A draw depends only on the seed, its purpose and its index, not on draws for other
//! purposes, so the arms of a comparison get the same callers, delays and noise.

use rand::{Rng, SeedableRng};
use rand_distr::{Distribution, LogNormal};
use rand_pcg::Pcg64;

/// The purpose of a stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Purpose {
    /// The parameters of a day.
    Day = 1,
    /// Arrivals of a pair of exchanges.
    Arrivals,
    /// One caller: class, holding time and behaviour.
    Caller,
    /// Transmission times.
    Transmission,
    /// Noise of load measurements.
    Report,
    /// Delays of roster updates.
    Roster,
    /// Exchanges and circuits that a trouble affects.
    Trouble,
    /// Processing times.
    ProcessorWork,
    /// Seeds of the proxies.
    ProxySeed,
    /// Bootstrap resampling.
    Bootstrap,
}

/// Distance between the streams of consecutive indexes, in draws.
const DRAWS_PER_INDEX: u128 = 1 << 40;

/// The stream of a purpose and index: PCG XSL RR 128/64 (O'Neill 2014), advanced to the index's own block.
pub fn stream(seed: u64, purpose: Purpose, index: u64) -> Pcg64 {
    let mut rng =
        Pcg64::seed_from_u64(seed.rotate_left(17) ^ (purpose as u64).wrapping_mul(0x9e37_79b9_7f4a_7c15));
    rng.advance(u128::from(index) * DRAWS_PER_INDEX);
    rng
}

/// A uniform draw from [0, 1).
pub fn unit(rng: &mut impl Rng) -> f64 {
    // A double holds 53 significant bits.
    (rng.next_u64() >> 11) as f64 / (1u64 << 53) as f64
}

/// A uniform draw from the integers below `n`; 0 if `n` is 0.
pub fn below(rng: &mut impl Rng, n: usize) -> usize {
    ((unit(rng) * n as f64) as usize).min(n.saturating_sub(1))
}

/// A hash of two numbers and a seed to [0, 1), for values that must not depend on the order of events (finalizer of
/// SplitMix64; Steele, Lea and Flood 2014).
pub fn noise(seed: u64, a: u64, b: u64) -> f64 {
    let mut z = seed ^ a.wrapping_mul(0x9e37_79b9_7f4a_7c15) ^ b.wrapping_mul(0xd1b5_4a32_d192_ed03);
    for _ in 0..2 {
        z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        z ^= z >> 31;
    }
    (z >> 11) as f64 / (1u64 << 53) as f64
}

/// A lognormal draw with the given mean and coefficient of variation.
pub fn lognormal(rng: &mut Pcg64, mean: f64, cv: f64) -> f64 {
    let var = (1.0 + cv * cv).ln();
    // The constructor fails only for a standard deviation that is negative or not finite.
    LogNormal::new(mean.max(1e-12).ln() - var / 2.0, var.sqrt()).map_or(mean, |d| d.sample(rng))
}
