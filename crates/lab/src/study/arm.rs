//! Arms of a comparison: the shipped proxies with some tuning, or a program that speaks the simulator's protocol.

use std::path::{Path, PathBuf};
use std::time::Duration;

use mallowring::Tuning;
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

use crate::proxy::{ExternalProgram, ProxyFleet, Shipped};
use crate::scenario::read_toml;
use crate::LabError;

/// Longest wait for an answer of a candidate program, in wall-clock time.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(20);

/// A version of the proxies to simulate.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Arm {
    /// Name of the candidate.
    pub name: String,
    /// Description of the candidate.
    #[serde(default)]
    pub about: String,
    /// Tuning; a key that is left out has its shipped value.
    #[serde(default)]
    pub tuning: Tuning,
    /// A program with its arguments that speaks the simulator's protocol and replaces the shipped proxies.
    #[serde(default)]
    pub program: Vec<String>,
    /// Changes the seeds of the proxies; everything else of a day stays the same.
    #[serde(default)]
    pub salt: u64,
}

impl Arm {
    /// The shipped proxies with the given tuning.
    pub fn tuned(name: &str, about: &str, tuning: Tuning) -> Self {
        Arm { name: name.to_owned(), about: about.to_owned(), tuning, program: Vec::new(), salt: 0 }
    }

    /// The built-in candidates: the shipped tuning, changes that are known to be worse, and one with other seeds only.
    pub fn built_in() -> Vec<Arm> {
        let shipped = Tuning::default;
        vec![
            Arm::tuned("today", "what ships", shipped()),
            Arm::tuned(
                "refusal-off",
                "no first set-up is refused under overload",
                Tuning { refused: [0.0; 5], ..shipped() },
            ),
            Arm::tuned(
                "reservation-off",
                "no circuit is kept back from transit and alternative calls",
                Tuning { reserve: 0.0, ..shipped() },
            ),
            Arm::tuned(
                "no-full-pause",
                "no pause of sends after 'processor full'",
                Tuning { full_pause: 0.0, ..shipped() },
            ),
            Arm::tuned(
                "refused-pause-3s",
                "3 s without sends to an exchange after every set-up that it turned away",
                Tuning { full_pause: 3.0, refused_pause: 3.0, ..shipped() },
            ),
            Arm {
                salt: 1,
                ..Arm::tuned("another-seed", "what ships, with other seeds of the module", shipped())
            },
        ]
    }

    /// Returns the built-in candidate of this name, or reads a candidate file.
    pub fn named(name: &str) -> Result<Self, LabError> {
        if let Some(arm) = Arm::built_in().into_iter().find(|a| a.name == name) {
            return Ok(arm);
        }
        let path = Path::new(name);
        if path.extension().is_none() {
            let names: Vec<String> = Arm::built_in().into_iter().map(|a| a.name).collect();
            let what = format!(
                "there is no candidate '{name}': expected a TOML file or one of {}",
                names.join(", ")
            );
            return Err(LabError::Argument(what));
        }
        let arm: Arm = read_toml(path)?;
        let invalid = |key: &str, what: String| {
            Err(LabError::InvalidValue { path: PathBuf::from(path), key: key.to_owned(), what })
        };
        if !arm.program.is_empty() && arm.tuning != Tuning::default() {
            return invalid(
                "tuning",
                "not allowed together with a program, which has its own tuning".to_owned(),
            );
        }
        match arm.invalid_tuning() {
            Some((key, what)) => invalid(&format!("tuning.{key}"), what),
            None => Ok(arm),
        }
    }

    /// Returns the key of an invalid tuning value and a description of the error.
    fn invalid_tuning(&self) -> Option<(String, String)> {
        let values = serde_json::to_value(&self.tuning).ok()?;
        for (key, value) in values.as_object()? {
            let numbers = value.as_array().cloned().unwrap_or_else(|| vec![value.clone()]);
            let is_invalid = |v: &serde_json::Value| !v.as_f64().is_some_and(|x| x.is_finite() && x >= 0.0);
            if numbers.iter().any(is_invalid) {
                return Some((key.clone(), "expected a number of 0 or above".to_owned()));
            }
        }
        let tuning = &self.tuning;
        if tuning.refused.iter().any(|share| *share > 1.0) {
            return Some(("refused".to_owned(), "expected shares from 0 to 1".to_owned()));
        }
        if tuning.onset_min > tuning.onset_max {
            return Some(("onset_min".to_owned(), "is above onset_max".to_owned()));
        }
        if tuning.abate <= 0.5 || tuning.abate >= 1.0 {
            let what = "want more than 0.5 and less than 1, so that abate1 < onset1 < abate2";
            return Some(("abate".to_owned(), what.to_owned()));
        }
        if tuning.most_tries == 0 {
            return Some(("most_tries".to_owned(), "expected 1 or more".to_owned()));
        }
        None
    }

    /// Creates the proxies of this arm for one simulated day.
    pub fn proxy_fleet(&self) -> Result<Box<dyn ProxyFleet>, LabError> {
        if self.program.is_empty() {
            Ok(Box::new(Shipped::new(self.tuning.clone())))
        } else {
            Ok(Box::new(ExternalProgram::start(&self.name, &self.program, ANSWER_TIMEOUT)?))
        }
    }
}
