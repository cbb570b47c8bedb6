//! The one place where configuration is read, checked and given defaults. Its errors name the key at fault.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::path::PathBuf;

use serde::Deserialize;
use serde_json::Value;
use thiserror::Error;

use crate::interface::{Secs, Settings};
use crate::wire;

/// What can be wrong with the configuration.
#[derive(Debug, Error)]
pub enum ConfigError {
    /// A variable of the environment is missing or means nothing.
    #[error("environment: {key}: {what}")]
    Environment {
        /// The variable.
        key: &'static str,
        /// What is wrong.
        what: String,
    },
    /// A file can't be read.
    #[error("{path}: {source}")]
    File {
        /// The file.
        path: PathBuf,
        /// What is wrong.
        source: std::io::Error,
    },
    /// A key of a file is missing or means nothing.
    #[error("{path}: {key}: {what}")]
    Key {
        /// The file.
        path: PathBuf,
        /// The key.
        key: String,
        /// What is wrong.
        what: String,
    },
}

/// All that a signalling proxy is told at its start.
#[derive(Debug)]
pub struct Config {
    /// Its name, the same after a restart.
    pub name: String,
    /// Where the platform's callers connect.
    pub listen: SocketAddr,
    /// For random numbers.
    pub seed: u64,
    /// The most file descriptors.
    pub sockets: usize,
    /// The address of the bulletin.
    pub bulletin: SocketAddr,
    /// The number of the last event known at the start.
    pub known_no: u64,
    /// The events known at the start, each as the bulletin would put it.
    pub known: Vec<Value>,
    /// The settings of the module.
    pub settings: Settings,
    /// The tenants' names.
    pub tenants: BTreeSet<String>,
    /// How long a connection to an exchange may take to come up.
    pub connect_timeout: Secs,
    /// The least severe log lines to write.
    pub log: tracing::Level,
}

#[derive(Deserialize)]
struct FileW {
    name: Option<String>,
    listen: Option<SocketAddr>,
    seed: Value,
    #[serde(default)]
    limits: LimitsW,
    bulletin: SocketAddr,
    known: KnownW,
    settings: Value,
}

#[derive(Deserialize, Default)]
struct LimitsW {
    sockets: Option<usize>,
}

#[derive(Deserialize)]
struct KnownW {
    no: u64,
    items: Vec<Value>,
}

#[derive(Deserialize)]
struct TenantW {
    name: String,
}

/// The descriptors taken to be allowed where the file does not tell.
const SOCKETS: usize = 1024;
/// The time for a connection to come up where the settings do not tell.
const CONNECT_TIMEOUT: Secs = 0.5;

impl Config {
    /// Reads the configuration from the environment and the file that it names.
    pub fn read(env: &BTreeMap<String, String>) -> Result<Config, ConfigError> {
        let path = PathBuf::from(env.get("NODE_CONFIG").ok_or(ConfigError::Environment {
            key: "NODE_CONFIG",
            what: "not set; it names the configuration file".to_owned(),
        })?);
        let text = std::fs::read_to_string(&path)
            .map_err(|source| ConfigError::File { path: path.clone(), source })?;
        let fault =
            |key: &str, what: String| ConfigError::Key { path: path.clone(), key: key.to_owned(), what };
        let mut reader = serde_json::Deserializer::from_str(&text);
        let file: FileW = serde_path_to_error::deserialize(&mut reader)
            .map_err(|e| fault(&e.path().to_string(), e.inner().to_string()))?;
        let listen = match env.get("NODE_LISTEN") {
            Some(text) => text.parse().map_err(|_| ConfigError::Environment {
                key: "NODE_LISTEN",
                what: format!("'{text}' is no address with a port"),
            })?,
            None => {
                file.listen.ok_or_else(|| fault("listen", "missing, and NODE_LISTEN is not set".into()))?
            }
        };
        let name = env.get("NODE_NAME").cloned().or(file.name);
        let name = name.ok_or_else(|| fault("name", "missing, and NODE_NAME is not set".into()))?;
        let seed = match &file.seed {
            Value::String(hex) => u64::from_str_radix(hex, 16).ok(),
            Value::Number(n) => n.as_u64(),
            _ => None,
        };
        let seed = seed.ok_or_else(|| fault("seed", format!("{} is no number in hex digits", file.seed)))?;
        let settings = wire::read_settings(&file.settings)
            .map_err(|e| fault(&format!("settings.{}", e.path()), e.inner().to_string()))?;
        if settings.classes.is_empty() {
            return Err(fault("settings.classes", "no class of call".into()));
        }
        let tenants = match file.settings.get("tenants") {
            None | Some(Value::Null) => Vec::new(),
            Some(list) => serde_path_to_error::deserialize::<_, Vec<TenantW>>(list)
                .map_err(|e| fault(&format!("settings.tenants.{}", e.path()), e.inner().to_string()))?,
        };
        let sockets = file.limits.sockets.unwrap_or(SOCKETS);
        if sockets < 32 {
            return Err(fault("limits.sockets", format!("{sockets} are too few, 32 at least")));
        }
        let connect_timeout = match file.settings.pointer("/limits/connect_timeout") {
            None | Some(Value::Null) => CONNECT_TIMEOUT,
            Some(value) => value.as_f64().filter(|t| (0.001..=60.0).contains(t)).ok_or_else(|| {
                fault("settings.limits.connect_timeout", format!("{value} is no time from 0.001 to 60 s"))
            })?,
        };
        let log = match env.get("MALLOWRING_LOG") {
            None => tracing::Level::INFO,
            Some(text) => text.parse().map_err(|_| ConfigError::Environment {
                key: "MALLOWRING_LOG",
                what: format!("'{text}' is none of error, warn, info, debug, trace"),
            })?,
        };
        Ok(Config {
            name,
            listen,
            seed,
            sockets,
            bulletin: file.bulletin,
            known_no: file.known.no,
            known: file.known.items,
            settings,
            tenants: tenants.into_iter().map(|t| t.name).collect(),
            connect_timeout,
            log,
        })
    }
}
