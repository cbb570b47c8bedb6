//! Store of the tenants, the only configuration that can change while the program runs. The call table applies it to
//! the requests of all fronts; the administration interfaces change it.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use thiserror::Error;

/// A customer of the service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Tenant {
    /// Its name, as requests for calls give it.
    pub name: String,
    /// Whether its requests are rejected.
    #[serde(default)]
    pub suspended: bool,
    /// Maximum number of its calls at a time, waiting or established. Requests beyond it are refused.
    #[serde(default)]
    pub max_calls: Option<u32>,
}

/// Counters of a tenant's calls since the start of the program.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Counts {
    /// Present number of calls, waiting or established.
    pub present: u32,
    /// Requests that were accepted for a decision.
    pub taken: u64,
    /// Calls that were established.
    pub stood: u64,
    /// Requests that were refused, so that the caller may try again.
    pub refused: u64,
    /// Requests that failed for good.
    pub failed: u64,
    /// Requests that their callers gave up.
    pub given_up: u64,
    /// Requests that were rejected as invalid, for example for a suspended tenant or an unknown class.
    pub rejected: u64,
}

/// A change of the store.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Change {
    /// Adds a tenant that does not exist yet.
    Create(Tenant),
    /// Sets values of an existing tenant; `None` leaves a value unchanged.
    Set {
        /// The name of the tenant.
        name: String,
        /// Whether it is suspended.
        suspended: Option<bool>,
        /// Its limit on calls; `Some(None)` removes the limit.
        max_calls: Option<Option<u32>>,
    },
    /// Deletes a tenant. Its established calls continue.
    Delete(String),
}

/// Reason for which a change is not applied.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum ChangeError {
    /// The tenant exists already.
    #[error("tenant '{0}' exists already")]
    Exists(String),
    /// The tenant does not exist.
    #[error("there is no tenant '{0}'")]
    Missing(String),
    /// A value is invalid.
    #[error("{0}")]
    Invalid(&'static str),
}

/// All tenants with their counters.
#[derive(Clone, Debug, Default)]
pub struct Tenants {
    by_name: BTreeMap<String, (Tenant, Counts)>,
    /// No tenant was ever configured: requests of any tenant are accepted.
    accepts_any: bool,
}

fn validate(tenant: &Tenant) -> Result<(), ChangeError> {
    let allowed = |b: u8| b.is_ascii_graphic() && !b"/?#%<>&\"'".contains(&b);
    if tenant.name.is_empty() || tenant.name.len() > 64 || !tenant.name.bytes().all(allowed) {
        return Err(ChangeError::Invalid("a name has 1 to 64 visible characters, none of /?#%<>&\"'"));
    }
    if tenant.max_calls == Some(0) {
        return Err(ChangeError::Invalid("max_calls is 1 or more; suspend a tenant that may have none"));
    }
    Ok(())
}

impl Tenants {
    /// Creates the store with the configured tenants. If there are none, requests of any tenant are accepted until a
    /// tenant is created.
    pub fn new(tenants: impl IntoIterator<Item = Tenant>) -> Self {
        let by_name: BTreeMap<_, _> =
            tenants.into_iter().map(|t| (t.name.clone(), (t, Counts::default()))).collect();
        Tenants { accepts_any: by_name.is_empty(), by_name }
    }

    /// Returns all tenants with their counters, ordered by name.
    pub fn list(&self) -> Vec<(Tenant, Counts)> {
        self.by_name.values().cloned().collect()
    }

    /// Applies all of the changes, or none.
    pub fn apply(&mut self, changes: &[Change]) -> Result<(), ChangeError> {
        let mut by_name = self.by_name.clone();
        for change in changes {
            match change {
                Change::Create(tenant) => {
                    validate(tenant)?;
                    if by_name.contains_key(&tenant.name) {
                        return Err(ChangeError::Exists(tenant.name.clone()));
                    }
                    by_name.insert(tenant.name.clone(), (tenant.clone(), Counts::default()));
                }
                Change::Set { name, suspended, max_calls } => {
                    let Some((tenant, _)) = by_name.get_mut(name) else {
                        return Err(ChangeError::Missing(name.clone()));
                    };
                    tenant.suspended = suspended.unwrap_or(tenant.suspended);
                    tenant.max_calls = max_calls.unwrap_or(tenant.max_calls);
                    validate(tenant)?;
                }
                Change::Delete(name) => {
                    by_name.remove(name).ok_or_else(|| ChangeError::Missing(name.clone()))?;
                }
            }
        }
        self.accepts_any &= changes.is_empty();
        self.by_name = by_name;
        Ok(())
    }

    /// Whether requests of this tenant are accepted. A request without a tenant comes from the platform itself.
    pub(super) fn admits(&self, name: Option<&String>) -> bool {
        let accepted = |name: &String| self.by_name.get(name).map_or(self.accepts_any, |(t, _)| !t.suspended);
        name.is_none_or(accepted)
    }

    /// Whether a tenant has reached its limit on calls.
    pub(super) fn is_full(&self, name: Option<&String>) -> bool {
        let tenant = name.and_then(|name| self.by_name.get(name));
        tenant.is_some_and(|(t, counts)| t.max_calls.is_some_and(|limit| counts.present >= limit))
    }

    /// Updates the counters of a tenant.
    pub(super) fn count(&mut self, name: Option<&String>, update: impl FnOnce(&mut Counts)) {
        if let Some((_, counts)) = name.and_then(|name| self.by_name.get_mut(name)) {
            update(counts);
        }
    }
}
