//! Scenario files: a fleet, its traffic and its troubles, in TOML.
//!
//! A value may be a range `[low, high]`, from which each day (seed) draws its own. Values that are left out default to
//! the operators' own.

mod draw;
mod trouble;

use std::path::{Path, PathBuf};

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

pub use draw::{Amount, Bound, Draw, Positive, Share};
pub use trouble::{ExchangeSelection, Trouble};

use crate::LabError;

/// A scenario.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Scenario {
    /// Name of the scenario, for tables and files.
    pub name: String,
    /// What the scenario shows.
    #[serde(default)]
    pub about: String,
    /// Length of the arrival period, seconds. The day then runs until every call has ended.
    #[serde(default = "seconds")]
    pub seconds: Draw<Positive>,
    /// The exchanges.
    pub fleet: Fleet,
    /// Offered traffic.
    #[serde(default)]
    pub load: Load,
    /// Trunk groups and the traffic plan that they are sized for.
    #[serde(default)]
    pub groups: Groups,
    /// Processors.
    #[serde(default)]
    pub processor: Processor,
    /// Load reports of the exchanges.
    #[serde(default)]
    pub reports: Reports,
    /// Roster updates to the proxies.
    #[serde(default)]
    pub roster: Roster,
    /// The centre that advises a tandem for each call; without a centre, requests carry no advice.
    #[serde(default = "centre")]
    pub centre: Option<Centre>,
    /// Behaviour of the callers.
    #[serde(default)]
    pub callers: Callers,
    /// Classes of call.
    #[serde(default = "classes", rename = "class")]
    pub classes: Vec<Class>,
    /// Tenants.
    #[serde(default = "tenants", rename = "tenant")]
    pub tenants: Vec<Tenant>,
    /// Values of the rules.
    #[serde(default)]
    pub rules: Rules,
    /// Troubles and their times.
    #[serde(default, rename = "trouble")]
    pub troubles: Vec<Trouble>,
}

/// The exchanges and the network between them.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Fleet {
    /// Number of exchanges, each with its own signalling proxy; 2 to 1000.
    pub exchanges: Draw<Positive>,
    /// Names of the regions; exchanges are assigned to them in turn.
    #[serde(default = "regions")]
    pub regions: Vec<String>,
    /// One-way transmission time between exchanges of the same region, milliseconds.
    #[serde(default = "same_ms")]
    pub same_ms: Draw<Amount>,
    /// One-way transmission time between regions, milliseconds.
    #[serde(default = "cross_ms")]
    pub cross_ms: Draw<Amount>,
    /// Largest deviation from the transmission time, as a share of it.
    #[serde(default = "jitter")]
    pub jitter: Draw<Amount>,
    /// Interval at which proxies handle their events, milliseconds.
    #[serde(default = "tick_ms")]
    pub tick_ms: Draw<Positive>,
}

/// How arrivals vary in time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "kebab-case")]
pub enum Shape {
    /// Poisson process with a constant rate.
    Steady,
    /// Poisson process whose rate alternates between higher and lower by `swing`, in spans of some seconds.
    Bursty,
}

/// Offered traffic.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(default, deny_unknown_fields)]
pub struct Load {
    /// Offered load over planned load.
    pub offered: Draw<Positive>,
    /// How arrivals vary in time.
    pub shape: Shape,
    /// With `bursty`: share by which the rate is higher or lower.
    pub swing: Draw<Share>,
    /// With `bursty`: mean length of a span, seconds.
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

/// Trunk groups: one for each pair of exchanges, from which both ends seize circuits.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(default, deny_unknown_fields)]
pub struct Groups {
    /// Planned traffic per exchange, Erlang.
    pub erlangs: Draw<Positive>,
    /// Coefficient of variation of the planned traffic between pairs.
    pub pair_cv: Draw<Amount>,
    /// Factor on the planned traffic between exchanges of the same region.
    #[serde(rename = "local")]
    pub regional_factor: Draw<Positive>,
    /// Coefficient of variation of the actual traffic against the plan, by pair.
    #[serde(rename = "missed_cv")]
    pub plan_error_cv: Draw<Amount>,
    /// Coefficient of variation of the drift of the traffic between pairs during a day.
    pub drift_cv: Draw<Amount>,
    /// Interval at which the drift changes, seconds.
    pub drift_s: Draw<Positive>,
    /// Spare circuits beyond the planned Erlang of a group, in multiples of their square root.
    pub spare: Draw<Amount>,
    /// Circuits of every group; replaces the sizing from the plan.
    pub size: Option<u32>,
}

impl Default for Groups {
    fn default() -> Self {
        Groups {
            erlangs: Draw::between(130.0, 160.0),
            pair_cv: Draw::between(0.34, 0.58),
            regional_factor: Draw::between(1.0, 2.0),
            plan_error_cv: Draw::between(0.36, 0.61),
            drift_cv: Draw::between(0.36, 0.64),
            drift_s: Draw::between(13.0, 19.0),
            spare: Draw::between(0.23, 0.43),
            size: None,
        }
    }
}

/// Distribution of the processing time of a task.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "kebab-case")]
pub enum WorkTime {
    /// Constant.
    Fixed,
    /// Exponentially distributed.
    Exponential,
}

/// The processor of an exchange, a single server. Work is counted in set-ups.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(default, deny_unknown_fields)]
pub struct Processor {
    /// Utilisation at planned load if every call is routed direct; 0 if no task takes time.
    #[serde(rename = "use")]
    pub busy: Draw<Share>,
    /// Work of inspecting an incoming call, even if it is refused then.
    #[serde(rename = "look")]
    pub inspect: Draw<Amount>,
    /// Work of refusing a set-up.
    pub refuse: Draw<Amount>,
    /// Work of an answer, and of a release.
    #[serde(rename = "follow")]
    pub answer_or_release: Draw<Amount>,
    /// Wait above which a set-up is refused, milliseconds.
    pub longest_wait_ms: Draw<Positive>,
    /// Whether answers and releases go before waiting set-ups; otherwise they go behind them.
    pub finish_first: bool,
    /// Whether a set-up whose cancellation has arrived is dropped without processing.
    pub cancel_drops: bool,
    /// Distribution of the processing time of a task.
    pub work: WorkTime,
    /// Share of its full capacity at which a processor starts.
    pub cold_from: Draw<Share>,
    /// Time from its start to full capacity, seconds.
    pub cold_s: Draw<Positive>,
}

impl Default for Processor {
    fn default() -> Self {
        Processor {
            busy: Draw::between(0.68, 0.82),
            inspect: Draw::between(0.15, 0.3),
            refuse: Draw::between(0.1, 0.3),
            answer_or_release: Draw::between(0.25, 0.5),
            longest_wait_ms: Draw::between(1500.0, 3500.0),
            finish_first: false,
            cancel_drops: false,
            work: WorkTime::Fixed,
            cold_from: Draw::between(0.34, 0.46),
            cold_s: Draw::between(8.3, 15.0),
        }
    }
}

/// Load reports, which accompany the outcomes of attempts.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(default, deny_unknown_fields)]
pub struct Reports {
    /// Interval at which a processor measures its load, milliseconds.
    pub period_ms: Draw<Positive>,
    /// Time until reports use a measurement, milliseconds.
    pub delay_ms: Draw<Amount>,
    /// Standard deviation of the measurement noise, as a share of the value.
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

/// The roster, pushed to every proxy.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(default, deny_unknown_fields)]
pub struct Roster {
    /// Delay until the roster publishes a planned change, such as a drain or a new processor, seconds.
    #[serde(rename = "planned_s")]
    pub planned_delay_s: Draw<Amount>,
    /// Delay until the roster publishes a processor's crash, seconds.
    #[serde(rename = "notice_s")]
    pub crash_delay_s: Draw<Amount>,
    /// Longest further delay until a proxy receives an update, milliseconds; each proxy has its own.
    pub spread_ms: Draw<Amount>,
}

impl Default for Roster {
    fn default() -> Self {
        Roster {
            planned_delay_s: Draw::between(0.43, 2.3),
            crash_delay_s: Draw::between(2.6, 4.9),
            spread_ms: Draw::between(120.0, 340.0),
        }
    }
}

/// The network management centre: it surveys all groups and advises the tandem with the most free circuits.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(default, deny_unknown_fields)]
pub struct Centre {
    /// Interval between surveys, seconds.
    #[serde(rename = "every_s")]
    pub interval_s: Draw<Positive>,
    /// Time until a survey is used for advice, seconds.
    #[serde(rename = "late_s")]
    pub advice_delay_s: Draw<Amount>,
}

impl Default for Centre {
    fn default() -> Self {
        Centre { interval_s: Draw::of(2.6), advice_delay_s: Draw::of(1.2) }
    }
}

/// How a caller's wait before a redial grows.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "kebab-case")]
pub enum Backoff {
    /// The wait stays the same.
    Fixed,
    /// The wait doubles with each redial.
    Doubling,
}

/// Behaviour of callers.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(default, deny_unknown_fields)]
pub struct Callers {
    /// Highest number of redials. If a day draws 1.6, six callers in ten redial up to twice and the others once.
    pub redials: Draw<Amount>,
    /// Share of the class's give-up time after which a request is given up.
    pub try_share: Draw<Share>,
    /// Wait before a redial, milliseconds.
    pub wait_ms: Draw<Positive>,
    /// How the wait grows.
    pub backoff: Backoff,
    /// Share of the callers that redial after the requested cool-down instead of their own wait.
    #[serde(rename = "heed")]
    pub heed_share: Draw<Share>,
    /// Share of the callers that abandon their first request early, after a uniformly distributed time.
    #[serde(rename = "impatient")]
    pub impatient_share: Draw<Share>,
    /// Share of the callers that re-establish their call after it was cut.
    #[serde(rename = "come_again")]
    pub reestablish_share: Draw<Share>,
    /// Whether requests mark redials.
    #[serde(rename = "marked")]
    pub redials_marked: bool,
}

impl Default for Callers {
    fn default() -> Self {
        Callers {
            redials: Draw::between(1.0, 2.0),
            try_share: Draw::between(0.3, 0.4),
            wait_ms: Draw::between(560.0, 1500.0),
            backoff: Backoff::Fixed,
            heed_share: Draw::between(0.32, 0.78),
            impatient_share: Draw::between(0.0, 0.01),
            reestablish_share: Draw::of(0.0),
            redials_marked: true,
        }
    }
}

/// A class of calls.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Class {
    /// Name of the class.
    pub name: String,
    /// Its calls relative to those of the other classes.
    pub share: Draw<Positive>,
    /// Circuits that a call needs on every group of its route.
    #[serde(default = "one")]
    pub width: u32,
    /// Mean holding time, seconds.
    pub hold_s: Draw<Positive>,
    /// Coefficient of variation of the holding time; lognormal, but exponential at 1.
    #[serde(default = "hold_cv")]
    pub hold_cv: Draw<Amount>,
    /// Time from the first dialling within which an established call has its full worth, seconds.
    pub aim_s: Draw<Positive>,
    /// Time from the first dialling after which callers give up, seconds.
    pub give_up_s: Draw<Positive>,
    /// Worth of a call.
    pub worth: Draw<Positive>,
    /// Share of the worth if the call is established later.
    pub late_worth: Draw<Share>,
}

/// A tenant.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Tenant {
    /// Name of the tenant.
    pub name: String,
    /// Its share of the fleet's quota.
    pub share: Draw<Share>,
    /// Its offered calls relative to its share.
    #[serde(default = "usage")]
    pub usage: Draw<Positive>,
}

/// Values of the rules and of the service score.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(default, deny_unknown_fields)]
pub struct Rules {
    /// Highest number of attempts of one request.
    #[serde(rename = "attempts")]
    pub max_attempts: u32,
    /// Pause of a request's attempts after a time-out, reset or cancellation, milliseconds.
    #[serde(rename = "release_ms")]
    pub release_pause_ms: Draw<Amount>,
    /// Time after a drain's roster update for which new set-ups are allowed, milliseconds.
    #[serde(rename = "drain_ms")]
    pub drain_grace_ms: Draw<Amount>,
    /// Time after a request's deadline for which a final answer is allowed, milliseconds.
    #[serde(rename = "slack_ms")]
    pub answer_slack_ms: Draw<Amount>,
    /// A cold processor fails if it is sent more than this multiple of the set-ups that its present capacity allows.
    #[serde(rename = "fall_multiple")]
    pub cold_failure_multiple: Draw<Positive>,
    /// Window over which these set-ups are counted, milliseconds.
    #[serde(rename = "fall_ms")]
    pub cold_failure_window_ms: Draw<Positive>,
    /// Longest cool-down that callers can be asked for, seconds; 0 for none.
    pub longest_cool_down_s: Draw<Amount>,
    /// Factor on the worth of a call beyond its tenant's share.
    pub over_share_worth: Draw<Share>,
    /// The fleet's quota of calls, relative to the planned calls.
    pub quota: Draw<Positive>,
}

impl Default for Rules {
    fn default() -> Self {
        Rules {
            max_attempts: 4,
            release_pause_ms: Draw::of(300.0),
            drain_grace_ms: Draw::of(500.0),
            answer_slack_ms: Draw::of(20.0),
            cold_failure_multiple: Draw::of(4.0),
            cold_failure_window_ms: Draw::of(2000.0),
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
// Without this default an absent table would mean no centre instead of the operators' centre.
fn centre() -> Option<Centre> {
    Some(Centre::default())
}

/// A class; `times_and_worth` holds its `aim_s`, `give_up_s`, `worth` and `late_worth`.
fn class(name: &str, share: [f64; 2], width: u32, hold: [f64; 2], times_and_worth: [f64; 4]) -> Class {
    let [aim, give_up, worth, late_worth] = times_and_worth;
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

/// The operators' tenants.
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
    let key_error = |key: String, error: toml::de::Error| {
        let before = error.span().and_then(|span| text.get(..span.start)).unwrap_or("");
        let line = before.matches('\n').count() + 1;
        let key = if key.is_empty() || key == "." { "file".to_owned() } else { key };
        LabError::Key { path: path.to_owned(), line, key, what: error.message().trim_end().to_owned() }
    };
    let de = toml::Deserializer::parse(text).map_err(|e| key_error(String::new(), e))?;
    serde_path_to_error::deserialize(de).map_err(|e| {
        let key = e.path().to_string();
        key_error(key, e.into_inner())
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

    /// Checks what concerns several keys.
    fn check(&self, path: &Path) -> Result<(), LabError> {
        let invalid = |key: &str, what: &str| {
            Err(LabError::Sense { path: PathBuf::from(path), key: key.to_owned(), what: what.to_owned() })
        };
        let n = self.fleet.exchanges;
        if n.lowest() < 2.0 || n.highest() > 1000.0 {
            return invalid("fleet.exchanges", "want 2 to 1000 exchanges");
        }
        if self.fleet.regions.is_empty() {
            return invalid("fleet.regions", "want one region at least");
        }
        if self.classes.is_empty() {
            return invalid("class", "want one class at least");
        }
        if self.tenants.is_empty() {
            return invalid("tenant", "want one tenant at least");
        }
        let duplicate = |names: Vec<&str>| {
            let mut seen = std::collections::BTreeSet::new();
            names.into_iter().find(|n| !seen.insert(*n)).map(str::to_owned)
        };
        if let Some(name) = duplicate(self.classes.iter().map(|c| c.name.as_str()).collect()) {
            return invalid("class.name", &format!("'{name}' occurs twice"));
        }
        if let Some(name) = duplicate(self.tenants.iter().map(|t| t.name.as_str()).collect()) {
            return invalid("tenant.name", &format!("'{name}' occurs twice"));
        }
        for (ix, class) in self.classes.iter().enumerate() {
            if class.width == 0 {
                return invalid(&format!("class[{ix}].width"), "want 1 circuit or more");
            }
            if class.aim_s.highest() > class.give_up_s.lowest() {
                return invalid(
                    &format!("class[{ix}].aim_s"),
                    "callers give up before the time for full worth is over",
                );
            }
        }
        let shares: f64 = self.tenants.iter().map(|t| t.share.midpoint()).sum();
        if (shares - 1.0).abs() > 0.01 {
            return invalid("tenant.share", &format!("the shares sum to {shares:.2}, want 1"));
        }
        if self.rules.max_attempts == 0 {
            return invalid("rules.attempts", "want 1 or more");
        }
        for (ix, trouble) in self.troubles.iter().enumerate() {
            if let Err((key, what)) = trouble.check(self) {
                return invalid(&format!("trouble[{ix}].{key}"), &what);
            }
        }
        Ok(())
    }

    /// The JSON schema of scenario files.
    pub fn schema() -> schemars::Schema {
        schemars::schema_for!(Scenario)
    }
}
