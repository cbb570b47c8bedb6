//! Reads and validates the whole configuration and applies its defaults. Errors name the invalid key.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::Arc;

use futures_rustls::rustls::pki_types::pem::PemObject;
use futures_rustls::rustls::pki_types::{CertificateDer, PrivateKeyDer};
use futures_rustls::rustls::server::WebPkiClientVerifier;
use futures_rustls::rustls::{RootCertStore, ServerConfig};
use serde::Deserialize;
use serde_json::Value;
use thiserror::Error;

use crate::admin::http::{Scope, Token};
use crate::admin::netconf::Client;
use crate::calls::tenants::Tenant;
use crate::interface::{ExchangeId, ExchangeNumber, Secs, Settings};
use crate::limits::descriptors;
use crate::limits::memory::DEFAULT_LIMIT_MB;
use crate::net::roster::RosterSource;
use crate::sip::agent::Exchange;
use crate::sip::header::{Hop, Transport};
use crate::wire;

/// Why the configuration can't be used.
#[derive(Debug, Error)]
pub enum ConfigError {
    /// An environment variable is missing or invalid.
    #[error("environment: {key}: {reason}")]
    Environment {
        /// The variable.
        key: &'static str,
        /// Why it is invalid.
        reason: String,
    },
    /// A file can't be read.
    #[error("{path}: {source}")]
    File {
        /// The file.
        path: PathBuf,
        /// The error of the file system.
        source: std::io::Error,
    },
    /// A key of a file is missing or invalid.
    #[error("{path}: {key}: {reason}")]
    Key {
        /// The file.
        path: PathBuf,
        /// The key.
        key: String,
        /// Why it is invalid.
        reason: String,
    },
}

/// The configuration of a signalling proxy.
#[derive(Debug)]
pub struct Config {
    /// The proxy's name, which stays the same over restarts.
    pub name: String,
    /// The seed of random numbers.
    pub seed: u64,
    /// The most file descriptors that the process may open.
    pub max_descriptors: usize,
    /// The most memory that the process may use, in MB.
    pub memory_mb: usize,
    /// The platform front; `None` if the environment names no node configuration.
    pub platform: Option<Platform>,
    /// The SIP front; `None` if there is no service file or no `sip` section in it.
    pub sip: Option<Sip>,
    /// The settings of the decision module.
    pub settings: Settings,
    /// The administration; `None` if there is no service file or no `admin` section in it.
    pub admin: Option<Admin>,
    /// The tenants.
    pub tenants: Vec<Tenant>,
    /// How long connecting to an exchange may take, in seconds.
    pub connect_timeout: Secs,
    /// The least severe level of log lines to write.
    pub log_level: tracing::Level,
    /// Where the configuration was read, for a reload.
    pub reload_source: ConfigSource,
}

/// The platform front and the service that sends its roster.
#[derive(Debug)]
pub struct Platform {
    /// The address on which it accepts callers.
    pub listen: SocketAddr,
    /// The discovery service and the roster events already known.
    pub roster_source: RosterSource,
}

/// The environment and the node configuration as last read, to read the configuration again.
#[derive(Clone, Debug)]
pub struct ConfigSource {
    env: BTreeMap<String, String>,
    /// The node configuration; null if there is none.
    node_file: Value,
}

impl ConfigSource {
    /// Reads the configuration again. An invalid one is logged with its key and changes nothing. Of a valid one, only the
    /// discovery service takes effect at once; changed keys that need a restart are logged.
    pub fn reload(&mut self) -> Option<RosterSource> {
        let config = match Config::read(&self.env) {
            Ok(config) => config,
            Err(error) => {
                tracing::error!(%error, "the reloaded configuration is invalid; the previous one stays in force");
                return None;
            }
        };
        let new_file = config.reload_source.node_file;
        let changed_keys: Vec<_> = ["name", "listen", "limits", "settings"]
            .into_iter()
            .filter(|key| new_file.get(key) != self.node_file.get(key))
            .collect();
        tracing::info!("configuration read again");
        if !changed_keys.is_empty() {
            tracing::warn!(keys = ?changed_keys, "changed keys that take effect only after a restart");
        }
        self.node_file = new_file;
        config.platform.map(|platform| platform.roster_source)
    }
}

/// The SIP front and its exchanges.
#[derive(Debug)]
pub struct Sip {
    /// The address on which it listens, over UDP and TCP.
    pub listen: SocketAddr,
    /// The name of the class of calls with `Priority: emergency`.
    pub urgent_class: String,
    /// The exchanges that use SIP.
    pub exchanges: Vec<Exchange>,
}

/// The administration interfaces.
#[derive(Debug)]
pub struct Admin {
    /// The file in which changed tenants are saved, so that they survive a restart.
    pub tenants_file: Option<PathBuf>,
    /// The tenants API: the address on which it listens, and its tokens.
    pub http: Option<(SocketAddr, Vec<Token>)>,
    /// NETCONF: the address on which it listens, its TLS configuration, and the clients that may open sessions.
    pub netconf: Option<(SocketAddr, Arc<ServerConfig>, Vec<Client>)>,
}

/// The node configuration.
#[derive(Deserialize)]
struct NodeFile {
    name: Option<String>,
    listen: Option<SocketAddr>,
    seed: Value,
    #[serde(default)]
    limits: NodeLimits,
    bulletin: SocketAddr,
    known: KnownEvents,
    settings: Value,
}

#[derive(Deserialize, Default)]
struct NodeLimits {
    sockets: Option<usize>,
    memory_mb: Option<f64>,
}

/// The roster events that are known at the start, and the number of the last one.
#[derive(Deserialize)]
struct KnownEvents {
    no: u64,
    items: Vec<Value>,
}

#[derive(Deserialize)]
struct TenantEntry {
    name: String,
}

/// The operators' service file.
#[derive(Deserialize, Default)]
#[serde(deny_unknown_fields)]
struct ServiceFile {
    name: Option<String>,
    sip: Option<SipSection>,
    admin: Option<AdminSection>,
    settings: Option<Value>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct SipSection {
    listen: SocketAddr,
    urgent_class: String,
    exchanges: Vec<ExchangeEntry>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct ExchangeEntry {
    number: i64,
    prefixes: Vec<String>,
    address: SocketAddr,
    transport: String,
    circuits: u32,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct AdminSection {
    store: Option<PathBuf>,
    http: Option<HttpSection>,
    netconf: Option<NetconfSection>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct HttpSection {
    listen: SocketAddr,
    tokens: Vec<TokenEntry>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct TokenEntry {
    file: PathBuf,
    tenant: Option<String>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct NetconfSection {
    listen: SocketAddr,
    certificate: PathBuf,
    key: PathBuf,
    authority: PathBuf,
    clients: Vec<ClientEntry>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct ClientEntry {
    name: String,
    certificate: PathBuf,
}

/// The most file descriptors if the node configuration sets no limit.
const DEFAULT_MAX_DESCRIPTORS: usize = 1024;
/// How long connecting to an exchange may take if the settings set no time, in seconds.
const DEFAULT_CONNECT_TIMEOUT: Secs = 0.5;
/// The first id of an exchange that uses SIP, above all ids that the roster may contain.
const FIRST_SIP_EXCHANGE_ID: u64 = 1 << 32;

/// A configuration file, named in the errors about it.
struct ConfigFile<'a>(&'a Path);

impl ConfigFile<'_> {
    fn read_text(&self) -> Result<String, ConfigError> {
        std::fs::read_to_string(self.0)
            .map_err(|source| ConfigError::File { path: self.0.to_owned(), source })
    }

    fn key_error(&self, key: impl Into<String>, reason: impl Into<String>) -> ConfigError {
        ConfigError::Key { path: self.0.to_owned(), key: key.into(), reason: reason.into() }
    }

    /// Decodes a value of the file; `prefix` stands before the keys in errors.
    fn decode<'de, T: Deserialize<'de>>(&self, prefix: &str, value: &'de Value) -> Result<T, ConfigError> {
        serde_path_to_error::deserialize(value)
            .map_err(|e| self.key_error(format!("{prefix}{}", e.path()), e.inner().to_string()))
    }
}

fn environment_error(key: &'static str, reason: impl Into<String>) -> ConfigError {
    ConfigError::Environment { key, reason: reason.into() }
}

impl Config {
    /// Reads the configuration from the environment and the files that it names: `NODE_CONFIG` names the node
    /// configuration of the platform; `MALLOWRING_SERVICE` names the operators' service file, which configures what is
    /// off on the platform.
    pub fn read(env: &BTreeMap<String, String>) -> Result<Config, ConfigError> {
        let (node_path, service_path) = (env.get("NODE_CONFIG"), env.get("MALLOWRING_SERVICE"));
        let service_file = service_path.map(|path| ConfigFile(Path::new(path)));
        let service = service_file.as_ref().map(read_service).transpose()?.unwrap_or_default();
        let node_file = node_path.map(|path| ConfigFile(Path::new(path)));
        let node_value = node_file.as_ref().map(read_node).transpose()?;
        let node: Option<NodeFile> = match (&node_value, &node_file) {
            (Some(value), Some(source)) => Some(source.decode("", value)?),
            _ => None,
        };
        // The settings come from the node configuration if there is one, else from the service file.
        let (source, prefix, settings_value) = match (&node, &node_file, &service.settings, &service_file) {
            (Some(node), Some(source), ..) => (source, "settings.", &node.settings),
            (None, _, Some(settings), Some(source)) => (source, "settings.", settings),
            (None, _, None, Some(source)) => return Err(source.key_error("settings", "missing")),
            _ => return Err(environment_error("NODE_CONFIG", "not set, and neither is MALLOWRING_SERVICE")),
        };
        let facts = settings_value;
        let settings = wire::read_settings(facts)
            .map_err(|e| source.key_error(format!("{prefix}{}", e.path()), e.inner().to_string()))?;
        if settings.classes.is_empty() {
            return Err(source.key_error("settings.classes", "at least one class of call is required"));
        }
        let mut tenants: Vec<Tenant> = match facts.get("tenants") {
            None | Some(Value::Null) => Vec::new(),
            Some(list) => {
                let entries: Vec<TenantEntry> = source.decode("settings.tenants", list)?;
                let tenant = |t: TenantEntry| Tenant { name: t.name, suspended: false, max_calls: None };
                entries.into_iter().map(tenant).collect()
            }
        };
        let connect_timeout = match facts.pointer("/limits/connect_timeout") {
            None | Some(Value::Null) => DEFAULT_CONNECT_TIMEOUT,
            Some(value) => value.as_f64().filter(|t| (0.001..=60.0).contains(t)).ok_or_else(|| {
                source.key_error(
                    "settings.limits.connect_timeout",
                    format!("{value} is not a time from 0.001 to 60 s"),
                )
            })?,
        };
        let sip = match (service.sip, &service_file) {
            (Some(sip), Some(source)) => Some(read_sip(source, sip, &settings)?),
            _ => None,
        };
        let admin = match (service.admin, &service_file) {
            (Some(admin), Some(source)) => Some(read_admin(source, admin)?),
            _ => None,
        };
        let saved_tenants =
            admin.as_ref().and_then(|admin| admin.tenants_file.as_ref()).filter(|path| path.exists());
        if let Some(path) = saved_tenants {
            let source = ConfigFile(path);
            let value: Value = serde_json::from_str(&source.read_text()?)
                .map_err(|e| source.key_error(format!("line {}", e.line()), e.to_string()))?;
            tenants = source.decode("", &value)?;
        }
        let log_level = match env.get("MALLOWRING_LOG") {
            None => tracing::Level::INFO,
            Some(text) => text.parse().map_err(|_| {
                environment_error(
                    "MALLOWRING_LOG",
                    format!("'{text}' is not one of error, warn, info, debug, trace"),
                )
            })?,
        };
        let node_name = env.get("NODE_NAME").cloned().or(node.as_ref().and_then(|n| n.name.clone()));
        let name = node_name
            .or(service.name)
            .ok_or_else(|| source.key_error("name", "missing, and NODE_NAME is not set"))?;
        let (mut seed, mut max_descriptors, mut memory_mb) =
            (fastrand::u64(..), DEFAULT_MAX_DESCRIPTORS, DEFAULT_LIMIT_MB);
        let mut platform = None;
        if let (Some(node), Some(source)) = (node, &node_file) {
            seed = match &node.seed {
                Value::String(hex) => u64::from_str_radix(hex, 16).ok(),
                Value::Number(n) => n.as_u64(),
                _ => None,
            }
            .ok_or_else(|| source.key_error("seed", format!("{} is not a hexadecimal number", node.seed)))?;
            max_descriptors = node.limits.sockets.unwrap_or(DEFAULT_MAX_DESCRIPTORS);
            if max_descriptors < descriptors::MIN_DESCRIPTORS {
                let reason = format!(
                    "{max_descriptors} is too few; at least {} are required",
                    descriptors::MIN_DESCRIPTORS
                );
                return Err(source.key_error("limits.sockets", reason));
            }
            if let Some(mb) = node.limits.memory_mb {
                if !(1.0..=1e6).contains(&mb) {
                    return Err(source.key_error(
                        "limits.memory_mb",
                        format!("{mb} MB is not a limit from 1 to 1000000 MB"),
                    ));
                }
                memory_mb = mb as usize;
            }
            let listen = match env.get("NODE_LISTEN") {
                Some(text) => text.parse().map_err(|_| {
                    environment_error("NODE_LISTEN", format!("'{text}' is not an address with a port"))
                })?,
                None => node
                    .listen
                    .ok_or_else(|| source.key_error("listen", "missing, and NODE_LISTEN is not set"))?,
            };
            let roster_source = RosterSource {
                addr: node.bulletin,
                known_events: node.known.items,
                last_known_event: node.known.no,
            };
            platform = Some(Platform { listen, roster_source });
        }
        let reload_source = ConfigSource { env: env.clone(), node_file: node_value.unwrap_or_default() };
        Ok(Config {
            name,
            seed,
            max_descriptors,
            memory_mb,
            platform,
            sip,
            admin,
            settings,
            tenants,
            connect_timeout,
            log_level,
            reload_source,
        })
    }
}

fn read_node(source: &ConfigFile) -> Result<Value, ConfigError> {
    serde_json::from_str(&source.read_text()?)
        .map_err(|e| source.key_error(format!("line {}", e.line()), e.to_string()))
}

fn read_service(source: &ConfigFile) -> Result<ServiceFile, ConfigError> {
    let value: Value =
        toml::from_str(&source.read_text()?).map_err(|e| source.key_error("TOML", e.to_string()))?;
    source.decode("", &value)
}

fn read_admin(source: &ConfigFile, admin: AdminSection) -> Result<Admin, ConfigError> {
    let http = match admin.http {
        None => None,
        Some(http) if !http.listen.ip().is_loopback() => {
            let reason =
                format!("{} is not a loopback address, and tokens are sent unencrypted", http.listen);
            return Err(source.key_error("admin.http.listen", reason));
        }
        Some(http) => {
            let token = |(ix, token): (usize, TokenEntry)| {
                let key = format!("admin.http.tokens[{ix}].file");
                let text = std::fs::read_to_string(&token.file)
                    .map_err(|e| source.key_error(&key, format!("{}: {e}", token.file.display())))?;
                let secret = text.trim().to_owned();
                if secret.len() < 16 {
                    return Err(source.key_error(key, "a token must have at least 16 characters"));
                }
                Ok(Token { secret, scope: token.tenant.map_or(Scope::Operator, Scope::Tenant) })
            };
            let tokens = http.tokens.into_iter().enumerate().map(token).collect::<Result<_, _>>()?;
            Some((http.listen, tokens))
        }
    };
    let netconf = admin.netconf.map(|netconf| read_netconf(source, netconf)).transpose()?;
    Ok(Admin { tenants_file: admin.store, http, netconf })
}

fn read_netconf(
    source: &ConfigFile,
    netconf: NetconfSection,
) -> Result<(SocketAddr, Arc<ServerConfig>, Vec<Client>), ConfigError> {
    let file_error = |key: String, path: &Path, reason: &dyn std::fmt::Display| {
        source.key_error(key, format!("{}: {reason}", path.display()))
    };
    let key = |name: &str| format!("admin.netconf.{name}");
    let certificates = |key: String, path: &Path| {
        let read = CertificateDer::pem_file_iter(path).and_then(Iterator::collect::<Result<Vec<_>, _>>);
        match read {
            Ok(chain) if chain.is_empty() => Err(file_error(key, path, &"the file contains no certificate")),
            other => other.map_err(|e| file_error(key, path, &e)),
        }
    };
    let own_chain = certificates(key("certificate"), &netconf.certificate)?;
    let private_key =
        PrivateKeyDer::from_pem_file(&netconf.key).map_err(|e| file_error(key("key"), &netconf.key, &e))?;
    let mut roots = RootCertStore::empty();
    for certificate in certificates(key("authority"), &netconf.authority)? {
        roots.add(certificate).map_err(|e| file_error(key("authority"), &netconf.authority, &e))?;
    }
    let provider = Arc::new(futures_rustls::rustls::crypto::ring::default_provider());
    let verifier = WebPkiClientVerifier::builder_with_provider(Arc::new(roots), provider.clone()).build();
    let verifier = verifier.map_err(|e| file_error(key("authority"), &netconf.authority, &e))?;
    let tls = ServerConfig::builder_with_provider(provider)
        .with_safe_default_protocol_versions()
        .map_err(|e| file_error(key("certificate"), &netconf.certificate, &e))?
        .with_client_cert_verifier(verifier)
        .with_single_cert(own_chain, private_key)
        .map_err(|e| file_error(key("key"), &netconf.key, &e))?;
    let client = |(ix, client): (usize, ClientEntry)| {
        let key = key(&format!("clients[{ix}].certificate"));
        let certificate = certificates(key, &client.certificate)?.remove(0);
        Ok(Client { name: client.name, certificate })
    };
    let clients = netconf.clients.into_iter().enumerate().map(client).collect::<Result<_, _>>()?;
    Ok((netconf.listen, Arc::new(tls), clients))
}

fn read_sip(source: &ConfigFile, sip: SipSection, settings: &Settings) -> Result<Sip, ConfigError> {
    if !settings.classes.iter().any(|c| c.name == sip.urgent_class) {
        let reason = format!("'{}' is not a class in the settings", sip.urgent_class);
        return Err(source.key_error("sip.urgent_class", reason));
    }
    if sip.exchanges.is_empty() {
        return Err(source.key_error("sip.exchanges", "at least one exchange is required"));
    }
    let exchange = |(ix, e): (usize, ExchangeEntry)| {
        let key = |name: &str| format!("sip.exchanges[{ix}].{name}");
        let transport = Transport::parse(&e.transport).ok_or_else(|| {
            source.key_error(key("transport"), format!("'{}' is neither udp nor tcp", e.transport))
        })?;
        if e.prefixes.iter().any(String::is_empty) || e.prefixes.is_empty() {
            return Err(source
                .key_error(key("prefixes"), "at least one prefix is required, and no prefix may be empty"));
        }
        Ok(Exchange {
            id: ExchangeId(FIRST_SIP_EXCHANGE_ID + ix as u64),
            number: ExchangeNumber(e.number),
            prefixes: e.prefixes,
            hop: Hop { transport, addr: e.address },
            circuits: e.circuits,
        })
    };
    let exchanges = sip.exchanges.into_iter().enumerate().map(exchange).collect::<Result<_, _>>()?;
    Ok(Sip { listen: sip.listen, urgent_class: sip.urgent_class, exchanges })
}
