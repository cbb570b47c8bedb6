//! The one place where configuration is read, checked and given defaults. Its errors name the key at fault.

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
use crate::limits::memory::UNLIMITED_MB;
use crate::net::roster::RosterSource;
use crate::sip::agent::Exchange;
use crate::sip::header::{Hop, Transport};
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
    /// For random numbers.
    pub seed: u64,
    /// The most file descriptors.
    pub sockets: usize,
    /// The most memory, in MB.
    pub memory_mb: usize,
    /// The platform's front; off where the environment names no configuration of the platform's.
    pub platform: Option<Platform>,
    /// The SIP front; off where the environment names no service file or that has none.
    pub sip: Option<Sip>,
    /// The settings of the module.
    pub settings: Settings,
    /// The administration; off where the environment names no service file or that has none.
    pub admin: Option<Admin>,
    /// The tenants.
    pub tenants: Vec<Tenant>,
    /// How long a connection to an exchange may take to come up.
    pub connect_timeout: Secs,
    /// The least severe log lines to write.
    pub log: tracing::Level,
    /// Where all of this comes from.
    pub origin: Origin,
}

/// The platform's front, its exchanges and its list.
#[derive(Debug)]
pub struct Platform {
    /// Where callers connect.
    pub listen: SocketAddr,
    /// The bulletin, and what it has told so far.
    pub source: RosterSource,
}

/// Where the configuration was read, to read it again.
#[derive(Clone, Debug)]
pub struct Origin {
    env: BTreeMap<String, String>,
    /// The platform's file as it stood.
    file: Value,
}

impl Origin {
    /// Reads the configuration again. A bad one is logged with its key and changes nothing; of a good one the
    /// bulletin counts at once, and what does not is logged.
    pub fn again(&mut self) -> Option<RosterSource> {
        let config = match Config::read(&self.env) {
            Ok(config) => config,
            Err(error) => {
                tracing::error!(%error, "the configuration read again is bad: the old one stays in force");
                return None;
            }
        };
        let new = config.origin.file;
        let waits: Vec<_> = ["name", "listen", "limits", "settings"]
            .into_iter()
            .filter(|key| new.get(key) != self.file.get(key))
            .collect();
        tracing::info!("configuration read again");
        if !waits.is_empty() {
            tracing::warn!(keys = ?waits, "changed keys that count from the next start only");
        }
        self.file = new;
        config.platform.map(|platform| platform.source)
    }
}

/// The SIP front and the exchanges that speak SIP.
#[derive(Debug)]
pub struct Sip {
    /// Where it listens, for UDP and TCP.
    pub listen: SocketAddr,
    /// The class of calls with `Priority: emergency`.
    pub urgent_class: String,
    /// The exchanges.
    pub exchanges: Vec<Exchange>,
}

/// The administration's interfaces.
#[derive(Debug)]
pub struct Admin {
    /// The file that keeps the tenants beyond a restart.
    pub store: Option<PathBuf>,
    /// The tenants' API: where it listens, and the tokens.
    pub http: Option<(SocketAddr, Vec<Token>)>,
    /// NETCONF: where it listens, how TLS is spoken, who may come in.
    pub netconf: Option<(SocketAddr, Arc<ServerConfig>, Vec<Client>)>,
}

#[derive(Deserialize)]
struct NodeW {
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
    memory_mb: Option<f64>,
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

#[derive(Deserialize, Default)]
#[serde(deny_unknown_fields)]
struct ServiceW {
    name: Option<String>,
    sip: Option<SipW>,
    admin: Option<AdminW>,
    settings: Option<Value>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct SipW {
    listen: SocketAddr,
    urgent_class: String,
    exchanges: Vec<ExchangeW>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct ExchangeW {
    number: i64,
    prefixes: Vec<String>,
    address: SocketAddr,
    transport: String,
    circuits: u32,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct AdminW {
    store: Option<PathBuf>,
    http: Option<HttpW>,
    netconf: Option<NetconfW>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct HttpW {
    listen: SocketAddr,
    tokens: Vec<TokenW>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct TokenW {
    file: PathBuf,
    tenant: Option<String>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct NetconfW {
    listen: SocketAddr,
    certificate: PathBuf,
    key: PathBuf,
    authority: PathBuf,
    clients: Vec<ClientW>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct ClientW {
    name: String,
    certificate: PathBuf,
}

/// The descriptors taken to be allowed where nothing tells.
const SOCKETS: usize = 1024;
/// The time for a connection to come up where the settings do not tell.
const CONNECT_TIMEOUT: Secs = 0.5;
/// Ids of exchanges that speak SIP begin here, beyond all that the list may give.
const SIP_OFFICES: u64 = 1 << 32;

/// A file, to name in what is wrong with it.
struct File<'a>(&'a Path);

impl File<'_> {
    fn text(&self) -> Result<String, ConfigError> {
        std::fs::read_to_string(self.0)
            .map_err(|source| ConfigError::File { path: self.0.to_owned(), source })
    }

    fn fault(&self, key: impl Into<String>, what: impl Into<String>) -> ConfigError {
        ConfigError::Key { path: self.0.to_owned(), key: key.into(), what: what.into() }
    }

    fn read<'de, T: Deserialize<'de>>(&self, under: &str, value: &'de Value) -> Result<T, ConfigError> {
        serde_path_to_error::deserialize(value)
            .map_err(|e| self.fault(format!("{under}{}", e.path()), e.inner().to_string()))
    }
}

fn variable(key: &'static str, what: impl Into<String>) -> ConfigError {
    ConfigError::Environment { key, what: what.into() }
}

impl Config {
    /// Reads the configuration from the environment and the files that it names: `NODE_CONFIG` is the
    /// platform's, `MALLOWRING_SERVICE` the operators' own, for all that is off on the platform.
    pub fn read(env: &BTreeMap<String, String>) -> Result<Config, ConfigError> {
        let (node_path, service_path) = (env.get("NODE_CONFIG"), env.get("MALLOWRING_SERVICE"));
        let service_source = service_path.map(|path| File(Path::new(path)));
        let service = service_source.as_ref().map(read_service).transpose()?.unwrap_or_default();
        let node_source = node_path.map(|path| File(Path::new(path)));
        let file = node_source.as_ref().map(read_node).transpose()?;
        let node: Option<NodeW> = match (&file, &node_source) {
            (Some(file), Some(source)) => Some(source.read("", file)?),
            _ => None,
        };
        // The settings are the platform's where there is one, else the service file's.
        let (source, under, settings) = match (&node, &node_source, &service.settings, &service_source) {
            (Some(node), Some(source), ..) => (source, "settings.", &node.settings),
            (None, _, Some(settings), Some(source)) => (source, "settings.", settings),
            (None, _, None, Some(source)) => return Err(source.fault("settings", "missing")),
            _ => return Err(variable("NODE_CONFIG", "not set, and neither is MALLOWRING_SERVICE")),
        };
        let facts = settings;
        let settings = wire::read_settings(facts)
            .map_err(|e| source.fault(format!("{under}{}", e.path()), e.inner().to_string()))?;
        if settings.classes.is_empty() {
            return Err(source.fault("settings.classes", "no class of call"));
        }
        let mut tenants: Vec<Tenant> = match facts.get("tenants") {
            None | Some(Value::Null) => Vec::new(),
            Some(list) => {
                let named: Vec<TenantW> = source.read("settings.tenants", list)?;
                let plain = |t: TenantW| Tenant { name: t.name, suspended: false, max_calls: None };
                named.into_iter().map(plain).collect()
            }
        };
        let connect_timeout = match facts.pointer("/limits/connect_timeout") {
            None | Some(Value::Null) => CONNECT_TIMEOUT,
            Some(value) => value.as_f64().filter(|t| (0.001..=60.0).contains(t)).ok_or_else(|| {
                source.fault(
                    "settings.limits.connect_timeout",
                    format!("{value} is no time from 0.001 to 60 s"),
                )
            })?,
        };
        let sip = match (service.sip, &service_source) {
            (Some(sip), Some(source)) => Some(read_sip(source, sip, &settings)?),
            _ => None,
        };
        let admin = match (service.admin, &service_source) {
            (Some(admin), Some(source)) => Some(read_admin(source, admin)?),
            _ => None,
        };
        let kept = admin.as_ref().and_then(|admin| admin.store.as_ref()).filter(|path| path.exists());
        if let Some(path) = kept {
            let source = File(path);
            let value: Value = serde_json::from_str(&source.text()?)
                .map_err(|e| source.fault(format!("line {}", e.line()), e.to_string()))?;
            tenants = source.read("", &value)?;
        }
        let log = match env.get("MALLOWRING_LOG") {
            None => tracing::Level::INFO,
            Some(text) => text.parse().map_err(|_| {
                variable("MALLOWRING_LOG", format!("'{text}' is none of error, warn, info, debug, trace"))
            })?,
        };
        let named = env.get("NODE_NAME").cloned().or(node.as_ref().and_then(|n| n.name.clone()));
        let name = named
            .or(service.name)
            .ok_or_else(|| source.fault("name", "missing, and NODE_NAME is not set"))?;
        let (mut seed, mut sockets, mut memory_mb) = (fastrand::u64(..), SOCKETS, UNLIMITED_MB);
        let mut platform = None;
        if let (Some(node), Some(source)) = (node, &node_source) {
            seed = match &node.seed {
                Value::String(hex) => u64::from_str_radix(hex, 16).ok(),
                Value::Number(n) => n.as_u64(),
                _ => None,
            }
            .ok_or_else(|| source.fault("seed", format!("{} is no number in hex digits", node.seed)))?;
            sockets = node.limits.sockets.unwrap_or(SOCKETS);
            if sockets < descriptors::LEAST {
                let what = format!("{sockets} are too few, {} at least", descriptors::LEAST);
                return Err(source.fault("limits.sockets", what));
            }
            if let Some(mb) = node.limits.memory_mb {
                if !(1.0..=1e6).contains(&mb) {
                    return Err(source.fault("limits.memory_mb", format!("{mb} MB are no limit")));
                }
                memory_mb = mb as usize;
            }
            let listen = match env.get("NODE_LISTEN") {
                Some(text) => text
                    .parse()
                    .map_err(|_| variable("NODE_LISTEN", format!("'{text}' is no address with a port")))?,
                None => node
                    .listen
                    .ok_or_else(|| source.fault("listen", "missing, and NODE_LISTEN is not set"))?,
            };
            let source = RosterSource {
                addr: node.bulletin,
                known_events: node.known.items,
                last_known_event: node.known.no,
            };
            platform = Some(Platform { listen, source });
        }
        let origin = Origin { env: env.clone(), file: file.unwrap_or_default() };
        Ok(Config {
            name,
            seed,
            sockets,
            memory_mb,
            platform,
            sip,
            admin,
            settings,
            tenants,
            connect_timeout,
            log,
            origin,
        })
    }
}

fn read_node(source: &File) -> Result<Value, ConfigError> {
    serde_json::from_str(&source.text()?)
        .map_err(|e| source.fault(format!("line {}", e.line()), e.to_string()))
}

fn read_service(source: &File) -> Result<ServiceW, ConfigError> {
    let value: Value = toml::from_str(&source.text()?).map_err(|e| source.fault("TOML", e.to_string()))?;
    source.read("", &value)
}

fn read_admin(source: &File, admin: AdminW) -> Result<Admin, ConfigError> {
    let http = match admin.http {
        None => None,
        Some(http) if !http.listen.ip().is_loopback() => {
            let what = format!("{} is no loopback address, and tokens travel in clear", http.listen);
            return Err(source.fault("admin.http.listen", what));
        }
        Some(http) => {
            let token = |(ix, token): (usize, TokenW)| {
                let key = format!("admin.http.tokens[{ix}].file");
                let text = std::fs::read_to_string(&token.file)
                    .map_err(|e| source.fault(&key, format!("{}: {e}", token.file.display())))?;
                let secret = text.trim().to_owned();
                if secret.len() < 16 {
                    return Err(source.fault(key, "a token has 16 characters at least"));
                }
                Ok(Token { secret, scope: token.tenant.map_or(Scope::Operator, Scope::Tenant) })
            };
            let tokens = http.tokens.into_iter().enumerate().map(token).collect::<Result<_, _>>()?;
            Some((http.listen, tokens))
        }
    };
    let netconf = admin.netconf.map(|netconf| read_netconf(source, netconf)).transpose()?;
    Ok(Admin { store: admin.store, http, netconf })
}

fn read_netconf(
    source: &File,
    netconf: NetconfW,
) -> Result<(SocketAddr, Arc<ServerConfig>, Vec<Client>), ConfigError> {
    let bad = |key: String, path: &Path, what: &dyn std::fmt::Display| {
        source.fault(key, format!("{}: {what}", path.display()))
    };
    let key = |name: &str| format!("admin.netconf.{name}");
    let chain = |key: String, path: &Path| {
        let read = CertificateDer::pem_file_iter(path).and_then(Iterator::collect::<Result<Vec<_>, _>>);
        match read {
            Ok(chain) if chain.is_empty() => Err(bad(key, path, &"no certificate in it")),
            other => other.map_err(|e| bad(key, path, &e)),
        }
    };
    let own = chain(key("certificate"), &netconf.certificate)?;
    let private =
        PrivateKeyDer::from_pem_file(&netconf.key).map_err(|e| bad(key("key"), &netconf.key, &e))?;
    let mut roots = RootCertStore::empty();
    for certificate in chain(key("authority"), &netconf.authority)? {
        roots.add(certificate).map_err(|e| bad(key("authority"), &netconf.authority, &e))?;
    }
    let provider = Arc::new(futures_rustls::rustls::crypto::ring::default_provider());
    let verifier = WebPkiClientVerifier::builder_with_provider(Arc::new(roots), provider.clone()).build();
    let verifier = verifier.map_err(|e| bad(key("authority"), &netconf.authority, &e))?;
    let tls = ServerConfig::builder_with_provider(provider)
        .with_safe_default_protocol_versions()
        .map_err(|e| bad(key("certificate"), &netconf.certificate, &e))?
        .with_client_cert_verifier(verifier)
        .with_single_cert(own, private)
        .map_err(|e| bad(key("key"), &netconf.key, &e))?;
    let client = |(ix, client): (usize, ClientW)| {
        let key = key(&format!("clients[{ix}].certificate"));
        let certificate = chain(key, &client.certificate)?.remove(0);
        Ok(Client { name: client.name, certificate })
    };
    let clients = netconf.clients.into_iter().enumerate().map(client).collect::<Result<_, _>>()?;
    Ok((netconf.listen, Arc::new(tls), clients))
}

fn read_sip(source: &File, sip: SipW, settings: &Settings) -> Result<Sip, ConfigError> {
    if !settings.classes.iter().any(|c| c.name == sip.urgent_class) {
        let what = format!("'{}' is no class of the settings", sip.urgent_class);
        return Err(source.fault("sip.urgent_class", what));
    }
    if sip.exchanges.is_empty() {
        return Err(source.fault("sip.exchanges", "none is named"));
    }
    let exchange = |(ix, e): (usize, ExchangeW)| {
        let key = |name: &str| format!("sip.exchanges[{ix}].{name}");
        let transport = Transport::read(&e.transport).ok_or_else(|| {
            source.fault(key("transport"), format!("'{}' is neither udp nor tcp", e.transport))
        })?;
        if e.prefixes.iter().any(String::is_empty) || e.prefixes.is_empty() {
            return Err(source.fault(key("prefixes"), "no numbers lead there"));
        }
        Ok(Exchange {
            office: ExchangeId(SIP_OFFICES + ix as u64),
            number: ExchangeNumber(e.number),
            prefixes: e.prefixes,
            hop: Hop { transport, addr: e.address },
            circuits: e.circuits,
        })
    };
    let exchanges = sip.exchanges.into_iter().enumerate().map(exchange).collect::<Result<_, _>>()?;
    Ok(Sip { listen: sip.listen, urgent_class: sip.urgent_class, exchanges })
}
