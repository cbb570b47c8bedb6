//! What is compared: the shipped proxies with some tuned values, or a program that speaks the wire.

use std::path::{Path, PathBuf};
use std::time::Duration;

use mallowring::Tuning;
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

use crate::proxy::{ExternalProgram, ProxyFleet, Shipped};
use crate::scenario::read_toml;
use crate::LabError;

/// The longest wait for one answer of a program, real time.
const PATIENCE: Duration = Duration::from_secs(20);

/// A version of the proxies.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Arm {
    /// Its name.
    pub name: String,
    /// What it is.
    #[serde(default)]
    pub about: String,
    /// Tuned values that differ from the shipped ones.
    #[serde(default)]
    pub tuning: Tuning,
    /// In place of the shipped proxies: a program that speaks the simulator's wire, with its arguments.
    #[serde(default)]
    pub program: Vec<String>,
    /// Changes the seeds of the proxies, and nothing else of a day.
    #[serde(default)]
    pub salt: u64,
}

impl Arm {
    /// The shipped proxies with other tuned values.
    pub fn tuned(name: &str, about: &str, tuning: Tuning) -> Self {
        Arm { name: name.to_owned(), about: about.to_owned(), tuning, program: Vec::new(), salt: 0 }
    }

    /// Those that are built in: what ships, changes known to be bad, and one that changes nothing.
    pub fn built_in() -> Vec<Arm> {
        let t = Tuning::default;
        vec![
            Arm::tuned("today", "what ships", t()),
            Arm::tuned(
                "refusal-off",
                "no first set-up is refused under overload",
                Tuning { refused: [0.0; 5], ..t() },
            ),
            Arm::tuned(
                "reservation-off",
                "no circuit is kept back from transit and alternative calls",
                Tuning { reserve: 0.0, ..t() },
            ),
            Arm::tuned(
                "no-full-pause",
                "no pause of sends after 'processor full'",
                Tuning { full_pause: 0.0, ..t() },
            ),
            Arm::tuned(
                "refused-pause-3s",
                "3 s without sends to an exchange after every set-up that it turned away",
                Tuning { full_pause: 3.0, refused_pause: 3.0, ..t() },
            ),
            Arm { salt: 1, ..Arm::tuned("another-seed", "what ships, with other seeds of the module", t()) },
        ]
    }

    /// The built-in one of this name, or what a file describes.
    pub fn named(name: &str) -> Result<Self, LabError> {
        if let Some(arm) = Arm::built_in().into_iter().find(|a| a.name == name) {
            return Ok(arm);
        }
        let path = Path::new(name);
        if path.extension().is_none() {
            let names: Vec<String> = Arm::built_in().into_iter().map(|a| a.name).collect();
            let what =
                format!("there is no candidate '{name}': name a TOML file, or one of {}", names.join(", "));
            return Err(LabError::Argument(what));
        }
        let arm: Arm = read_toml(path)?;
        let sense = |key: &str, what: String| {
            Err(LabError::Sense { path: PathBuf::from(path), key: key.to_owned(), what })
        };
        if !arm.program.is_empty() && arm.tuning != Tuning::default() {
            return sense("tuning", "a program has its own tuned values".to_owned());
        }
        match arm.fault() {
            Some((key, what)) => sense(&format!("tuning.{key}"), what),
            None => Ok(arm),
        }
    }

    /// A tuned value that makes no sense.
    fn fault(&self) -> Option<(String, String)> {
        let values = serde_json::to_value(&self.tuning).ok()?;
        for (key, value) in values.as_object()? {
            let numbers = value.as_array().cloned().unwrap_or_else(|| vec![value.clone()]);
            let bad = |v: &serde_json::Value| !v.as_f64().is_some_and(|x| x.is_finite() && x >= 0.0);
            if numbers.iter().any(bad) {
                return Some((key.clone(), "want a number of 0 or above".to_owned()));
            }
        }
        let t = &self.tuning;
        if t.refused.iter().any(|share| *share > 1.0) {
            return Some(("refused".to_owned(), "want shares from 0 to 1".to_owned()));
        }
        if t.onset_min > t.onset_max {
            return Some(("onset_min".to_owned(), "is above onset_max".to_owned()));
        }
        if t.abate <= 0.5 || t.abate >= 1.0 {
            let what = "want more than 0.5 and less than 1, so that abate1 < onset1 < abate2";
            return Some(("abate".to_owned(), what.to_owned()));
        }
        if t.most_tries == 0 {
            return Some(("most_tries".to_owned(), "want 1 or more".to_owned()));
        }
        None
    }

    /// A fleet of it.
    pub fn seats(&self) -> Result<Box<dyn ProxyFleet>, LabError> {
        if self.program.is_empty() {
            Ok(Box::new(Shipped::new(self.tuning.clone())))
        } else {
            Ok(Box::new(ExternalProgram::start(&self.name, &self.program, PATIENCE)?))
        }
    }
}
