//! The administration: a tenants' API over HTTP and NETCONF over TLS, both on the one store of tenants that the
//! core holds.

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

/// Why the store did not do what was asked.
#[derive(Debug, Error)]
pub enum StoreError {
    /// The change makes no sense.
    #[error(transparent)]
    Change(#[from] ChangeError),
    /// A NETCONF session has locked it.
    #[error("the configuration is locked by session {0}")]
    Locked(u32),
    /// The change holds, but not beyond a restart.
    #[error("changed, but the file of tenants could not be written: {0}")]
    Kept(io::Error),
    /// The program ends.
    #[error("the program ends")]
    Ended,
}

/// The way to the tenants, for all interfaces.
#[derive(Debug)]
pub struct Store {
    engine: Sender<EngineMessage>,
    file: Option<PathBuf>,
    /// One change at a time, so that the file holds the last one.
    turn: Mutex<()>,
    lock: Cell<Option<u32>>,
}

impl Store {
    /// The store that the module's actor holds, kept in a file where one is named.
    pub fn new(engine: Sender<EngineMessage>, file: Option<PathBuf>) -> Self {
        Store { engine, file, turn: Mutex::new(()), lock: Cell::new(None) }
    }

    /// All tenants with their counts.
    pub async fn list(&self) -> Result<Vec<(Tenant, Counts)>, StoreError> {
        let (reply, answer) = bounded(1);
        self.engine.send(EngineMessage::ListTenants(reply)).await.map_err(|_| StoreError::Ended)?;
        answer.recv().await.map_err(|_| StoreError::Ended)
    }

    /// Makes all of the changes, or none, for a NETCONF session or somebody else.
    pub async fn change(&self, by: Option<u32>, changes: Vec<Change>) -> Result<(), StoreError> {
        let _turn = self.turn.lock().await;
        if let Some(holder) = self.lock.get().filter(|holder| Some(*holder) != by) {
            return Err(StoreError::Locked(holder));
        }
        let (reply, answer) = bounded(1);
        self.engine
            .send(EngineMessage::ChangeTenants(changes, reply))
            .await
            .map_err(|_| StoreError::Ended)?;
        answer.recv().await.map_err(|_| StoreError::Ended)??;
        let Some(file) = self.file.clone() else { return Ok(()) };
        let tenants: Vec<Tenant> = self.list().await?.into_iter().map(|(tenant, _)| tenant).collect();
        smol::unblock(move || {
            let text = serde_json::to_vec_pretty(&tenants).map_err(io::Error::other)?;
            let next = file.with_extension("next");
            std::fs::write(&next, text)?;
            std::fs::rename(next, file)
        })
        .await
        .map_err(StoreError::Kept)
    }

    /// Locks the store for a session.
    pub fn lock(&self, session: u32) -> Result<(), u32> {
        match self.lock.get() {
            Some(holder) => Err(holder),
            None => {
                self.lock.set(Some(session));
                Ok(())
            }
        }
    }

    /// Takes the lock of a session away; false where it has none.
    pub fn unlock(&self, session: u32) -> bool {
        let held = self.lock.get() == Some(session);
        if held {
            self.lock.set(None);
        }
        held
    }
}
