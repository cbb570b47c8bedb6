//! NETCONF (RFC 6241) with the framing of RFC 6242 over mutual TLS (RFC 7589), for the YANG model in `yang/`.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use futures_rustls::rustls::pki_types::CertificateDer;
use futures_rustls::rustls::ServerConfig;
use futures_rustls::TlsAcceptor;
use smol::channel::{bounded, Sender};
use smol::future;
use smol::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};
use smol::net::{TcpListener, TcpStream};

use super::xml::{self, Element};
use super::{StoreError, TenantStore};
use crate::calls::tenants::{Change, ChangeError, Counts, Tenant};
use crate::net::{with_timeout, Executor};

/// The namespace of NETCONF messages.
pub const BASE_NAMESPACE: &str = "urn:ietf:params:xml:ns:netconf:base:1.0";
/// The namespace of the YANG model.
pub const MODEL_NAMESPACE: &str = "urn:mallowring:tenants";
/// The capabilities that the server announces; the first two are the base versions.
const CAPABILITIES: [&str; 5] = [
    "urn:ietf:params:netconf:base:1.0",
    "urn:ietf:params:netconf:base:1.1",
    "urn:ietf:params:netconf:capability:writable-running:1.0",
    "urn:ietf:params:netconf:capability:rollback-on-error:1.0",
    "urn:mallowring:tenants?module=mallowring-tenants&revision=2026-12-01",
];
/// The longest message, in bytes.
const MAX_MESSAGE_BYTES: usize = 1 << 20;
/// The most sessions open at a time.
const MAX_SESSIONS: usize = 16;
/// How long the TLS handshake may take, and after it the wait for the client's hello.
const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(10);

// ---- Framing -----------------------------------------------------------------------------------

/// Splits a byte stream into messages: by the end-of-message marker, or by chunks once both sides support base 1.1.
#[derive(Debug, Default)]
pub struct Framer {
    buffer: Vec<u8>,
    message: Vec<u8>,
    /// Whether messages use chunked framing.
    pub chunked: bool,
}

/// The end-of-message marker of base 1.0.
const END_OF_MESSAGE: &[u8] = b"]]>]]>";

impl Framer {
    /// Adds received bytes.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// Returns the next complete message, if there is one. After an error the stream can't be read any further.
    pub fn pull(&mut self) -> Result<Option<String>, &'static str> {
        if self.buffer.len() + self.message.len() > MAX_MESSAGE_BYTES {
            return Err("a message is too long");
        }
        if !self.chunked {
            let Some(at) = self.buffer.windows(END_OF_MESSAGE.len()).position(|w| w == END_OF_MESSAGE) else {
                return Ok(None);
            };
            let message = self.buffer.drain(..at + END_OF_MESSAGE.len()).take(at).collect();
            return String::from_utf8(message).map(Some).map_err(|_| "a message is not UTF-8");
        }
        loop {
            // The shortest chunk header is "\n#1\n"; the longest has ten digits.
            let Some(end) = self.buffer.iter().skip(2).position(|b| *b == b'\n').map(|at| at + 2) else {
                let prefix = &self.buffer[..self.buffer.len().min(2)];
                let may_complete = b"\n#".starts_with(prefix) && self.buffer.len() <= 13;
                return if may_complete { Ok(None) } else { Err("a chunk has no head") };
            };
            let header = self.buffer[..end].strip_prefix(b"\n#").ok_or("a chunk has no head")?;
            if header == b"#" {
                self.buffer.drain(..=end);
                let message = std::mem::take(&mut self.message);
                return String::from_utf8(message).map(Some).map_err(|_| "a message is not UTF-8");
            }
            let valid = !header.is_empty() && header[0] != b'0' && header.iter().all(u8::is_ascii_digit);
            let size = std::str::from_utf8(header).ok().and_then(|text| text.parse::<usize>().ok());
            let size = size.filter(|n| valid && *n <= MAX_MESSAGE_BYTES).ok_or("a chunk has no size")?;
            if self.buffer.len() < end + 1 + size {
                return Ok(None);
            }
            self.message.extend_from_slice(&self.buffer[end + 1..end + 1 + size]);
            self.buffer.drain(..end + 1 + size);
        }
    }

    /// Encodes a message with the framing in use.
    pub fn frame(&self, message: &str) -> Vec<u8> {
        match self.chunked {
            true => format!("\n#{}\n{message}\n##\n", message.len()).into_bytes(),
            false => [message.as_bytes(), END_OF_MESSAGE].concat(),
        }
    }
}

// ---- Requests ----------------------------------------------------------------------------------

/// An error reply to a request (RFC 6241, appendix A).
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RpcError {
    error_type: &'static str,
    tag: &'static str,
    message: String,
    info: Vec<(&'static str, String)>,
}

fn rpc_error(error_type: &'static str, tag: &'static str, message: impl Into<String>) -> RpcError {
    RpcError { error_type, tag, message: message.into(), info: Vec::new() }
}

impl RpcError {
    /// Adds an element to `error-info`.
    fn with_info(mut self, name: &'static str, value: impl Into<String>) -> Self {
        self.info.push((name, value.into()));
        self
    }

    fn to_element(&self) -> Element {
        let mut error = Element::new(BASE_NAMESPACE, "rpc-error")
            .with_text("error-type", self.error_type)
            .with_text("error-tag", self.tag)
            .with_text("error-severity", "error")
            .with_text("error-message", &self.message);
        if !self.info.is_empty() {
            let info = Element::new(BASE_NAMESPACE, "error-info");
            error = error
                .with_child(self.info.iter().fold(info, |info, (name, value)| info.with_text(name, value)));
        }
        error
    }
}

impl From<StoreError> for RpcError {
    fn from(error: StoreError) -> RpcError {
        let tag = match &error {
            StoreError::Change(ChangeError::Exists(_)) => "data-exists",
            StoreError::Change(ChangeError::Missing(_)) => "data-missing",
            StoreError::Change(ChangeError::Invalid(_)) => "invalid-value",
            StoreError::Locked(_) => "in-use",
            StoreError::NotPersisted(_) | StoreError::ShuttingDown => "operation-failed",
        };
        rpc_error("application", tag, error.to_string())
    }
}

/// Encodes the tenants in the YANG model, with the counts if `state` is set.
fn tenants_element(tenants: &[(Tenant, Counts)], state: bool) -> Element {
    let tenant_element = |(tenant, counts): &(Tenant, Counts)| {
        let mut element = Element::new(MODEL_NAMESPACE, "tenant").with_text("name", &tenant.name);
        element = element.with_text("suspended", tenant.suspended);
        if let Some(max_calls) = tenant.max_calls {
            element = element.with_text("max-calls", max_calls);
        }
        if state {
            let counts_element = Element::new(MODEL_NAMESPACE, "counts")
                .with_text("present", counts.present)
                .with_text("taken", counts.taken)
                .with_text("stood", counts.stood)
                .with_text("refused", counts.refused)
                .with_text("failed", counts.failed)
                .with_text("given-up", counts.given_up)
                .with_text("rejected", counts.rejected);
            element = element.with_child(counts_element);
        }
        element
    };
    tenants.iter().map(tenant_element).fold(Element::new(MODEL_NAMESPACE, "tenants"), Element::with_child)
}

/// The part of an element that a subtree filter (RFC 6241, section 6) selects.
fn select(node: &Element, filter: &Element) -> Option<Element> {
    if node.name != filter.name
        || !(filter.ns.is_empty() || filter.ns == BASE_NAMESPACE || filter.ns == node.ns)
    {
        return None;
    }
    let (content_matches, selections): (Vec<_>, Vec<_>) =
        filter.children.iter().partition(|c| c.children.is_empty() && !c.text.is_empty());
    let matches_node = |m: &&Element| node.children.iter().any(|c| c.name == m.name && c.text == m.text);
    if !content_matches.iter().all(matches_node) {
        return None;
    }
    if selections.is_empty() {
        return Some(node.clone());
    }
    let select_child = |child: &Element| {
        let matched = content_matches.iter().any(|m| m.name == child.name);
        matched.then(|| child.clone()).or_else(|| selections.iter().find_map(|f| select(child, f)))
    };
    Some(Element { children: node.children.iter().filter_map(select_child).collect(), ..node.clone() })
}

/// Wraps the data in a reply, reduced by the filter of the request if it has one.
fn filtered(rpc: &Element, data: Element) -> Result<Element, RpcError> {
    let mut reply = Element::new(BASE_NAMESPACE, "data");
    let Some(filter) = rpc.child("filter") else { return Ok(reply.with_child(data)) };
    if filter.attr("", "type").or(filter.attr(BASE_NAMESPACE, "type")).is_some_and(|kind| kind != "subtree") {
        return Err(rpc_error("protocol", "operation-not-supported", "only subtree filters are supported"));
    }
    reply.children = filter.children.iter().find_map(|f| select(&data, f)).into_iter().collect();
    Ok(reply)
}

/// Checks that the datastore named in this child of the request is `running`, the only one there is.
fn require_running(rpc: &Element, name: &str) -> Result<(), RpcError> {
    let datastore = rpc.child(name).ok_or_else(|| missing_element(name))?;
    match datastore.children.first() {
        Some(child) if child.name == "running" => Ok(()),
        Some(child) => {
            Err(rpc_error("protocol", "invalid-value", format!("there is no datastore {}", child.name)))
        }
        None => Err(missing_element("running")),
    }
}

fn missing_element(name: &str) -> RpcError {
    rpc_error("protocol", "missing-element", format!("{name} is missing")).with_info("bad-element", name)
}

fn unknown_element(element: &Element) -> RpcError {
    let message = format!("{} is not in the model", element.name);
    rpc_error("application", "unknown-element", message).with_info("bad-element", &element.name)
}

fn parse_value<T: std::str::FromStr>(leaf: &Element) -> Result<T, RpcError> {
    let message = || format!("'{}' is no value of {}", leaf.text, leaf.name);
    leaf.text.parse().map_err(|_| {
        rpc_error("application", "invalid-value", message()).with_info("bad-element", &leaf.name)
    })
}

/// The edit operation of an element: its own `operation` attribute, or `outer` inherited from the parent.
fn edit_operation<'a>(element: &'a Element, outer: &'a str) -> Result<&'a str, RpcError> {
    let own = element.attr(BASE_NAMESPACE, "operation");
    match own.unwrap_or(outer) {
        valid @ ("merge" | "replace" | "create" | "delete" | "remove" | "none") => Ok(valid),
        other => {
            let error = rpc_error("protocol", "bad-attribute", format!("there is no operation '{other}'"));
            Err(error.with_info("bad-attribute", "operation").with_info("bad-element", &element.name))
        }
    }
}

/// Translates an edit-config request into changes of the existing tenants.
pub fn requested_changes(rpc: &Element, tenants: &[Tenant]) -> Result<Vec<Change>, RpcError> {
    require_running(rpc, "target")?;
    let default = match rpc.child("default-operation").map_or("merge", |d| d.text.as_str()) {
        valid @ ("merge" | "replace" | "none") => valid,
        other => {
            let message = format!("there is no default operation '{other}'");
            return Err(
                rpc_error("protocol", "invalid-value", message).with_info("bad-element", "default-operation")
            );
        }
    };
    let config = rpc.child("config").ok_or_else(|| missing_element("config"))?;
    let mut changes = Vec::new();
    for container in &config.children {
        if (container.ns.as_str(), container.name.as_str()) != (MODEL_NAMESPACE, "tenants") {
            return Err(unknown_element(container));
        }
        let outer = edit_operation(container, default)?;
        let keys: Vec<&str> =
            container.children.iter().filter_map(|t| t.child("name")).map(|n| n.text.as_str()).collect();
        if outer == "create" && !tenants.is_empty() {
            return Err(rpc_error("application", "data-exists", "there are tenants already"));
        }
        if outer == "delete" && tenants.is_empty() {
            return Err(rpc_error("application", "data-missing", "there are no tenants"));
        }
        if matches!(outer, "replace" | "delete" | "remove") {
            let removed = tenants.iter().filter(|t| outer != "replace" || !keys.contains(&t.name.as_str()));
            changes.extend(removed.map(|t| Change::Delete(t.name.clone())));
        }
        if matches!(outer, "delete" | "remove") {
            continue;
        }
        for entry in &container.children {
            if (entry.ns.as_str(), entry.name.as_str()) != (MODEL_NAMESPACE, "tenant") {
                return Err(unknown_element(entry));
            }
            changes.extend(entry_change(entry, edit_operation(entry, outer)?, tenants)?);
        }
    }
    Ok(changes)
}

/// Translates one entry of the tenant list into a change; `None` if it changes nothing.
fn entry_change(entry: &Element, operation: &str, tenants: &[Tenant]) -> Result<Option<Change>, RpcError> {
    let name = entry.child("name").map(|n| n.text.clone()).ok_or_else(|| missing_element("name"))?;
    let existing = tenants.iter().find(|t| t.name == name);
    let (mut suspended, mut max_calls) = (None, None);
    for leaf in &entry.children {
        let deleted = matches!(edit_operation(leaf, "merge")?, "delete" | "remove");
        match (leaf.ns.as_str(), leaf.name.as_str()) {
            (MODEL_NAMESPACE, "name") => {}
            (MODEL_NAMESPACE, "suspended") if deleted => suspended = Some(false),
            (MODEL_NAMESPACE, "suspended") => suspended = Some(parse_value(leaf)?),
            (MODEL_NAMESPACE, "max-calls") if deleted => max_calls = Some(None),
            (MODEL_NAMESPACE, "max-calls") => max_calls = Some(Some(parse_value(leaf)?)),
            (MODEL_NAMESPACE, "counts") => {
                let error = rpc_error("application", "invalid-value", "counts can't be configured");
                return Err(error.with_info("bad-element", "counts"));
            }
            _ => return Err(unknown_element(leaf)),
        }
    }
    let describe = |tenant: &str| format!("tenant '{tenant}'");
    let new_tenant = || Tenant {
        name: name.clone(),
        suspended: suspended.unwrap_or(false),
        max_calls: max_calls.flatten(),
    };
    let set = |suspended, max_calls| Change::Set { name: name.clone(), suspended, max_calls };
    Ok(Some(match (operation, existing) {
        ("create", Some(_)) => {
            return Err(rpc_error("application", "data-exists", describe(&name) + " exists already"))
        }
        ("delete" | "none", None) => {
            return Err(rpc_error(
                "application",
                "data-missing",
                "there is no ".to_owned() + &describe(&name),
            ))
        }
        ("delete" | "remove", Some(_)) => Change::Delete(name.clone()),
        ("remove", None) => return Ok(None),
        ("replace", Some(_)) => set(Some(suspended.unwrap_or(false)), Some(max_calls.flatten())),
        ("merge" | "none", Some(_)) => set(suspended, max_calls),
        _ => Change::Create(new_tenant()),
    }))
}

// ---- Sessions ----------------------------------------------------------------------------------

/// A client that may open sessions.
#[derive(Clone, Debug)]
pub struct Client {
    /// The client's name, for the log.
    pub name: String,
    /// The client's certificate.
    pub certificate: CertificateDer<'static>,
}

/// The NETCONF server.
pub struct Server {
    /// The executor that sessions run on.
    pub tasks: Executor,
    /// The tenants.
    pub store: Rc<TenantStore>,
    /// The TLS configuration.
    pub tls: Arc<ServerConfig>,
    /// The clients that may open sessions.
    pub clients: Vec<Client>,
}

/// The open sessions.
#[derive(Default)]
struct Sessions {
    last_id: Cell<u32>,
    /// Sending on a session's channel ends the session.
    open: RefCell<BTreeMap<u32, Sender<()>>>,
}

impl Server {
    /// Accepts connections and runs their sessions until the program ends.
    pub async fn run(self, listener: TcpListener) {
        let server = Rc::new(self);
        let sessions = Rc::new(Sessions::default());
        loop {
            match listener.accept().await {
                Ok((stream, addr)) => {
                    if sessions.open.borrow().len() >= MAX_SESSIONS {
                        tracing::warn!(%addr, "too many NETCONF sessions: connection closed");
                        continue;
                    }
                    let id = sessions.last_id.get().wrapping_add(1).max(1);
                    sessions.last_id.set(id);
                    let (kill, killed) = bounded(1);
                    sessions.open.borrow_mut().insert(id, kill);
                    let (server, sessions) = (server.clone(), sessions.clone());
                    let tasks = server.tasks.clone();
                    let serve = async move {
                        let work = server.session(id, stream, &sessions);
                        let ended = future::or(work, async {
                            let _ = killed.recv().await;
                            Err(std::io::Error::other("killed by another session"))
                        });
                        match ended.await {
                            Ok(()) => tracing::info!(session = id, "NETCONF session closed"),
                            Err(error) => {
                                tracing::warn!(session = id, %addr, %error, "NETCONF session ended")
                            }
                        }
                        sessions.open.borrow_mut().remove(&id);
                        server.store.unlock(id);
                    };
                    tasks.spawn("NETCONF session", serve);
                }
                Err(error) => {
                    tracing::error!(%error, "failed to accept a NETCONF connection");
                    smol::Timer::after(Duration::from_millis(20)).await;
                }
            }
        }
    }

    async fn session(&self, id: u32, stream: TcpStream, sessions: &Sessions) -> std::io::Result<()> {
        let mut stream =
            with_timeout(HANDSHAKE_TIMEOUT, TlsAcceptor::from(self.tls.clone()).accept(stream)).await?;
        let presented = stream.get_ref().1.peer_certificates().and_then(|chain| chain.first()).cloned();
        let client = self.clients.iter().find(|c| Some(&c.certificate) == presented.as_ref());
        let Some(client) = client else {
            return Err(std::io::Error::other("the client's certificate is not on the list of clients"));
        };
        tracing::info!(session = id, client = client.name, "NETCONF session opened");
        exchange_messages(&self.store, id, &mut stream, sessions).await
    }
}

fn hello(session_id: u32) -> String {
    let capabilities = CAPABILITIES
        .iter()
        .fold(Element::new(BASE_NAMESPACE, "capabilities"), |list, c| list.with_text("capability", c));
    to_document(
        &Element::new(BASE_NAMESPACE, "hello").with_child(capabilities).with_text("session-id", session_id),
    )
}

fn to_document(element: &Element) -> String {
    let mut out = String::from("<?xml version=\"1.0\" encoding=\"UTF-8\"?>\n");
    element.write("", &mut out);
    out
}

/// Reads the next message; `None` at the end of the stream.
async fn next_message(
    stream: &mut (impl AsyncRead + Unpin),
    framer: &mut Framer,
) -> std::io::Result<Option<String>> {
    let mut chunk = vec![0; 8192];
    loop {
        if let Some(message) = framer.pull().map_err(std::io::Error::other)? {
            return Ok(Some(message));
        }
        match stream.read(&mut chunk).await? {
            0 => return Ok(None),
            n => framer.push(&chunk[..n]),
        }
    }
}

/// Exchanges hellos, then answers requests until the session closes.
async fn exchange_messages(
    store: &TenantStore,
    id: u32,
    stream: &mut (impl AsyncRead + AsyncWrite + Unpin),
    sessions: &Sessions,
) -> std::io::Result<()> {
    let mut framer = Framer::default();
    stream.write_all(&framer.frame(&hello(id))).await?;
    stream.flush().await?;
    let Some(client_hello) = with_timeout(HANDSHAKE_TIMEOUT, next_message(stream, &mut framer)).await? else {
        return Ok(());
    };
    let client_hello = xml::parse(&client_hello).map_err(std::io::Error::other)?;
    let supports = |capability: &str| {
        let list = client_hello.child("capabilities").map_or(&[][..], |list| &list.children);
        list.iter().any(|c| c.text == capability)
    };
    if (client_hello.ns.as_str(), client_hello.name.as_str()) != (BASE_NAMESPACE, "hello")
        || client_hello.child("session-id").is_some()
    {
        return Err(std::io::Error::other("the client's first message is not a valid hello"));
    }
    framer.chunked = supports(CAPABILITIES[1]);
    if !framer.chunked && !supports(CAPABILITIES[0]) {
        return Err(std::io::Error::other("the client supports neither base 1.0 nor base 1.1 of NETCONF"));
    }
    while let Some(message) = next_message(stream, &mut framer).await? {
        let (reply, close) = handle_message(store, id, sessions, &message).await;
        stream.write_all(&framer.frame(&to_document(&reply))).await?;
        stream.flush().await?;
        if close {
            return stream.close().await;
        }
    }
    Ok(())
}

/// Handles a message. Returns the reply, and whether the session closes after it.
async fn handle_message(store: &TenantStore, id: u32, sessions: &Sessions, message: &str) -> (Element, bool) {
    let mut reply = Element::new(BASE_NAMESPACE, "rpc-reply");
    let rpc = match xml::parse(message) {
        Ok(rpc) if (rpc.ns.as_str(), rpc.name.as_str()) == (BASE_NAMESPACE, "rpc") => rpc,
        Ok(other) => {
            return (
                reply.with_child(
                    rpc_error("rpc", "malformed-message", other.name + " is no rpc").to_element(),
                ),
                false,
            )
        }
        Err(reason) => {
            return (reply.with_child(rpc_error("rpc", "malformed-message", reason).to_element()), false)
        }
    };
    reply.attrs = rpc.attrs.iter().filter(|(ns, ..)| ns.is_empty()).cloned().collect();
    if rpc.attr("", "message-id").is_none() {
        let error = rpc_error("rpc", "missing-attribute", "message-id is missing");
        let error = error.with_info("bad-attribute", "message-id").with_info("bad-element", "rpc");
        return (reply.with_child(error.to_element()), false);
    }
    let Some(operation) = rpc.children.first() else {
        return (reply.with_child(missing_element("the operation").to_element()), false);
    };
    match perform(store, id, sessions, operation).await {
        Ok(Some(data)) => (reply.with_child(data), false),
        Ok(None) => (reply.with_child(Element::new(BASE_NAMESPACE, "ok")), operation.name == "close-session"),
        Err(error) => (reply.with_child(error.to_element()), false),
    }
}

/// Carries out an operation. Returns the data of its reply, `None` for a plain `ok`.
async fn perform(
    store: &TenantStore,
    id: u32,
    sessions: &Sessions,
    rpc: &Element,
) -> Result<Option<Element>, RpcError> {
    let operation = if rpc.ns == BASE_NAMESPACE { rpc.name.as_str() } else { "" };
    match operation {
        "get" => filtered(rpc, tenants_element(&store.list().await?, true)).map(Some),
        "get-config" => {
            require_running(rpc, "source")?;
            filtered(rpc, tenants_element(&store.list().await?, false)).map(Some)
        }
        "edit-config" => {
            let tenants: Vec<Tenant> = store.list().await?.into_iter().map(|(t, _)| t).collect();
            store.change(Some(id), requested_changes(rpc, &tenants)?).await?;
            Ok(None)
        }
        "lock" => {
            require_running(rpc, "target")?;
            let denied = |holder: u32| {
                let error = rpc_error("protocol", "lock-denied", "the datastore is locked");
                error.with_info("session-id", holder.to_string())
            };
            store.lock(id).map_err(denied).map(|()| None)
        }
        "unlock" => {
            require_running(rpc, "target")?;
            let not_locked = || rpc_error("protocol", "operation-failed", "this session holds no lock");
            store.unlock(id).then_some(None).ok_or_else(not_locked)
        }
        "kill-session" => {
            let requested = rpc.child("session-id").ok_or_else(|| missing_element("session-id"))?;
            let target = parse_value::<u32>(requested)?;
            let open = sessions.open.borrow();
            let kill = open.get(&target).filter(|_| target != id);
            let kill =
                kill.ok_or_else(|| rpc_error("protocol", "invalid-value", "there is no such other session"))?;
            let _ = kill.try_send(());
            Ok(None)
        }
        "close-session" => Ok(None),
        _ => Err(rpc_error("protocol", "operation-not-supported", format!("{} is not supported", rpc.name))),
    }
}
