//! NETCONF (RFC 6241) with the framing of RFC 6242 over mutual TLS (RFC 7589), on the model in `yang/`.

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
use super::{Store, StoreError};
use crate::calls::tenants::{Change, ChangeError, Counts, Tenant};
use crate::net::{with_timeout, Executor};

/// The namespace of NETCONF.
pub const BASE: &str = "urn:ietf:params:xml:ns:netconf:base:1.0";
/// The namespace of the model.
pub const MODEL: &str = "urn:mallowring:tenants";
const CAPABILITIES: [&str; 5] = [
    "urn:ietf:params:netconf:base:1.0",
    "urn:ietf:params:netconf:base:1.1",
    "urn:ietf:params:netconf:capability:writable-running:1.0",
    "urn:ietf:params:netconf:capability:rollback-on-error:1.0",
    "urn:mallowring:tenants?module=mallowring-tenants&revision=2026-12-01",
];
const MOST: usize = 1 << 20;
const MOST_SESSIONS: usize = 16;
const HANDSHAKE: Duration = Duration::from_secs(10);

// ---- Framing -----------------------------------------------------------------------------------

/// Cuts a stream into messages: by the end mark, or in chunks once both sides know base 1.1.
#[derive(Debug, Default)]
pub struct Framer {
    held: Vec<u8>,
    message: Vec<u8>,
    /// Messages come in chunks.
    pub chunked: bool,
}

const END: &[u8] = b"]]>]]>";

impl Framer {
    /// Takes what has come in.
    pub fn push(&mut self, bytes: &[u8]) {
        self.held.extend_from_slice(bytes);
    }

    /// The next whole message, if it is in. An error leaves the stream of no use.
    pub fn pull(&mut self) -> Result<Option<String>, &'static str> {
        if self.held.len() + self.message.len() > MOST {
            return Err("a message is too long");
        }
        if !self.chunked {
            let Some(at) = self.held.windows(END.len()).position(|w| w == END) else { return Ok(None) };
            let message = self.held.drain(..at + END.len()).take(at).collect();
            return String::from_utf8(message).map(Some).map_err(|_| "a message is not UTF-8");
        }
        loop {
            // The shortest head is "\n#1\n"; the longest has ten digits.
            let Some(end) = self.held.iter().skip(2).position(|b| *b == b'\n').map(|at| at + 2) else {
                let start = &self.held[..self.held.len().min(2)];
                let fits = b"\n#".starts_with(start) && self.held.len() <= 13;
                return if fits { Ok(None) } else { Err("a chunk has no head") };
            };
            let head = self.held[..end].strip_prefix(b"\n#").ok_or("a chunk has no head")?;
            if head == b"#" {
                self.held.drain(..=end);
                let message = std::mem::take(&mut self.message);
                return String::from_utf8(message).map(Some).map_err(|_| "a message is not UTF-8");
            }
            let digits = !head.is_empty() && head[0] != b'0' && head.iter().all(u8::is_ascii_digit);
            let size = std::str::from_utf8(head).ok().and_then(|h| h.parse::<usize>().ok());
            let size = size.filter(|n| digits && *n <= MOST).ok_or("a chunk has no size")?;
            if self.held.len() < end + 1 + size {
                return Ok(None);
            }
            self.message.extend_from_slice(&self.held[end + 1..end + 1 + size]);
            self.held.drain(..end + 1 + size);
        }
    }

    /// A message as it goes out.
    pub fn frame(&self, message: &str) -> Vec<u8> {
        match self.chunked {
            true => format!("\n#{}\n{message}\n##\n", message.len()).into_bytes(),
            false => [message.as_bytes(), END].concat(),
        }
    }
}

// ---- Requests ----------------------------------------------------------------------------------

/// What goes wrong with a request (RFC 6241, appendix A).
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RpcError {
    kind: &'static str,
    tag: &'static str,
    what: String,
    info: Vec<(&'static str, String)>,
}

fn fault(kind: &'static str, tag: &'static str, what: impl Into<String>) -> RpcError {
    RpcError { kind, tag, what: what.into(), info: Vec::new() }
}

impl RpcError {
    fn about(mut self, name: &'static str, value: impl Into<String>) -> Self {
        self.info.push((name, value.into()));
        self
    }

    fn element(&self) -> Element {
        let mut error = Element::new(BASE, "rpc-error")
            .leaf("error-type", self.kind)
            .leaf("error-tag", self.tag)
            .leaf("error-severity", "error")
            .leaf("error-message", &self.what);
        if !self.info.is_empty() {
            let info = Element::new(BASE, "error-info");
            error = error.with(self.info.iter().fold(info, |info, (name, value)| info.leaf(name, value)));
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
            StoreError::Kept(_) | StoreError::Ended => "operation-failed",
        };
        fault("application", tag, error.to_string())
    }
}

/// The tenants as the model has them.
fn data(tenants: &[(Tenant, Counts)], state: bool) -> Element {
    let one = |(tenant, counts): &(Tenant, Counts)| {
        let mut element = Element::new(MODEL, "tenant").leaf("name", &tenant.name);
        element = element.leaf("suspended", tenant.suspended);
        if let Some(most) = tenant.max_calls {
            element = element.leaf("max-calls", most);
        }
        if state {
            let shown = Element::new(MODEL, "counts")
                .leaf("present", counts.present)
                .leaf("taken", counts.taken)
                .leaf("stood", counts.stood)
                .leaf("refused", counts.refused)
                .leaf("failed", counts.failed)
                .leaf("given-up", counts.given_up)
                .leaf("rejected", counts.rejected);
            element = element.with(shown);
        }
        element
    };
    tenants.iter().map(one).fold(Element::new(MODEL, "tenants"), Element::with)
}

/// What a subtree filter (RFC 6241, 6) leaves of an element.
fn select(node: &Element, filter: &Element) -> Option<Element> {
    if node.name != filter.name || !(filter.ns.is_empty() || filter.ns == BASE || filter.ns == node.ns) {
        return None;
    }
    let (matches, others): (Vec<_>, Vec<_>) =
        filter.children.iter().partition(|c| c.children.is_empty() && !c.text.is_empty());
    let holds = |m: &&Element| node.children.iter().any(|c| c.name == m.name && c.text == m.text);
    if !matches.iter().all(holds) {
        return None;
    }
    if others.is_empty() {
        return Some(node.clone());
    }
    let wanted = |child: &Element| {
        let matched = matches.iter().any(|m| m.name == child.name);
        matched.then(|| child.clone()).or_else(|| others.iter().find_map(|f| select(child, f)))
    };
    Some(Element { children: node.children.iter().filter_map(wanted).collect(), ..node.clone() })
}

fn filtered(rpc: &Element, data: Element) -> Result<Element, RpcError> {
    let mut out = Element::new(BASE, "data");
    let Some(filter) = rpc.child("filter") else { return Ok(out.with(data)) };
    if filter.attr("", "type").or(filter.attr(BASE, "type")).is_some_and(|kind| kind != "subtree") {
        return Err(fault("protocol", "operation-not-supported", "only subtree filters are supported"));
    }
    out.children = filter.children.iter().find_map(|f| select(&data, f)).into_iter().collect();
    Ok(out)
}

fn running(rpc: &Element, name: &str) -> Result<(), RpcError> {
    let store = rpc.child(name).ok_or_else(|| missing(name))?;
    match store.children.first() {
        Some(child) if child.name == "running" => Ok(()),
        Some(child) => {
            Err(fault("protocol", "invalid-value", format!("there is no datastore {}", child.name)))
        }
        None => Err(missing("running")),
    }
}

fn missing(name: &str) -> RpcError {
    fault("protocol", "missing-element", format!("{name} is missing")).about("bad-element", name)
}

fn unknown(element: &Element) -> RpcError {
    let what = format!("{} is not in the model", element.name);
    fault("application", "unknown-element", what).about("bad-element", &element.name)
}

fn value<T: std::str::FromStr>(leaf: &Element) -> Result<T, RpcError> {
    let what = || format!("'{}' is no value of {}", leaf.text, leaf.name);
    leaf.text
        .parse()
        .map_err(|_| fault("application", "invalid-value", what()).about("bad-element", &leaf.name))
}

/// The operation that holds for an element, its own or the one around it.
fn operation<'a>(element: &'a Element, outer: &'a str) -> Result<&'a str, RpcError> {
    let own = element.attr(BASE, "operation");
    match own.unwrap_or(outer) {
        known @ ("merge" | "replace" | "create" | "delete" | "remove" | "none") => Ok(known),
        other => {
            let error = fault("protocol", "bad-attribute", format!("there is no operation '{other}'"));
            Err(error.about("bad-attribute", "operation").about("bad-element", &element.name))
        }
    }
}

/// What an edit-config changes, given the tenants that there are.
pub fn edits(rpc: &Element, tenants: &[Tenant]) -> Result<Vec<Change>, RpcError> {
    running(rpc, "target")?;
    let default = match rpc.child("default-operation").map_or("merge", |d| d.text.as_str()) {
        known @ ("merge" | "replace" | "none") => known,
        other => {
            let what = format!("there is no default operation '{other}'");
            return Err(fault("protocol", "invalid-value", what).about("bad-element", "default-operation"));
        }
    };
    let config = rpc.child("config").ok_or_else(|| missing("config"))?;
    let mut changes = Vec::new();
    for container in &config.children {
        if (container.ns.as_str(), container.name.as_str()) != (MODEL, "tenants") {
            return Err(unknown(container));
        }
        let outer = operation(container, default)?;
        let keys: Vec<&str> =
            container.children.iter().filter_map(|t| t.child("name")).map(|n| n.text.as_str()).collect();
        if outer == "create" && !tenants.is_empty() {
            return Err(fault("application", "data-exists", "there are tenants already"));
        }
        if outer == "delete" && tenants.is_empty() {
            return Err(fault("application", "data-missing", "there are no tenants"));
        }
        if matches!(outer, "replace" | "delete" | "remove") {
            let others = tenants.iter().filter(|t| outer != "replace" || !keys.contains(&t.name.as_str()));
            changes.extend(others.map(|t| Change::Delete(t.name.clone())));
        }
        if matches!(outer, "delete" | "remove") {
            continue;
        }
        for entry in &container.children {
            if (entry.ns.as_str(), entry.name.as_str()) != (MODEL, "tenant") {
                return Err(unknown(entry));
            }
            changes.extend(edit(entry, operation(entry, outer)?, tenants)?);
        }
    }
    Ok(changes)
}

/// What one entry of the list changes.
fn edit(entry: &Element, operation_here: &str, tenants: &[Tenant]) -> Result<Option<Change>, RpcError> {
    let name = entry.child("name").map(|n| n.text.clone()).ok_or_else(|| missing("name"))?;
    let old = tenants.iter().find(|t| t.name == name);
    let (mut suspended, mut max_calls) = (None, None);
    for leaf in &entry.children {
        let taken_away = matches!(operation(leaf, "merge")?, "delete" | "remove");
        match (leaf.ns.as_str(), leaf.name.as_str()) {
            (MODEL, "name") => {}
            (MODEL, "suspended") if taken_away => suspended = Some(false),
            (MODEL, "suspended") => suspended = Some(value(leaf)?),
            (MODEL, "max-calls") if taken_away => max_calls = Some(None),
            (MODEL, "max-calls") => max_calls = Some(Some(value(leaf)?)),
            (MODEL, "counts") => {
                let error = fault("application", "invalid-value", "counts can't be configured");
                return Err(error.about("bad-element", "counts"));
            }
            _ => return Err(unknown(leaf)),
        }
    }
    let is = |tenant: &str| format!("tenant '{tenant}'");
    let fresh = || Tenant {
        name: name.clone(),
        suspended: suspended.unwrap_or(false),
        max_calls: max_calls.flatten(),
    };
    let set = |suspended, max_calls| Change::Set { name: name.clone(), suspended, max_calls };
    Ok(Some(match (operation_here, old) {
        ("create", Some(_)) => {
            return Err(fault("application", "data-exists", is(&name) + " exists already"))
        }
        ("delete" | "none", None) => {
            return Err(fault("application", "data-missing", "there is no ".to_owned() + &is(&name)))
        }
        ("delete" | "remove", Some(_)) => Change::Delete(name.clone()),
        ("remove", None) => return Ok(None),
        ("replace", Some(_)) => set(Some(suspended.unwrap_or(false)), Some(max_calls.flatten())),
        ("merge" | "none", Some(_)) => set(suspended, max_calls),
        _ => Change::Create(fresh()),
    }))
}

// ---- Sessions ----------------------------------------------------------------------------------

/// A client whose certificate is known.
#[derive(Clone, Debug)]
pub struct Client {
    /// Whom it stands for, for the log.
    pub name: String,
    /// The certificate.
    pub certificate: CertificateDer<'static>,
}

/// What the server needs.
pub struct Server {
    /// Where sessions run.
    pub tasks: Executor,
    /// The store.
    pub store: Rc<Store>,
    /// How TLS is spoken.
    pub tls: Arc<ServerConfig>,
    /// Who may come in.
    pub clients: Vec<Client>,
}

#[derive(Default)]
struct Sessions {
    last: Cell<u32>,
    open: RefCell<BTreeMap<u32, Sender<()>>>,
}

impl Server {
    /// Serves for ever.
    pub async fn run(self, listener: TcpListener) {
        let server = Rc::new(self);
        let sessions = Rc::new(Sessions::default());
        loop {
            match listener.accept().await {
                Ok((stream, addr)) => {
                    if sessions.open.borrow().len() >= MOST_SESSIONS {
                        tracing::warn!(%addr, "too many NETCONF sessions: connection closed");
                        continue;
                    }
                    let id = sessions.last.get().wrapping_add(1).max(1);
                    sessions.last.set(id);
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
                    tasks.spawn(serve).detach();
                }
                Err(error) => {
                    tracing::error!(%error, "no NETCONF connection could be accepted");
                    smol::Timer::after(Duration::from_millis(20)).await;
                }
            }
        }
    }

    async fn session(&self, id: u32, stream: TcpStream, sessions: &Sessions) -> std::io::Result<()> {
        let mut stream = with_timeout(HANDSHAKE, TlsAcceptor::from(self.tls.clone()).accept(stream)).await?;
        let shown = stream.get_ref().1.peer_certificates().and_then(|chain| chain.first()).cloned();
        let client = self.clients.iter().find(|c| Some(&c.certificate) == shown.as_ref());
        let Some(client) = client else {
            return Err(std::io::Error::other("its certificate stands for nobody"));
        };
        tracing::info!(session = id, client = client.name, "NETCONF session");
        talk(&self.store, id, &mut stream, sessions).await
    }
}

fn hello(id: u32) -> String {
    let list = CAPABILITIES.iter().fold(Element::new(BASE, "capabilities"), |l, c| l.leaf("capability", c));
    written(&Element::new(BASE, "hello").with(list).leaf("session-id", id))
}

fn written(element: &Element) -> String {
    let mut out = String::from("<?xml version=\"1.0\" encoding=\"UTF-8\"?>\n");
    element.write("", &mut out);
    out
}

async fn next(stream: &mut (impl AsyncRead + Unpin), framer: &mut Framer) -> std::io::Result<Option<String>> {
    let mut piece = vec![0; 8192];
    loop {
        if let Some(message) = framer.pull().map_err(std::io::Error::other)? {
            return Ok(Some(message));
        }
        match stream.read(&mut piece).await? {
            0 => return Ok(None),
            n => framer.push(&piece[..n]),
        }
    }
}

async fn talk(
    store: &Store,
    id: u32,
    stream: &mut (impl AsyncRead + AsyncWrite + Unpin),
    sessions: &Sessions,
) -> std::io::Result<()> {
    let mut framer = Framer::default();
    stream.write_all(&framer.frame(&hello(id))).await?;
    stream.flush().await?;
    let Some(theirs) = with_timeout(HANDSHAKE, next(stream, &mut framer)).await? else { return Ok(()) };
    let theirs = xml::read(&theirs).map_err(std::io::Error::other)?;
    let known = |wanted: &str| {
        let list = theirs.child("capabilities").map_or(&[][..], |list| &list.children);
        list.iter().any(|c| c.text == wanted)
    };
    if (theirs.ns.as_str(), theirs.name.as_str()) != (BASE, "hello") || theirs.child("session-id").is_some() {
        return Err(std::io::Error::other("its first message is no hello"));
    }
    framer.chunked = known(CAPABILITIES[1]);
    if !framer.chunked && !known(CAPABILITIES[0]) {
        return Err(std::io::Error::other("no version of NETCONF is known to both"));
    }
    while let Some(message) = next(stream, &mut framer).await? {
        let (reply, close) = answer(store, id, sessions, &message).await;
        stream.write_all(&framer.frame(&written(&reply))).await?;
        stream.flush().await?;
        if close {
            return stream.close().await;
        }
    }
    Ok(())
}

/// Answers a message; true where the session is over.
async fn answer(store: &Store, id: u32, sessions: &Sessions, message: &str) -> (Element, bool) {
    let mut reply = Element::new(BASE, "rpc-reply");
    let rpc = match xml::read(message) {
        Ok(rpc) if (rpc.ns.as_str(), rpc.name.as_str()) == (BASE, "rpc") => rpc,
        Ok(other) => {
            return (
                reply.with(fault("rpc", "malformed-message", other.name + " is no rpc").element()),
                false,
            )
        }
        Err(what) => return (reply.with(fault("rpc", "malformed-message", what).element()), false),
    };
    reply.attrs = rpc.attrs.iter().filter(|(ns, ..)| ns.is_empty()).cloned().collect();
    if rpc.attr("", "message-id").is_none() {
        let error = fault("rpc", "missing-attribute", "message-id is missing");
        let error = error.about("bad-attribute", "message-id").about("bad-element", "rpc");
        return (reply.with(error.element()), false);
    }
    let Some(operation) = rpc.children.first() else {
        return (reply.with(missing("the operation").element()), false);
    };
    match perform(store, id, sessions, operation).await {
        Ok(Some(data)) => (reply.with(data), false),
        Ok(None) => (reply.with(Element::new(BASE, "ok")), operation.name == "close-session"),
        Err(error) => (reply.with(error.element()), false),
    }
}

async fn perform(
    store: &Store,
    id: u32,
    sessions: &Sessions,
    rpc: &Element,
) -> Result<Option<Element>, RpcError> {
    let name = if rpc.ns == BASE { rpc.name.as_str() } else { "" };
    match name {
        "get" => filtered(rpc, data(&store.list().await?, true)).map(Some),
        "get-config" => {
            running(rpc, "source")?;
            filtered(rpc, data(&store.list().await?, false)).map(Some)
        }
        "edit-config" => {
            let tenants: Vec<Tenant> = store.list().await?.into_iter().map(|(t, _)| t).collect();
            store.change(Some(id), edits(rpc, &tenants)?).await?;
            Ok(None)
        }
        "lock" => {
            running(rpc, "target")?;
            let denied = |holder: u32| {
                let error = fault("protocol", "lock-denied", "the datastore is locked");
                error.about("session-id", holder.to_string())
            };
            store.lock(id).map_err(denied).map(|()| None)
        }
        "unlock" => {
            running(rpc, "target")?;
            let none = || fault("protocol", "operation-failed", "this session holds no lock");
            store.unlock(id).then_some(None).ok_or_else(none)
        }
        "kill-session" => {
            let wanted = rpc.child("session-id").ok_or_else(|| missing("session-id"))?;
            let other = value::<u32>(wanted)?;
            let open = sessions.open.borrow();
            let kill = open.get(&other).filter(|_| other != id);
            let kill =
                kill.ok_or_else(|| fault("protocol", "invalid-value", "there is no such other session"))?;
            let _ = kill.try_send(());
            Ok(None)
        }
        "close-session" => Ok(None),
        _ => Err(fault("protocol", "operation-not-supported", format!("{} is not supported", rpc.name))),
    }
}
