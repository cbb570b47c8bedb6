//! The tenants API: JSON over HTTP/1.1. Clients authenticate with the operator's token or a tenant's own token.

use std::rc::Rc;
use std::time::Duration;

use serde::Deserialize;
use serde_json::{json, Value};
use smol::io::{AsyncReadExt, AsyncWriteExt};
use smol::net::{TcpListener, TcpStream};
use subtle::ConstantTimeEq;

use super::{StoreError, TenantStore};
use crate::calls::tenants::{Change, ChangeError, Counts, Tenant};
use crate::net::{with_timeout, Executor};

/// The longest request head, in bytes.
const MAX_HEAD_BYTES: usize = 8 * 1024;
/// The longest request body, in bytes.
const MAX_BODY_BYTES: usize = 64 * 1024;
/// The most header fields of a request.
const MAX_HEADERS: usize = 64;
/// The most connections open at a time.
const MAX_CONNECTIONS: usize = 32;
/// A connection is closed after this long without progress of a read or a write.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);

/// What a token gives access to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Scope {
    /// Reading and changing every tenant.
    Operator,
    /// Reading this one tenant.
    Tenant(String),
}

/// A bearer token.
#[derive(Clone)]
pub struct Token {
    /// The secret that a client sends after `Bearer`.
    pub secret: String,
    /// What it gives access to.
    pub scope: Scope,
}

impl std::fmt::Debug for Token {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "Token({:?})", self.scope)
    }
}

/// The parts of an HTTP request that the API uses.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Request {
    /// The method.
    pub method: String,
    /// The path, without a query.
    pub path: String,
    /// The token after `Bearer` in the Authorization header.
    pub bearer: Option<String>,
    /// The body.
    pub body: Vec<u8>,
    /// Whether the connection closes after the response.
    pub close: bool,
}

/// A response: status code, JSON body, and the value of the Allow header if there is one.
#[derive(Clone, Debug, PartialEq)]
pub struct Response(pub u16, pub Value, pub Option<&'static str>);

/// A response with an error message in its body.
fn error_response(status: u16, reason: impl ToString) -> Response {
    Response(status, json!({"error": reason.to_string()}), None)
}

/// Parses a request from the start of the bytes; `None` if it is incomplete. Returns the request and its length in
/// bytes.
pub fn parse(bytes: &[u8]) -> Result<Option<(Request, usize)>, Response> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut head = httparse::Request::new(&mut headers);
    let head_length = match head.parse(bytes) {
        Ok(httparse::Status::Complete(head_length)) => head_length,
        Ok(httparse::Status::Partial) if bytes.len() > MAX_HEAD_BYTES => {
            return Err(error_response(431, "the head is too long"))
        }
        Ok(httparse::Status::Partial) => return Ok(None),
        Err(error) => return Err(error_response(400, error)),
    };
    let fields = |name: &str| {
        let matching: Vec<_> = head.headers.iter().filter(|h| h.name.eq_ignore_ascii_case(name)).collect();
        matching
    };
    let value =
        |name: &str| fields(name).first().and_then(|h| std::str::from_utf8(h.value).ok()).map(str::trim);
    if !fields("Transfer-Encoding").is_empty() {
        return Err(error_response(501, "send a Content-Length: no Transfer-Encoding is understood"));
    }
    if fields("Content-Length").len() > 1 {
        return Err(error_response(400, "Content-Length is said twice"));
    }
    let body_length = match value("Content-Length") {
        None if !fields("Content-Length").is_empty() => {
            return Err(error_response(400, "Content-Length is no number"))
        }
        None => 0,
        Some(text) if text.bytes().all(|b| b.is_ascii_digit()) => {
            text.parse().map_err(|_| error_response(400, "Content-Length is no number"))?
        }
        Some(_) => return Err(error_response(400, "Content-Length is no number")),
    };
    if body_length > MAX_BODY_BYTES {
        return Err(error_response(413, "the body is too long"));
    }
    let Some(body) = bytes.get(head_length..head_length + body_length) else { return Ok(None) };
    let authorization = value("Authorization").and_then(|v| v.split_once(' '));
    let request = Request {
        method: head.method.unwrap_or("").to_owned(),
        path: head.path.unwrap_or("").split('?').next().unwrap_or("").to_owned(),
        bearer: authorization
            .filter(|(scheme, _)| scheme.eq_ignore_ascii_case("Bearer"))
            .map(|(_, token)| token.trim().to_owned()),
        body: body.to_vec(),
        close: head.version == Some(0)
            || value("Connection").is_some_and(|v| v.eq_ignore_ascii_case("close")),
    };
    let request_length = head_length + request.body.len();
    Ok(Some((request, request_length)))
}

/// The body of a PATCH request. Absent keys leave a value unchanged; a `max_calls` of null removes the limit.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Patch {
    suspended: Option<bool>,
    #[serde(default, deserialize_with = "given")]
    max_calls: Option<Option<u32>>,
}

/// Distinguishes null, `Some(None)`, from an absent key, which takes the default `None`.
fn given<'de, D: serde::Deserializer<'de>>(d: D) -> Result<Option<Option<u32>>, D::Error> {
    Option::<u32>::deserialize(d).map(Some)
}

fn tenant_json((tenant, counts): &(Tenant, Counts)) -> Value {
    json!({"name": tenant.name, "suspended": tenant.suspended, "max_calls": tenant.max_calls,
        "counts": counts})
}

/// Finds the scope of a token. Every configured token is compared in constant time, so that the response time reveals
/// nothing about them.
fn scope_of(tokens: &[Token], bearer: Option<&str>) -> Option<Scope> {
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
            StoreError::NotPersisted(_) => 500,
            StoreError::ShuttingDown => 503,
        };
        error_response(status, error)
    }
}

/// Handles a request and returns the response.
pub async fn handle_request(store: &TenantStore, tokens: &[Token], request: &Request) -> Response {
    let Some(scope) = scope_of(tokens, request.bearer.as_deref()) else {
        return error_response(401, "a valid token is needed, as 'Authorization: Bearer ...'");
    };
    match route(store, &scope, request).await {
        Ok(response) | Err(response) => response,
    }
}

/// Checks path, method and scope of a request and carries it out.
async fn route(store: &TenantStore, scope: &Scope, request: &Request) -> Result<Response, Response> {
    let segments: Vec<&str> = request.path.trim_matches('/').split('/').collect();
    let (name, action) = match segments[..] {
        ["v1", "tenants"] => (None, None),
        ["v1", "tenants", name] => (Some(name), None),
        ["v1", "tenants", name, action @ ("counts" | "suspend" | "resume")] => (Some(name), Some(action)),
        _ => return Err(error_response(404, "there is nothing of that name")),
    };
    // A tenant's token gets the same 404 for other tenants as for tenants that do not exist.
    let hidden = |tenant: &str| matches!(scope, Scope::Tenant(own) if own != tenant);
    if let Some(name) = name.filter(|name| hidden(name)) {
        return Err(ChangeError::Missing(name.to_owned())).map_err(|e| StoreError::from(e).into());
    }
    let allowed = match (name, action) {
        (None, _) => "GET, POST",
        (Some(_), None) => "GET, PATCH, DELETE",
        (Some(_), Some("counts")) => "GET",
        (Some(_), Some(_)) => "POST",
    };
    if !allowed.split(", ").any(|method| method == request.method) {
        return Err(Response(405, json!({"error": format!("allowed are {allowed}")}), Some(allowed)));
    }
    if request.method != "GET" && *scope != Scope::Operator {
        return Err(error_response(403, "only the operator's token changes anything"));
    }
    let unchanged = |name: &str| Change::Set { name: name.to_owned(), suspended: None, max_calls: None };
    let change = match (request.method.as_str(), name, action) {
        ("POST", None, _) => Change::Create(parse_body(&request.body)?),
        ("PATCH", Some(name), _) => {
            let Patch { suspended, max_calls } = parse_body(&request.body)?;
            Change::Set { name: name.to_owned(), suspended, max_calls }
        }
        ("POST", Some(name), Some(action)) => match unchanged(name) {
            Change::Set { name, max_calls, .. } => {
                Change::Set { name, suspended: Some(action == "suspend"), max_calls }
            }
            other => other,
        },
        ("DELETE", Some(name), _) => Change::Delete(name.to_owned()),
        _ => return get_tenants(store, scope, name, action).await,
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
    let Response(_, body, _) = get_tenants(store, scope, Some(&name), None).await?;
    Ok(Response(status, body, None))
}

/// Returns one tenant, its counts, or all tenants that the scope may read.
async fn get_tenants(
    store: &TenantStore,
    scope: &Scope,
    name: Option<&str>,
    action: Option<&str>,
) -> Result<Response, Response> {
    let tenants = store.list().await?;
    let Some(name) = name else {
        let visible = tenants.iter().filter(|(t, _)| match scope {
            Scope::Operator => true,
            Scope::Tenant(own) => t.name == *own,
        });
        return Ok(Response(200, json!({"tenants": visible.map(tenant_json).collect::<Vec<_>>()}), None));
    };
    let found = tenants.iter().find(|(t, _)| t.name == name);
    let found = found.ok_or_else(|| StoreError::from(ChangeError::Missing(name.to_owned())))?;
    Ok(Response(200, if action.is_some() { json!(found.1) } else { tenant_json(found) }, None))
}

fn parse_body<'a, T: Deserialize<'a>>(body: &'a [u8]) -> Result<T, Response> {
    serde_json::from_slice(body).map_err(|error| error_response(400, error))
}

fn encode_response(response: &Response, close: bool) -> Vec<u8> {
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

/// Accepts connections and serves the API on them until the program ends.
pub async fn run(tasks: Executor, listener: TcpListener, store: Rc<TenantStore>, tokens: Vec<Token>) {
    let tokens: Rc<[Token]> = tokens.into();
    let connection_count = Rc::new(());
    loop {
        match listener.accept().await {
            Ok((stream, _)) if Rc::strong_count(&connection_count) <= MAX_CONNECTIONS => {
                let (store, tokens, counted) = (store.clone(), tokens.clone(), connection_count.clone());
                let serve = async move {
                    let _counted = counted;
                    if let Err(error) = serve(stream, &store, &tokens).await {
                        tracing::debug!(%error, "administration connection ended");
                    }
                };
                tasks.spawn("administration connection", serve);
            }
            Ok(_) => tracing::warn!("too many administration connections: new connection closed"),
            Err(error) => {
                tracing::error!(%error, "failed to accept an administration connection");
                smol::Timer::after(Duration::from_millis(20)).await;
            }
        }
    }
}

/// Serves one connection until it closes.
async fn serve(mut stream: TcpStream, store: &TenantStore, tokens: &[Token]) -> std::io::Result<()> {
    let mut buffer = Vec::new();
    let mut chunk = vec![0; 4096];
    loop {
        let (response, close) = match parse(&buffer) {
            Ok(Some((request, length))) => {
                buffer.drain(..length);
                let response = handle_request(store, tokens, &request).await;
                tracing::info!(
                    method = request.method,
                    path = request.path,
                    status = response.0,
                    "administration"
                );
                (response, request.close)
            }
            Ok(None) => {
                let n = with_timeout(IDLE_TIMEOUT, stream.read(&mut chunk)).await?;
                if n == 0 {
                    return Ok(());
                }
                buffer.extend_from_slice(&chunk[..n]);
                continue;
            }
            // The end of a malformed request is unknown, so the connection closes.
            Err(response) => (response, true),
        };
        with_timeout(IDLE_TIMEOUT, stream.write_all(&encode_response(&response, close))).await?;
        if close {
            return Ok(());
        }
    }
}
