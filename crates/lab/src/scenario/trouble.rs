//! Troubles of a scenario and their times.

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

use super::{Amount, Draw, Positive, Scenario, Share};

/// The exchanges that a trouble affects.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(untagged)]
#[schemars(rename = "Who")]
pub enum ExchangeSelection {
    /// This number of exchanges, drawn for each day.
    Count(u32),
    /// These exchanges, numbered from 0.
    Listed(Vec<usize>),
}

/// A trouble. Times are in seconds; `at` counts from the start of the day.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(tag = "kind", rename_all = "kebab-case", deny_unknown_fields)]
pub enum Trouble {
    /// The offered calls rise to `size` times the usual.
    Surge {
        /// Start.
        at: Draw<Amount>,
        /// Duration.
        seconds: Draw<Positive>,
        /// Factor on the usual calls.
        size: Draw<Positive>,
        /// Length of the rise and of the fall, seconds each.
        #[serde(default = "ramp")]
        ramp_s: Draw<Amount>,
    },
    /// Some exchanges get an additional share of all calls.
    Lopsided {
        /// Start.
        at: Draw<Amount>,
        /// Duration.
        seconds: Draw<Positive>,
        /// The exchanges.
        #[serde(default = "one")]
        exchanges: ExchangeSelection,
        /// Additional share of all calls.
        share: Draw<Share>,
    },
    /// New processors replace old ones, a few at a time, and start cold.
    Replace {
        /// Start of the first drain.
        at: Draw<Amount>,
        /// Time within which the replacements begin.
        seconds: Draw<Positive>,
        /// The exchanges.
        exchanges: ExchangeSelection,
        /// Number of exchanges replaced at the same time.
        #[serde(default = "single")]
        batch: u32,
        /// Time for which an old processor drains; then it stops, and the calls through it are cut.
        #[serde(default = "drain")]
        drain_s: Draw<Amount>,
        /// Time from that stop to the start of the new processor.
        #[serde(default = "gap")]
        gap_s: Draw<Amount>,
    },
    /// The groups between a region and the others lose circuits; the calls on those are cut.
    LostCircuits {
        /// Start.
        at: Draw<Amount>,
        /// Duration.
        seconds: Draw<Positive>,
        /// Name of the region; drawn if absent.
        region: Option<String>,
        /// Share of the circuits that stays.
        keep: Draw<Share>,
    },
    /// Processors run slower.
    Slow {
        /// Start.
        at: Draw<Amount>,
        /// Duration.
        seconds: Draw<Positive>,
        /// The exchanges; all if absent.
        exchanges: Option<ExchangeSelection>,
        /// Factor on the processing times.
        size: Draw<Positive>,
    },
    /// Processors crash without notice, and all calls through them are cut. They restart cold, or not at all.
    Crash {
        /// Time of the failure.
        at: Draw<Amount>,
        /// The exchanges.
        #[serde(default = "one")]
        exchanges: ExchangeSelection,
        /// Time until they restart; they never do if absent.
        back_s: Option<Draw<Amount>>,
    },
    /// Signalling proxies are killed and restart without their state.
    ProxyRestart {
        /// Time of the failure.
        at: Draw<Amount>,
        /// The exchanges.
        #[serde(default = "one")]
        exchanges: ExchangeSelection,
        /// Time until they restart.
        #[serde(default = "away")]
        seconds: Draw<Amount>,
    },
    /// Some proxies receive no roster updates for a time.
    RosterStopped {
        /// Start.
        at: Draw<Amount>,
        /// Duration.
        seconds: Draw<Positive>,
        /// The exchanges; all if absent.
        exchanges: Option<ExchangeSelection>,
    },
}

fn ramp() -> Draw<Amount> {
    Draw::of(1.0)
}
fn one() -> ExchangeSelection {
    ExchangeSelection::Count(1)
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
    /// Name of the kind, as in scenario files.
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

    /// Start of the trouble.
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

    /// The selection of exchanges, if it has one.
    fn selection(&self) -> Option<&ExchangeSelection> {
        match self {
            Trouble::Lopsided { exchanges, .. }
            | Trouble::Replace { exchanges, .. }
            | Trouble::Crash { exchanges, .. }
            | Trouble::ProxyRestart { exchanges, .. } => Some(exchanges),
            Trouble::Slow { exchanges, .. } | Trouble::RosterStopped { exchanges, .. } => exchanges.as_ref(),
            Trouble::Surge { .. } | Trouble::LostCircuits { .. } => None,
        }
    }

    /// Checks the trouble against its scenario; an error names the key and the reason.
    pub(super) fn check(&self, scenario: &Scenario) -> Result<(), (String, String)> {
        let fewest_exchanges = scenario.fleet.exchanges.lowest();
        let invalid = |key: &str, what: String| Err((key.to_owned(), what));
        if self.at().highest() >= scenario.seconds.highest() {
            return invalid("at", format!("the day lasts {} s only", scenario.seconds.highest()));
        }
        match self.selection() {
            Some(ExchangeSelection::Count(0)) => return invalid("exchanges", "want 1 or more".to_owned()),
            Some(ExchangeSelection::Count(n)) if f64::from(*n) > fewest_exchanges => {
                return invalid("exchanges", format!("there may be only {fewest_exchanges} exchanges"));
            }
            Some(ExchangeSelection::Listed(list)) => {
                if let Some(ix) = list.iter().find(|ix| **ix as f64 >= fewest_exchanges) {
                    return invalid(
                        "exchanges",
                        format!("there may be no exchange {ix} (they count from 0)"),
                    );
                }
                if list.is_empty() {
                    return invalid("exchanges", "want one or more".to_owned());
                }
            }
            _ => {}
        }
        match self {
            Trouble::Replace { batch: 0, .. } => invalid("batch", "want 1 or more".to_owned()),
            Trouble::LostCircuits { region: Some(region), .. }
                if !scenario.fleet.regions.contains(region) =>
            {
                invalid("region", format!("there is no region '{region}'"))
            }
            _ => Ok(()),
        }
    }
}
