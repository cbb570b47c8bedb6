//! What goes wrong on a day, as a timeline.

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

use super::{Amount, Draw, Positive, Scenario, Share};

/// Which exchanges a trouble hits.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(untagged)]
pub enum Who {
    /// So many, drawn anew each day.
    Some(u32),
    /// These, counted from 0.
    These(Vec<usize>),
}

/// One trouble. Times are seconds from the start of the day.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(tag = "kind", rename_all = "kebab-case", deny_unknown_fields)]
pub enum Trouble {
    /// Calls jump to `size` times the usual.
    Surge {
        /// Its start.
        at: Draw<Amount>,
        /// How long it lasts.
        seconds: Draw<Positive>,
        /// Times the usual.
        size: Draw<Positive>,
        /// Rise and fall, seconds each.
        #[serde(default = "ramp")]
        ramp_s: Draw<Amount>,
    },
    /// Some exchanges suddenly get this share of all calls beside their own.
    Lopsided {
        /// Its start.
        at: Draw<Amount>,
        /// How long it lasts.
        seconds: Draw<Positive>,
        /// Which.
        #[serde(default = "one")]
        exchanges: Who,
        /// Share of all calls.
        share: Draw<Share>,
    },
    /// New processors take the place of old ones, a few at a time, and start cold.
    Replace {
        /// The first drain.
        at: Draw<Amount>,
        /// All are replaced within so long.
        seconds: Draw<Positive>,
        /// Which.
        exchanges: Who,
        /// How many at a time.
        #[serde(default = "single")]
        batch: u32,
        /// An old one drains for so long, then stops; calls through it are cut.
        #[serde(default = "drain")]
        drain_s: Draw<Amount>,
        /// The new one starts so long after that.
        #[serde(default = "gap")]
        gap_s: Draw<Amount>,
    },
    /// The groups between one region and the others keep a part of their circuits; calls on the lost ones are cut.
    LostCircuits {
        /// Its start.
        at: Draw<Amount>,
        /// How long it lasts.
        seconds: Draw<Positive>,
        /// The region by name; drawn where it is not given.
        region: Option<String>,
        /// The part that is kept.
        keep: Draw<Share>,
    },
    /// Processors run so many times slower.
    Slow {
        /// Its start.
        at: Draw<Amount>,
        /// How long it lasts.
        seconds: Draw<Positive>,
        /// Which; all where it is not given.
        exchanges: Option<Who>,
        /// Times slower.
        size: Draw<Positive>,
    },
    /// Processors die without a word: all calls that touch them are cut. They come back cold, or not at all.
    Crash {
        /// When.
        at: Draw<Amount>,
        /// Which.
        #[serde(default = "one")]
        exchanges: Who,
        /// They are back after so long; never where it is not given.
        back_s: Option<Draw<Amount>>,
    },
    /// Signalling proxies are killed and start again knowing nothing.
    ProxyRestart {
        /// When.
        at: Draw<Amount>,
        /// Which.
        #[serde(default = "one")]
        exchanges: Who,
        /// They are away for so long.
        #[serde(default = "away")]
        seconds: Draw<Amount>,
    },
    /// The roster tells some proxies nothing more for a while.
    RosterStopped {
        /// Its start.
        at: Draw<Amount>,
        /// How long it lasts.
        seconds: Draw<Positive>,
        /// Which; all where it is not given.
        exchanges: Option<Who>,
    },
}

fn ramp() -> Draw<Amount> {
    Draw::of(1.0)
}
fn one() -> Who {
    Who::Some(1)
}
fn single() -> u32 {
    1
}
fn drain() -> Draw<Amount> {
    Draw::between(6.6, 8.6)
}
fn gap() -> Draw<Amount> {
    Draw::of(0.0)
}
fn away() -> Draw<Amount> {
    Draw::of(0.5)
}

impl Trouble {
    /// Its name in tables.
    pub fn name(&self) -> &'static str {
        match self {
            Trouble::Surge { .. } => "surge",
            Trouble::Lopsided { .. } => "lopsided",
            Trouble::Replace { .. } => "replace",
            Trouble::LostCircuits { .. } => "lost-circuits",
            Trouble::Slow { .. } => "slow",
            Trouble::Crash { .. } => "crash",
            Trouble::ProxyRestart { .. } => "proxy-restart",
            Trouble::RosterStopped { .. } => "roster-stopped",
        }
    }

    /// Its start.
    pub fn at(&self) -> Draw<Amount> {
        match self {
            Trouble::Surge { at, .. }
            | Trouble::Lopsided { at, .. }
            | Trouble::Replace { at, .. }
            | Trouble::LostCircuits { at, .. }
            | Trouble::Slow { at, .. }
            | Trouble::Crash { at, .. }
            | Trouble::ProxyRestart { at, .. }
            | Trouble::RosterStopped { at, .. } => *at,
        }
    }

    fn who(&self) -> Option<&Who> {
        match self {
            Trouble::Lopsided { exchanges, .. }
            | Trouble::Replace { exchanges, .. }
            | Trouble::Crash { exchanges, .. }
            | Trouble::ProxyRestart { exchanges, .. } => Some(exchanges),
            Trouble::Slow { exchanges, .. } | Trouble::RosterStopped { exchanges, .. } => exchanges.as_ref(),
            Trouble::Surge { .. } | Trouble::LostCircuits { .. } => None,
        }
    }

    /// What makes no sense in this scenario: the key and why.
    pub(super) fn check(&self, scenario: &Scenario) -> Result<(), (String, String)> {
        let least = scenario.fleet.exchanges.least();
        let wrong = |key: &str, what: String| Err((key.to_owned(), what));
        if self.at().most() >= scenario.seconds.most() {
            return wrong("at", format!("the day lasts {} s only", scenario.seconds.most()));
        }
        match self.who() {
            Some(Who::Some(0)) => return wrong("exchanges", "want 1 or more".to_owned()),
            Some(Who::Some(n)) if f64::from(*n) > least => {
                return wrong("exchanges", format!("there may be only {least} exchanges"));
            }
            Some(Who::These(list)) => {
                if let Some(ix) = list.iter().find(|ix| **ix as f64 >= least) {
                    return wrong("exchanges", format!("there may be no exchange {ix} (they count from 0)"));
                }
                if list.is_empty() {
                    return wrong("exchanges", "want one or more".to_owned());
                }
            }
            _ => {}
        }
        match self {
            Trouble::Replace { batch: 0, .. } => wrong("batch", "want 1 or more".to_owned()),
            Trouble::LostCircuits { region: Some(region), .. }
                if !scenario.fleet.regions.contains(region) =>
            {
                wrong("region", format!("there is no region '{region}'"))
            }
            _ => Ok(()),
        }
    }
}
