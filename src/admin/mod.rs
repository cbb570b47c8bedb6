//! Administration of tenants: a JSON API over HTTP, and NETCONF over TLS. Both work on the tenants in the call table,
//! through one [`TenantStore`].

pub mod http;
pub mod netconf;
pub mod xml;

use std::cell::Cell;
use std::io;
use std::path::PathBuf;

use smol::channel::{bounded, Sender};
use smol::lock::Mutex;
use thiserror::Error;

use crate::calls::tenants::{Change, ChangeError, Counts, Tenant};
use crate::net::engine::EngineMessage;

/// Why a request to the store failed.
#[derive(Debug, Error)]
pub enum StoreError {
    /// The change is invalid.
    #[error(transparent)]
    Change(#[from] ChangeError),
    /// A NETCONF session holds the lock.
    #[error("the configuration is locked by session {0}")]
    Locked(u32),
    /// The change is in force, but it could not be saved and is lost on a restart.
    #[error("changed, but the file of tenants could not be written: {0}")]
    NotPersisted(io::Error),
    /// The program is shutting down.
    #[error("the program ends")]
    ShuttingDown,
}

/// Access to the tenants for all administration interfaces.
#[derive(Debug)]
pub struct TenantStore {
    engine: Sender<EngineMessage>,
    file: Option<PathBuf>,
    /// Serialises changes, so that the file always holds the latest one.
    change_mutex: Mutex<()>,
    lock_holder: Cell<Option<u32>>,
}

impl TenantStore {
    /// A store on the call table that the engine owns. Changes are also saved to `file` if there is one.
    pub fn new(engine: Sender<EngineMessage>, file: Option<PathBuf>) -> Self {
        TenantStore { engine, file, change_mutex: Mutex::new(()), lock_holder: Cell::new(None) }
    }

    /// Returns all tenants with their counts.
    pub async fn list(&self) -> Result<Vec<(Tenant, Counts)>, StoreError> {
        let (reply, answer) = bounded(1);
        self.engine.send(EngineMessage::ListTenants(reply)).await.map_err(|_| StoreError::ShuttingDown)?;
        answer.recv().await.map_err(|_| StoreError::ShuttingDown)
    }

    /// Applies all of the changes or none. `session` is the NETCONF session that asks, `None` for other clients.
    pub async fn change(&self, session: Option<u32>, changes: Vec<Change>) -> Result<(), StoreError> {
        let _guard = self.change_mutex.lock().await;
        if let Some(holder) = self.lock_holder.get().filter(|holder| Some(*holder) != session) {
            return Err(StoreError::Locked(holder));
        }
        let (reply, answer) = bounded(1);
        self.engine
            .send(EngineMessage::ChangeTenants(changes, reply))
            .await
            .map_err(|_| StoreError::ShuttingDown)?;
        answer.recv().await.map_err(|_| StoreError::ShuttingDown)??;
        let Some(file) = self.file.clone() else { return Ok(()) };
        let tenants: Vec<Tenant> = self.list().await?.into_iter().map(|(tenant, _)| tenant).collect();
        smol::unblock(move || {
            let json = serde_json::to_vec_pretty(&tenants).map_err(io::Error::other)?;
            let temporary = file.with_extension("next");
            std::fs::write(&temporary, json)?;
            std::fs::rename(temporary, file)
        })
        .await
        .map_err(StoreError::NotPersisted)
    }

    /// Locks the store for a session. The error is the session that holds the lock.
    pub fn lock(&self, session: u32) -> Result<(), u32> {
        match self.lock_holder.get() {
            Some(holder) => Err(holder),
            None => {
                self.lock_holder.set(Some(session));
                Ok(())
            }
        }
    }

    /// Releases the lock of a session; false if the session does not hold it.
    pub fn unlock(&self, session: u32) -> bool {
        let held = self.lock_holder.get() == Some(session);
        if held {
            self.lock_holder.set(None);
        }
        held
    }
}
