//! The one store of what can be configured while the program runs: its tenants. The fronts obey it through the
//! call table; the administration's interfaces change it.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use thiserror::Error;

/// A customer of the service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Tenant {
    /// Its name, as calls bear it.
    pub name: String,
    /// Its calls are turned down.
    #[serde(default)]
    pub suspended: bool,
    /// The most calls it may have at a time, waiting or standing; more are refused.
    #[serde(default)]
    pub max_calls: Option<u32>,
}

/// What became of a tenant's calls since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Counts {
    /// Calls at present, waiting or standing.
    pub present: u32,
    /// Requests taken.
    pub taken: u64,
    /// Calls that stood.
    pub stood: u64,
    /// Requests refused: trying again is harmless.
    pub refused: u64,
    /// Requests that failed.
    pub failed: u64,
    /// Requests that their callers gave up.
    pub given_up: u64,
    /// Requests turned down, as of a suspended tenant or an unknown class.
    pub rejected: u64,
}

/// One change of the store.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Change {
    /// A tenant that is not there yet.
    Create(Tenant),
    /// Another value for one that is; `None` leaves as it is.
    Set {
        /// Which.
        name: String,
        /// Whether it is suspended.
        suspended: Option<bool>,
        /// Its limit; `Some(None)` takes it away.
        max_calls: Option<Option<u32>>,
    },
    /// A tenant that is to go. Calls that stand go on.
    Delete(String),
}

/// Why a change is not made.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum ChangeError {
    /// It is there already.
    #[error("tenant '{0}' exists already")]
    Exists(String),
    /// It is not there.
    #[error("there is no tenant '{0}'")]
    Missing(String),
    /// A value makes no sense.
    #[error("{0}")]
    Invalid(&'static str),
}

/// All tenants.
#[derive(Clone, Debug, Default)]
pub struct Tenants {
    held: BTreeMap<String, (Tenant, Counts)>,
    /// No tenant was ever named: every name will do.
    open: bool,
}

fn check(tenant: &Tenant) -> Result<(), ChangeError> {
    let visible = |b: u8| b.is_ascii_graphic() && !b"/?#%<>&\"'".contains(&b);
    if tenant.name.is_empty() || tenant.name.len() > 64 || !tenant.name.bytes().all(visible) {
        return Err(ChangeError::Invalid("a name has 1 to 64 visible characters, none of /?#%<>&\"'"));
    }
    if tenant.max_calls == Some(0) {
        return Err(ChangeError::Invalid("max_calls is 1 or more; suspend a tenant that may have none"));
    }
    Ok(())
}

impl Tenants {
    /// The tenants of the start. Without any, every name will do until one is created.
    pub fn new(tenants: impl IntoIterator<Item = Tenant>) -> Self {
        let held: BTreeMap<_, _> =
            tenants.into_iter().map(|t| (t.name.clone(), (t, Counts::default()))).collect();
        Tenants { open: held.is_empty(), held }
    }

    /// All tenants with their counts, by name.
    pub fn list(&self) -> Vec<(Tenant, Counts)> {
        self.held.values().cloned().collect()
    }

    /// Makes all of the changes, or none.
    pub fn apply(&mut self, changes: &[Change]) -> Result<(), ChangeError> {
        let mut held = self.held.clone();
        for change in changes {
            match change {
                Change::Create(tenant) => {
                    check(tenant)?;
                    if held.contains_key(&tenant.name) {
                        return Err(ChangeError::Exists(tenant.name.clone()));
                    }
                    held.insert(tenant.name.clone(), (tenant.clone(), Counts::default()));
                }
                Change::Set { name, suspended, max_calls } => {
                    let Some((tenant, _)) = held.get_mut(name) else {
                        return Err(ChangeError::Missing(name.clone()));
                    };
                    tenant.suspended = suspended.unwrap_or(tenant.suspended);
                    tenant.max_calls = max_calls.unwrap_or(tenant.max_calls);
                    check(tenant)?;
                }
                Change::Delete(name) => {
                    held.remove(name).ok_or_else(|| ChangeError::Missing(name.clone()))?;
                }
            }
        }
        self.open &= changes.is_empty();
        self.held = held;
        Ok(())
    }

    /// Whether calls of this tenant are taken at all. One that names none is the platform's own.
    pub(super) fn admits(&self, name: Option<&String>) -> bool {
        let known = |name: &String| self.held.get(name).map_or(self.open, |(t, _)| !t.suspended);
        name.is_none_or(known)
    }

    /// Whether it has as many calls as it may.
    pub(super) fn is_full(&self, name: Option<&String>) -> bool {
        let held = name.and_then(|name| self.held.get(name));
        held.is_some_and(|(t, counts)| t.max_calls.is_some_and(|most| counts.present >= most))
    }

    /// Counts something.
    pub(super) fn count(&mut self, name: Option<&String>, count: impl FnOnce(&mut Counts)) {
        if let Some((_, counts)) = name.and_then(|name| self.held.get_mut(name)) {
            count(counts);
        }
    }
}
