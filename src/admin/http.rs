//! The tenants' API: JSON over HTTP/1.1, for the operator's and each tenant's own tokens.

use std::rc::Rc;
use std::time::Duration;

use serde::Deserialize;
use serde_json::{json, Value};
use smol::io::{AsyncReadExt, AsyncWriteExt};
use smol::net::{TcpListener, TcpStream};
use subtle::ConstantTimeEq;

use super::{Store, StoreError};
use crate::calls::tenants::{Change, ChangeError, Counts, Tenant};
use crate::net::{with_timeout, Executor};

const MOST_HEAD: usize = 8 * 1024;
const MOST_BODY: usize = 64 * 1024;
const MOST_HEADERS: usize = 64;
const MOST_CONNECTIONS: usize = 32;
/// A connection without a request for this long is closed.
const IDLE: Duration = Duration::from_secs(30);

/// Whom a token stands for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Scope {
    /// Every tenant, to read and to change.
    Operator,
    /// One tenant, to read.
    Tenant(String),
}

/// A secret and what it opens.
#[derive(Clone)]
pub struct Token {
    /// What stands behind `Bearer`.
    pub secret: String,
    /// Whom it stands for.
    pub scope: Scope,
}

impl std::fmt::Debug for Token {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "Token({:?})", self.scope)
    }
}

/// A request as far as it matters here.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Request {
    /// Its method.
    pub method: String,
    /// Its path, without a query.
    pub path: String,
    /// What stands behind `Bearer` in its Authorization.
    pub bearer: Option<String>,
    /// Its body.
    pub body: Vec<u8>,
    /// The connection is to close after it.
    pub close: bool,
}

/// A response: its code, its body, and the methods allowed where the one asked for is not.
#[derive(Clone, Debug, PartialEq)]
pub struct Response(pub u16, pub Value, pub Option<&'static str>);

fn refusal(status: u16, reason: impl ToString) -> Response {
    Response(status, json!({"error": reason.to_string()}), None)
}

/// Reads a request from the start of the bytes, if it is whole, and tells its length.
pub fn parse(bytes: &[u8]) -> Result<Option<(Request, usize)>, Response> {
    let mut headers = [httparse::EMPTY_HEADER; MOST_HEADERS];
    let mut head = httparse::Request::new(&mut headers);
    let length = match head.parse(bytes) {
        Ok(httparse::Status::Complete(length)) => length,
        Ok(httparse::Status::Partial) if bytes.len() > MOST_HEAD => {
            return Err(refusal(431, "the head is too long"))
        }
        Ok(httparse::Status::Partial) => return Ok(None),
        Err(error) => return Err(refusal(400, error)),
    };
    let all = |name: &str| {
        let same: Vec<_> = head.headers.iter().filter(|h| h.name.eq_ignore_ascii_case(name)).collect();
        same
    };
    let value = |name: &str| all(name).first().and_then(|h| std::str::from_utf8(h.value).ok()).map(str::trim);
    if !all("Transfer-Encoding").is_empty() {
        return Err(refusal(501, "send a Content-Length: no Transfer-Encoding is understood"));
    }
    if all("Content-Length").len() > 1 {
        return Err(refusal(400, "Content-Length is said twice"));
    }
    let body = match value("Content-Length") {
        None if !all("Content-Length").is_empty() => return Err(refusal(400, "Content-Length is no number")),
        None => 0,
        Some(text) if text.bytes().all(|b| b.is_ascii_digit()) => {
            text.parse().map_err(|_| refusal(400, "Content-Length is no number"))?
        }
        Some(_) => return Err(refusal(400, "Content-Length is no number")),
    };
    if body > MOST_BODY {
        return Err(refusal(413, "the body is too long"));
    }
    let Some(body) = bytes.get(length..length + body) else { return Ok(None) };
    let bearer = value("Authorization").and_then(|v| v.split_once(' '));
    let request = Request {
        method: head.method.unwrap_or("").to_owned(),
        path: head.path.unwrap_or("").split('?').next().unwrap_or("").to_owned(),
        bearer: bearer
            .filter(|(how, _)| how.eq_ignore_ascii_case("Bearer"))
            .map(|(_, t)| t.trim().to_owned()),
        body: body.to_vec(),
        close: head.version == Some(0)
            || value("Connection").is_some_and(|v| v.eq_ignore_ascii_case("close")),
    };
    let whole = length + request.body.len();
    Ok(Some((request, whole)))
}

/// What a tenant's JSON may change; what is absent stays, and a `max_calls` of null takes the limit away.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Patch {
    suspended: Option<bool>,
    #[serde(default, deserialize_with = "given")]
    max_calls: Option<Option<u32>>,
}

fn given<'de, D: serde::Deserializer<'de>>(d: D) -> Result<Option<Option<u32>>, D::Error> {
    Option::<u32>::deserialize(d).map(Some)
}

fn shown((tenant, counts): &(Tenant, Counts)) -> Value {
    json!({"name": tenant.name, "suspended": tenant.suspended, "max_calls": tenant.max_calls,
        "counts": counts})
}

/// The scope of a request; every token is compared in full, so that time tells nothing.
fn scope(tokens: &[Token], bearer: Option<&str>) -> Option<Scope> {
    let bearer = bearer?.as_bytes();
    let mut found = None;
    for token in tokens {
        if bool::from(token.secret.as_bytes().ct_eq(bearer)) {
            found = Some(token.scope.clone());
        }
    }
    found
}

impl From<StoreError> for Response {
    fn from(error: StoreError) -> Response {
        let status = match &error {
            StoreError::Change(ChangeError::Exists(_)) | StoreError::Locked(_) => 409,
            StoreError::Change(ChangeError::Missing(_)) => 404,
            StoreError::Change(ChangeError::Invalid(_)) => 400,
            StoreError::Kept(_) => 500,
            StoreError::Ended => 503,
        };
        refusal(status, error)
    }
}

/// Answers a request.
pub async fn answer(store: &Store, tokens: &[Token], request: &Request) -> Response {
    let Some(scope) = scope(tokens, request.bearer.as_deref()) else {
        return refusal(401, "a valid token is needed, as 'Authorization: Bearer ...'");
    };
    match route(store, &scope, request).await {
        Ok(response) | Err(response) => response,
    }
}

async fn route(store: &Store, scope: &Scope, request: &Request) -> Result<Response, Response> {
    let parts: Vec<&str> = request.path.trim_matches('/').split('/').collect();
    let (name, verb) = match parts[..] {
        ["v1", "tenants"] => (None, None),
        ["v1", "tenants", name] => (Some(name), None),
        ["v1", "tenants", name, verb @ ("counts" | "suspend" | "resume")] => (Some(name), Some(verb)),
        _ => return Err(refusal(404, "there is nothing of that name")),
    };
    // To a tenant the others are not there, whatever it asks of them.
    let hidden = |tenant: &str| matches!(scope, Scope::Tenant(own) if own != tenant);
    if let Some(name) = name.filter(|name| hidden(name)) {
        return Err(ChangeError::Missing(name.to_owned())).map_err(|e| StoreError::from(e).into());
    }
    let allowed = match (name, verb) {
        (None, _) => "GET, POST",
        (Some(_), None) => "GET, PATCH, DELETE",
        (Some(_), Some("counts")) => "GET",
        (Some(_), Some(_)) => "POST",
    };
    if !allowed.split(", ").any(|method| method == request.method) {
        return Err(Response(405, json!({"error": format!("allowed are {allowed}")}), Some(allowed)));
    }
    if request.method != "GET" && *scope != Scope::Operator {
        return Err(refusal(403, "only the operator's token changes anything"));
    }
    let one = |name: &str| Change::Set { name: name.to_owned(), suspended: None, max_calls: None };
    let change = match (request.method.as_str(), name, verb) {
        ("POST", None, _) => Change::Create(read(&request.body)?),
        ("PATCH", Some(name), _) => {
            let Patch { suspended, max_calls } = read(&request.body)?;
            Change::Set { name: name.to_owned(), suspended, max_calls }
        }
        ("POST", Some(name), Some(verb)) => match one(name) {
            Change::Set { name, max_calls, .. } => {
                Change::Set { name, suspended: Some(verb == "suspend"), max_calls }
            }
            other => other,
        },
        ("DELETE", Some(name), _) => Change::Delete(name.to_owned()),
        _ => return look(store, scope, name, verb).await,
    };
    let (status, name) = match &change {
        Change::Create(tenant) => (201, tenant.name.clone()),
        Change::Delete(name) => (204, name.clone()),
        Change::Set { name, .. } => (200, name.clone()),
    };
    store.change(None, vec![change]).await?;
    if status == 204 {
        return Ok(Response(204, Value::Null, None));
    }
    let Response(_, body, _) = look(store, scope, Some(&name), None).await?;
    Ok(Response(status, body, None))
}

async fn look(
    store: &Store,
    scope: &Scope,
    name: Option<&str>,
    verb: Option<&str>,
) -> Result<Response, Response> {
    let all = store.list().await?;
    let Some(name) = name else {
        let seen = all.iter().filter(|(t, _)| match scope {
            Scope::Operator => true,
            Scope::Tenant(own) => t.name == *own,
        });
        return Ok(Response(200, json!({"tenants": seen.map(shown).collect::<Vec<_>>()}), None));
    };
    let found = all.iter().find(|(t, _)| t.name == name);
    let found = found.ok_or_else(|| StoreError::from(ChangeError::Missing(name.to_owned())))?;
    Ok(Response(200, if verb.is_some() { json!(found.1) } else { shown(found) }, None))
}

fn read<'a, T: Deserialize<'a>>(body: &'a [u8]) -> Result<T, Response> {
    serde_json::from_slice(body).map_err(|error| refusal(400, error))
}

fn bytes(response: &Response, close: bool) -> Vec<u8> {
    let Response(status, body, allowed) = response;
    let reason = match status {
        200 => "OK",
        201 => "Created",
        204 => "No Content",
        400 => "Bad Request",
        401 => "Unauthorized",
        403 => "Forbidden",
        404 => "Not Found",
        405 => "Method Not Allowed",
        409 => "Conflict",
        413 => "Content Too Large",
        431 => "Request Header Fields Too Large",
        501 => "Not Implemented",
        503 => "Service Unavailable",
        _ => "Internal Server Error",
    };
    let mut head = format!("HTTP/1.1 {status} {reason}\r\n");
    if let Some(allowed) = allowed {
        head += &format!("Allow: {allowed}\r\n");
    }
    if *status == 401 {
        head += "WWW-Authenticate: Bearer\r\n";
    }
    if close {
        head += "Connection: close\r\n";
    }
    if *status == 204 {
        return (head + "\r\n").into_bytes();
    }
    let body = body.to_string();
    head += &format!("Content-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}", body.len());
    head.into_bytes()
}

/// Serves the API for ever.
pub async fn run(tasks: Executor, listener: TcpListener, store: Rc<Store>, tokens: Vec<Token>) {
    let tokens: Rc<[Token]> = tokens.into();
    let open = Rc::new(());
    loop {
        match listener.accept().await {
            Ok((stream, _)) if Rc::strong_count(&open) <= MOST_CONNECTIONS => {
                let (store, tokens, open) = (store.clone(), tokens.clone(), open.clone());
                let serve = async move {
                    let _open = open;
                    if let Err(error) = serve(stream, &store, &tokens).await {
                        tracing::debug!(%error, "administration connection ended");
                    }
                };
                tasks.spawn(serve).detach();
            }
            Ok(_) => tracing::warn!("too many administration connections: one is closed"),
            Err(error) => {
                tracing::error!(%error, "no administration connection could be accepted");
                smol::Timer::after(Duration::from_millis(20)).await;
            }
        }
    }
}

async fn serve(mut stream: TcpStream, store: &Store, tokens: &[Token]) -> std::io::Result<()> {
    let mut held = Vec::new();
    let mut piece = vec![0; 4096];
    loop {
        let (response, close) = match parse(&held) {
            Ok(Some((request, length))) => {
                held.drain(..length);
                let response = answer(store, tokens, &request).await;
                tracing::info!(
                    method = request.method,
                    path = request.path,
                    status = response.0,
                    "administration"
                );
                (response, request.close)
            }
            Ok(None) => {
                let n = with_timeout(IDLE, stream.read(&mut piece)).await?;
                if n == 0 {
                    return Ok(());
                }
                held.extend_from_slice(&piece[..n]);
                continue;
            }
            // Where it ends is not known.
            Err(response) => (response, true),
        };
        with_timeout(IDLE, stream.write_all(&bytes(&response, close))).await?;
        if close {
            return Ok(());
        }
    }
}
