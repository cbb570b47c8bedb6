//! Scenario files: a fleet, its traffic and its troubles, in TOML.
//!
//! A figure may be a range `[low, high]`; each day (seed) draws its own from it. What is not named has the
//! operators' figures as its default.

mod draw;
mod trouble;

use std::path::{Path, PathBuf};

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

pub use draw::{Amount, Bound, Draw, Positive, Share};
pub use trouble::{Trouble, Who};

use crate::LabError;

/// One scenario.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Scenario {
    /// Its name, for tables and files.
    pub name: String,
    /// What it shows.
    #[serde(default)]
    pub about: String,
    /// Arrivals go on for so many seconds; then the day runs until every call is over.
    #[serde(default = "seconds")]
    pub seconds: Draw<Positive>,
    /// The exchanges.
    pub fleet: Fleet,
    /// Offered traffic.
    #[serde(default)]
    pub load: Load,
    /// Trunk groups and the plan they were sized for.
    #[serde(default)]
    pub groups: Groups,
    /// Processors.
    #[serde(default)]
    pub processor: Processor,
    /// What exchanges report.
    #[serde(default)]
    pub reports: Reports,
    /// How news of exchanges reach the proxies.
    #[serde(default)]
    pub roster: Roster,
    /// The centre that advises a tandem; without it calls carry no advice.
    #[serde(default = "centre")]
    pub centre: Option<Centre>,
    /// What callers do.
    #[serde(default)]
    pub callers: Callers,
    /// Classes of call.
    #[serde(default = "classes", rename = "class")]
    pub classes: Vec<Class>,
    /// Subscribers.
    #[serde(default = "tenants", rename = "tenant")]
    pub tenants: Vec<Tenant>,
    /// The rules' figures.
    #[serde(default)]
    pub rules: Rules,
    /// What goes wrong, and when.
    #[serde(default, rename = "trouble")]
    pub troubles: Vec<Trouble>,
}

/// The exchanges and the network between them.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Fleet {
    /// How many, each with its own signalling proxy; 2 to 1000.
    pub exchanges: Draw<Positive>,
    /// Names of the regions; exchanges are dealt to them in turn.
    #[serde(default = "regions")]
    pub regions: Vec<String>,
    /// One way between exchanges of one region, milliseconds.
    #[serde(default = "same_ms")]
    pub same_ms: Draw<Amount>,
    /// One way between regions, milliseconds.
    #[serde(default = "cross_ms")]
    pub cross_ms: Draw<Amount>,
    /// Spread of the time in flight, as a share of it.
    #[serde(default = "jitter")]
    pub jitter: Draw<Amount>,
    /// A proxy handles what has come in once in so many milliseconds.
    #[serde(default = "tick_ms")]
    pub tick_ms: Draw<Positive>,
}

/// How arrivals vary in time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "kebab-case")]
pub enum Shape {
    /// Poisson at a steady rate.
    Steady,
    /// Poisson at a rate that goes up and down by `swing` in spans of some seconds.
    Bursty,
}

/// Offered traffic.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(default, deny_unknown_fields)]
pub struct Load {
    /// Offered over planned.
    pub offered: Draw<Positive>,
    /// How it varies.
    pub shape: Shape,
    /// With `bursty`: the rate goes up and down by this share.
    pub swing: Draw<Share>,
    /// With `bursty`: a span lasts so many seconds on average.
    pub swing_s: Draw<Positive>,
}

impl Default for Load {
    fn default() -> Self {
        Load {
            offered: Draw::between(0.85, 0.94),
            shape: Shape::Steady,
            swing: Draw::between(0.05, 0.2),
            swing_s: Draw::of(3.0),
        }
    }
}

/// Trunk groups: one for each pair of exchanges, shared by both ends.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(default, deny_unknown_fields)]
pub struct Groups {
    /// Circuits that the calls of one exchange keep busy at the planned load (Erlang).
    pub erlangs: Draw<Positive>,
    /// Coefficient of variation of the planned traffic between pairs.
    pub pair_cv: Draw<Amount>,
    /// How much more traffic stays in a region than leaves it.
    pub local: Draw<Positive>,
    /// Coefficient of variation between the plan and the traffic, by pair.
    pub missed_cv: Draw<Amount>,
    /// The same for the drift of where calls go in the course of a day.
    pub drift_cv: Draw<Amount>,
    /// Where calls go moves once in so many seconds.
    pub drift_s: Draw<Positive>,
    /// Circuits beyond the planned Erlangs, in square roots of them.
    pub spare: Draw<Amount>,
    /// Circuits of every group, in place of all sizing.
    pub size: Option<u32>,
}

impl Default for Groups {
    fn default() -> Self {
        Groups {
            erlangs: Draw::between(130.0, 160.0),
            pair_cv: Draw::between(0.34, 0.58),
            local: Draw::between(1.0, 2.0),
            missed_cv: Draw::between(0.36, 0.61),
            drift_cv: Draw::between(0.36, 0.64),
            drift_s: Draw::between(13.0, 19.0),
            spare: Draw::between(0.23, 0.43),
            size: None,
        }
    }
}

/// How long the same work takes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "kebab-case")]
pub enum WorkTime {
    /// Always the same.
    Fixed,
    /// Exponentially distributed.
    Exponential,
}

/// The processor of an exchange: one line. Work is counted in set-ups.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(default, deny_unknown_fields)]
pub struct Processor {
    /// Share of the time it is busy at the planned load with every call direct; 0 for no work at all.
    #[serde(rename = "use")]
    pub busy: Draw<Share>,
    /// Work of looking at a call, also one that is refused.
    pub look: Draw<Amount>,
    /// Work of turning a set-up away.
    pub refuse: Draw<Amount>,
    /// Work of an answer, and of a release.
    pub follow: Draw<Amount>,
    /// A set-up that would wait longer is turned away, milliseconds.
    pub longest_wait_ms: Draw<Positive>,
    /// Answers and releases go before set-ups that wait; else behind them.
    pub finish_first: bool,
    /// A set-up that was given up is not worked on once that is heard of.
    pub cancel_drops: bool,
    /// How long the same work takes.
    pub work: WorkTime,
    /// A started processor begins at this share of its capacity.
    pub cold_from: Draw<Share>,
    /// It is warm after so many seconds.
    pub cold_s: Draw<Positive>,
}

impl Default for Processor {
    fn default() -> Self {
        Processor {
            busy: Draw::between(0.68, 0.82),
            look: Draw::between(0.15, 0.3),
            refuse: Draw::between(0.1, 0.3),
            follow: Draw::between(0.25, 0.5),
            longest_wait_ms: Draw::between(1500.0, 3500.0),
            finish_first: false,
            cancel_drops: false,
            work: WorkTime::Fixed,
            cold_from: Draw::between(0.34, 0.46),
            cold_s: Draw::between(8.3, 15.0),
        }
    }
}

/// Load reports, which come with the outcomes of attempts.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(default, deny_unknown_fields)]
pub struct Reports {
    /// A processor's figures are taken once in so many milliseconds.
    pub period_ms: Draw<Positive>,
    /// They are known so much later, milliseconds.
    pub delay_ms: Draw<Amount>,
    /// Spread of their noise, as a share.
    pub noise: Draw<Amount>,
}

impl Default for Reports {
    fn default() -> Self {
        Reports {
            period_ms: Draw::between(200.0, 980.0),
            delay_ms: Draw::between(22.0, 290.0),
            noise: Draw::between(0.026, 0.15),
        }
    }
}

/// The list of exchanges, pushed to every proxy.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(default, deny_unknown_fields)]
pub struct Roster {
    /// A planned change, as of a drain or a new processor, is told after so many seconds.
    pub planned_s: Draw<Amount>,
    /// A processor that has died is noticed after so many seconds.
    pub notice_s: Draw<Amount>,
    /// Proxies are told within so many milliseconds of each other.
    pub spread_ms: Draw<Amount>,
}

impl Default for Roster {
    fn default() -> Self {
        Roster {
            planned_s: Draw::between(0.43, 2.3),
            notice_s: Draw::between(2.6, 4.9),
            spread_ms: Draw::between(120.0, 340.0),
        }
    }
}

/// The centre: it looks at all groups and advises the tandem with most room.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(default, deny_unknown_fields)]
pub struct Centre {
    /// It looks once in so many seconds.
    pub every_s: Draw<Positive>,
    /// What it saw is used so many seconds later.
    pub late_s: Draw<Amount>,
}

impl Default for Centre {
    fn default() -> Self {
        Centre { every_s: Draw::of(2.6), late_s: Draw::of(1.2) }
    }
}

/// How the wait before a caller's next try grows.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "kebab-case")]
pub enum Backoff {
    /// It stays the same.
    Fixed,
    /// It doubles.
    Doubling,
}

/// Habits of callers.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(default, deny_unknown_fields)]
pub struct Callers {
    /// Further tries of a caller, at most; a day that draws 1.6 has six callers in ten with 2 and the rest with 1.
    pub redials: Draw<Amount>,
    /// A try is given up after this share of the class's give-up time.
    pub try_share: Draw<Share>,
    /// Wait before a redial, milliseconds.
    pub wait_ms: Draw<Positive>,
    /// How it grows.
    pub backoff: Backoff,
    /// Share of the callers that come back just when they are asked to, in place of after their own wait.
    pub heed: Draw<Share>,
    /// Share of the callers that leave early, at an even moment of their time.
    pub impatient: Draw<Share>,
    /// Share of the calls that come again after they were cut.
    pub come_again: Draw<Share>,
    /// Redials are marked.
    pub marked: bool,
}

impl Default for Callers {
    fn default() -> Self {
        Callers {
            redials: Draw::between(1.0, 2.0),
            try_share: Draw::between(0.3, 0.4),
            wait_ms: Draw::between(560.0, 1500.0),
            backoff: Backoff::Fixed,
            heed: Draw::between(0.32, 0.78),
            impatient: Draw::between(0.0, 0.01),
            come_again: Draw::of(0.0),
            marked: true,
        }
    }
}

/// A class of calls.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Class {
    /// Its name.
    pub name: String,
    /// Its part of the calls.
    pub share: Draw<Positive>,
    /// Circuits a call takes on every group it crosses.
    #[serde(default = "one")]
    pub width: u32,
    /// Mean holding time, seconds.
    pub hold_s: Draw<Positive>,
    /// Coefficient of variation of the holding time; lognormal, but exponential at 1.
    #[serde(default = "hold_cv")]
    pub hold_cv: Draw<Amount>,
    /// Full worth if the call stands within so many seconds of the first try.
    pub aim_s: Draw<Positive>,
    /// Callers give up so many seconds after the first try.
    pub give_up_s: Draw<Positive>,
    /// Worth of a call.
    pub worth: Draw<Positive>,
    /// Share of the worth if it stands later.
    pub late_worth: Draw<Share>,
}

/// A subscriber.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Tenant {
    /// Its name.
    pub name: String,
    /// Its share of the service.
    pub share: Draw<Share>,
    /// Its calls over its share.
    #[serde(default = "usage")]
    pub usage: Draw<Positive>,
}

/// Figures of the rules and of how service is counted.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(default, deny_unknown_fields)]
pub struct Rules {
    /// Attempts of one request, at most.
    pub attempts: u32,
    /// No send for so long after a time-out, reset or cancel, milliseconds.
    pub release_ms: Draw<Amount>,
    /// Nothing new to an exchange so long after its drain was told, milliseconds.
    pub drain_ms: Draw<Amount>,
    /// A final answer still counts so long after the caller's time, milliseconds.
    pub slack_ms: Draw<Amount>,
    /// A cold processor that is sent more than this multiple of what it can do ...
    pub fall_multiple: Draw<Positive>,
    /// ... for so long falls over and stays down, milliseconds.
    pub fall_ms: Draw<Positive>,
    /// Callers are told how long to stay away, up to so many seconds; 0 for not at all.
    pub longest_cool_down_s: Draw<Amount>,
    /// Worth of a call beyond its tenant's share.
    pub over_share_worth: Draw<Share>,
    /// All shares together, over what the fleet can carry.
    pub quota: Draw<Positive>,
}

impl Default for Rules {
    fn default() -> Self {
        Rules {
            attempts: 4,
            release_ms: Draw::of(300.0),
            drain_ms: Draw::of(500.0),
            slack_ms: Draw::of(20.0),
            fall_multiple: Draw::of(4.0),
            fall_ms: Draw::of(2000.0),
            longest_cool_down_s: Draw::of(2.0),
            over_share_worth: Draw::of(0.2),
            quota: Draw::between(0.76, 0.94),
        }
    }
}

fn seconds() -> Draw<Positive> {
    Draw::of(50.0)
}
fn regions() -> Vec<String> {
    ["occidente", "central", "oriente", "peten"].map(String::from).to_vec()
}
fn same_ms() -> Draw<Amount> {
    Draw::between(4.4, 7.4)
}
fn cross_ms() -> Draw<Amount> {
    Draw::between(14.0, 23.0)
}
fn jitter() -> Draw<Amount> {
    Draw::between(0.064, 0.32)
}
fn tick_ms() -> Draw<Positive> {
    Draw::of(5.0)
}
fn one() -> u32 {
    1
}
fn hold_cv() -> Draw<Amount> {
    Draw::between(0.3, 0.65)
}
fn usage() -> Draw<Positive> {
    Draw::of(1.0)
}
// An absent table is the operators' centre; `Option` without this would be none at all.
fn centre() -> Option<Centre> {
    Some(Centre::default())
}

fn class(name: &str, share: [f64; 2], width: u32, hold: [f64; 2], figures: [f64; 4]) -> Class {
    let [aim, give_up, worth, late_worth] = figures;
    Class {
        name: name.to_owned(),
        share: Draw::between(share[0], share[1]),
        width,
        hold_s: Draw::between(hold[0], hold[1]),
        hold_cv: hold_cv(),
        aim_s: Draw::of(aim),
        give_up_s: Draw::of(give_up),
        worth: Draw::of(worth),
        late_worth: Draw::of(late_worth),
    }
}

/// The operators' classes.
pub fn classes() -> Vec<Class> {
    vec![
        class("trace-read", [5.6, 8.8], 1, [9.5, 13.0], [2.0, 9.0, 1.0, 0.25]),
        class("multi-station", [0.72, 1.1], 3, [12.0, 17.0], [2.0, 9.0, 2.0, 0.1]),
        class("event-alert", [0.36, 0.56], 1, [5.7, 7.8], [1.2, 6.0, 8.0, 0.25]),
    ]
}

/// The operators' subscribers.
pub fn tenants() -> Vec<Tenant> {
    let tenant = |name: &str, share, usage: [f64; 2]| Tenant {
        name: name.to_owned(),
        share: Draw::of(share),
        usage: Draw::between(usage[0], usage[1]),
    };
    vec![
        tenant("obras-viales", 0.64, [0.5, 1.4]),
        tenant("coop-cafetera", 0.23, [0.57, 1.2]),
        tenant("colegio-ingenieros", 0.13, [0.64, 1.4]),
    ]
}

/// Reads a TOML file into `T`; an error names the file, the line and the key.
pub fn read_toml<T: for<'de> Deserialize<'de>>(path: &Path) -> Result<T, LabError> {
    let text = std::fs::read_to_string(path).map_err(LabError::file(path))?;
    parse_toml(&text, path)
}

fn parse_toml<T: for<'de> Deserialize<'de>>(text: &str, path: &Path) -> Result<T, LabError> {
    let fault = |key: String, error: toml::de::Error| {
        let before = error.span().and_then(|span| text.get(..span.start)).unwrap_or("");
        let line = before.matches('\n').count() + 1;
        let key = if key.is_empty() || key == "." { "file".to_owned() } else { key };
        LabError::Key { path: path.to_owned(), line, key, what: error.message().trim_end().to_owned() }
    };
    let de = toml::Deserializer::parse(text).map_err(|e| fault(String::new(), e))?;
    serde_path_to_error::deserialize(de).map_err(|e| {
        let key = e.path().to_string();
        fault(key, e.into_inner())
    })
}

impl Scenario {
    /// Reads and checks a scenario file.
    pub fn read(path: &Path) -> Result<Self, LabError> {
        let scenario: Scenario = read_toml(path)?;
        scenario.check(path)?;
        Ok(scenario)
    }

    /// Reads and checks a scenario given as text.
    pub fn parse(text: &str, path: &Path) -> Result<Self, LabError> {
        let scenario: Scenario = parse_toml(text, path)?;
        scenario.check(path)?;
        Ok(scenario)
    }

    /// What no single key shows.
    fn check(&self, path: &Path) -> Result<(), LabError> {
        let sense = |key: &str, what: &str| {
            Err(LabError::InvalidValue {
                path: PathBuf::from(path),
                key: key.to_owned(),
                what: what.to_owned(),
            })
        };
        let n = self.fleet.exchanges;
        if n.least() < 2.0 || n.most() > 1000.0 {
            return sense("fleet.exchanges", "want 2 to 1000 exchanges");
        }
        if self.fleet.regions.is_empty() {
            return sense("fleet.regions", "want one region at least");
        }
        if self.classes.is_empty() {
            return sense("class", "want one class at least");
        }
        if self.tenants.is_empty() {
            return sense("tenant", "want one subscriber at least");
        }
        let twice = |names: Vec<&str>| {
            let mut seen = std::collections::BTreeSet::new();
            names.into_iter().find(|n| !seen.insert(*n)).map(str::to_owned)
        };
        if let Some(name) = twice(self.classes.iter().map(|c| c.name.as_str()).collect()) {
            return sense("class.name", &format!("'{name}' is there twice"));
        }
        if let Some(name) = twice(self.tenants.iter().map(|t| t.name.as_str()).collect()) {
            return sense("tenant.name", &format!("'{name}' is there twice"));
        }
        for (ix, class) in self.classes.iter().enumerate() {
            if class.width == 0 {
                return sense(&format!("class[{ix}].width"), "want 1 circuit or more");
            }
            if class.aim_s.most() > class.give_up_s.least() {
                return sense(
                    &format!("class[{ix}].aim_s"),
                    "callers give up before the wanted time is over",
                );
            }
        }
        let shares: f64 = self.tenants.iter().map(|t| t.share.middle()).sum();
        if (shares - 1.0).abs() > 0.01 {
            return sense("tenant.share", &format!("the shares sum to {shares:.2}, want 1"));
        }
        if self.rules.attempts == 0 {
            return sense("rules.attempts", "want 1 or more");
        }
        for (ix, trouble) in self.troubles.iter().enumerate() {
            if let Err((key, what)) = trouble.check(self) {
                return sense(&format!("trouble[{ix}].{key}"), &what);
            }
        }
        Ok(())
    }

    /// The JSON schema of scenario files.
    pub fn schema() -> schemars::Schema {
        schemars::schema_for!(Scenario)
    }
}
