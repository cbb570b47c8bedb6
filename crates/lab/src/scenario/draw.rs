//! Values of a scenario: one number, or a range from which each day draws its own. The bounds are part of the type,
//! so that the reader and the schema agree.

use std::borrow::Cow;
use std::fmt;
use std::marker::PhantomData;

use schemars::{json_schema, JsonSchema, Schema, SchemaGenerator};
use serde::de::Error as _;
use serde::{Deserialize, Deserializer, Serialize, Serializer};

use crate::random::unit;

/// The bounds of a value.
pub trait Bound {
    /// Description of the bounds, for messages and the schema.
    const NAME: &'static str;
    /// Whether a number is within the bounds.
    fn contains(x: f64) -> bool;
    /// The bounds as a JSON schema.
    fn schema() -> Schema;
}

/// Numbers above 0.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Positive;
/// Numbers of 0 or above.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Amount;
/// Numbers from 0 to 1.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Share;

impl Bound for Positive {
    const NAME: &'static str = "a number above 0";
    fn contains(x: f64) -> bool {
        x > 0.0
    }
    fn schema() -> Schema {
        json_schema!({"type": "number", "exclusiveMinimum": 0})
    }
}

impl Bound for Amount {
    const NAME: &'static str = "a number of 0 or above";
    fn contains(x: f64) -> bool {
        x >= 0.0
    }
    fn schema() -> Schema {
        json_schema!({"type": "number", "minimum": 0})
    }
}

impl Bound for Share {
    const NAME: &'static str = "a number from 0 to 1";
    fn contains(x: f64) -> bool {
        (0.0..=1.0).contains(&x)
    }
    fn schema() -> Schema {
        json_schema!({"type": "number", "minimum": 0, "maximum": 1})
    }
}

/// One number, or a range `[low, high]` from which a day draws uniformly.
#[derive(Clone, Copy, PartialEq)]
pub struct Draw<B> {
    low: f64,
    high: f64,
    bound: PhantomData<B>,
}

impl<B> Draw<B> {
    /// A fixed number.
    pub const fn of(x: f64) -> Self {
        Draw { low: x, high: x, bound: PhantomData }
    }

    /// A range.
    pub const fn between(low: f64, high: f64) -> Self {
        Draw { low, high, bound: PhantomData }
    }

    /// Draws a number.
    pub fn draw(&self, rng: &mut impl rand::Rng) -> f64 {
        self.low + (self.high - self.low) * unit(rng)
    }

    /// The midpoint of the range.
    pub fn midpoint(&self) -> f64 {
        (self.low + self.high) / 2.0
    }

    /// The lower end of the range.
    pub fn lowest(&self) -> f64 {
        self.low
    }

    /// The upper end of the range.
    pub fn highest(&self) -> f64 {
        self.high
    }
}

impl<B> fmt::Debug for Draw<B> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}..{}", self.low, self.high)
    }
}

impl<B: Bound> Serialize for Draw<B> {
    fn serialize<S: Serializer>(&self, s: S) -> Result<S::Ok, S::Error> {
        if self.low == self.high {
            self.low.serialize(s)
        } else {
            [self.low, self.high].serialize(s)
        }
    }
}

impl<'de, B: Bound> Deserialize<'de> for Draw<B> {
    fn deserialize<D: Deserializer<'de>>(d: D) -> Result<Self, D::Error> {
        #[derive(Deserialize)]
        #[serde(untagged)]
        enum NumberOrRange {
            One(f64),
            Range([f64; 2]),
        }
        let expected = || format!("want {}, or a range [low, high] of such", B::NAME);
        let (low, high) = match NumberOrRange::deserialize(d).map_err(|_| D::Error::custom(expected()))? {
            NumberOrRange::One(x) => (x, x),
            NumberOrRange::Range([low, high]) => (low, high),
        };
        let valid =
            low.is_finite() && high.is_finite() && low <= high && B::contains(low) && B::contains(high);
        valid.then_some(Draw { low, high, bound: PhantomData }).ok_or_else(|| D::Error::custom(expected()))
    }
}

impl<B: Bound> JsonSchema for Draw<B> {
    fn schema_name() -> Cow<'static, str> {
        B::NAME.into()
    }

    fn inline_schema() -> bool {
        true
    }

    fn json_schema(_: &mut SchemaGenerator) -> Schema {
        let number = B::schema();
        json_schema!({"anyOf": [number, {"type": "array", "items": number, "minItems": 2, "maxItems": 2}]})
    }
}
