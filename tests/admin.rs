//! The administration interfaces with test clients: the SIP front applies every change at once, and a tenant can't see
//! other tenants.

mod standin;

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::PathBuf;
use std::sync::Arc;

use futures_rustls::rustls::pki_types::{PrivateKeyDer, PrivatePkcs8KeyDer, ServerName};
use futures_rustls::rustls::{ClientConfig, ClientConnection, RootCertStore, StreamOwned};
use mallowring::admin::netconf::{Framer, BASE_NAMESPACE, MODEL_NAMESPACE};
use mallowring::admin::xml::{self, Element};
use mallowring::sip::header::Transport;
use rcgen::{BasicConstraints, CertificateParams, CertifiedIssuer, IsCa, KeyPair};
use serde_json::{json, Value};
use standin::{Caller, Exchange, Proxy};

const OPERATOR: &str = "operator-0123456789abcdef";
const COOP: &str = "coop-0123456789abcdef";

/// A directory of one test, removed when dropped.
struct TempDir(PathBuf);

impl TempDir {
    fn new(name: &str) -> TempDir {
        let path = std::env::temp_dir().join(format!("mallowring-admin-{}-{name}", std::process::id()));
        std::fs::create_dir_all(&path).expect("the directory can be created");
        TempDir(path)
    }

    fn file(&self, name: &str, content: &str) -> String {
        let path = self.0.join(name);
        std::fs::write(&path, content).expect("the file can be written");
        path.display().to_string()
    }
}

impl Drop for TempDir {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

/// The `[admin]` section of a service file, with the operator's token and one tenant's.
fn http_section(dir: &TempDir) -> String {
    let (operator, coop) = (dir.file("operator", OPERATOR), dir.file("coop", COOP));
    format!(
        "[admin]\nstore = \"{}\"\n[admin.http]\nlisten = \"127.0.0.1:0\"\n[[admin.http.tokens]]\n\
         file = \"{operator}\"\n[[admin.http.tokens]]\nfile = \"{coop}\"\ntenant = \"coop-cafetera\"\n",
        dir.0.join("tenants.json").display()
    )
}

/// Sends one request on a new connection; returns the status and the JSON body, null if there is none.
fn http(addr: SocketAddr, token: &str, method: &str, path: &str, body: Option<Value>) -> (u16, Value) {
    let mut stream = TcpStream::connect(addr).expect("the connection opens");
    let body = body.map_or(String::new(), |b| b.to_string());
    let request = format!(
        "{method} {path} HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer {token}\r\nConnection: close\r\n\
         Content-Length: {}\r\n\r\n{body}",
        body.len()
    );
    stream.write_all(request.as_bytes()).expect("the request is sent");
    let mut response = String::new();
    stream.read_to_string(&mut response).expect("a response arrives");
    let status = response.split(' ').nth(1).and_then(|s| s.parse().ok()).expect("the response has a status");
    let body = response.split_once("\r\n\r\n").map_or("", |(_, body)| body);
    (status, serde_json::from_str(body).unwrap_or(Value::Null))
}

/// Places a call of the tenant `coop-cafetera` to a number that the exchange rejects as busy; returns the final status.
fn call_status(proxy: &Proxy) -> Option<u16> {
    let mut caller = Caller::new(proxy.addr, Transport::Udp);
    let invite = caller.invite("busy", 5000, b"");
    caller.send(&invite);
    let response = caller.final_response("INVITE");
    caller.send(&caller.ack(&invite, &response));
    response.status()
}

#[test]
fn the_tenants_api_creates_reads_changes_suspends_and_counts() {
    let (exchange, dir) = (Exchange::start(), TempDir::new("api"));
    let entry = exchange.entry(1, "busy", Transport::Udp);
    let section = http_section(&dir);
    let proxy = Proxy::start(&entry, &section);
    let addr = proxy.http.expect("the API is on");
    let operator = |method: &str, path: &str, body| http(addr, OPERATOR, method, path, body);
    let (status, body) = operator("POST", "/v1/tenants", Some(json!({"name": "acme", "max_calls": 5})));
    assert_eq!((status, &body["max_calls"], &body["counts"]["taken"]), (201, &json!(5), &json!(0)));
    let (status, body) = operator("GET", "/v1/tenants", None);
    assert_eq!((status, body["tenants"].as_array().map(Vec::len)), (200, Some(4)));
    let (status, body) = operator("PATCH", "/v1/tenants/acme", Some(json!({"max_calls": null})));
    assert_eq!((status, &body["max_calls"]), (200, &Value::Null));
    // The SIP front applies a suspension.
    assert_eq!(call_status(&proxy), Some(480), "busy");
    assert_eq!(operator("POST", "/v1/tenants/coop-cafetera/suspend", None).0, 200);
    assert_eq!(call_status(&proxy), Some(403));
    let (_, counts) = operator("GET", "/v1/tenants/coop-cafetera/counts", None);
    assert_eq!(
        (&counts["taken"], &counts["refused"], &counts["rejected"]),
        (&json!(1), &json!(1), &json!(1))
    );
    // Invalid requests get an error message.
    let invalid_requests = [
        ("POST", "/v1/tenants", Some(json!({"name": "acme"})), 409),
        ("POST", "/v1/tenants", Some(json!({"name": ""})), 400),
        ("POST", "/v1/tenants", Some(json!({"name": "a/b"})), 400),
        ("POST", "/v1/tenants", Some(json!({"name": "b", "colour": 1})), 400),
        ("PATCH", "/v1/tenants/acme", Some(json!({"max_calls": 0})), 400),
        ("PATCH", "/v1/tenants/acme", Some(json!({"max_calls": "many"})), 400),
        ("GET", "/v1/tenants/nobody", None, 404),
        ("DELETE", "/v1/tenants/nobody", None, 404),
        ("GET", "/v2", None, 404),
        ("PUT", "/v1/tenants/acme", None, 405),
    ];
    for (method, path, body, status) in invalid_requests {
        let (actual, answer) = operator(method, path, body.clone());
        assert_eq!(actual, status, "{method} {path} {body:?}");
        assert!(answer["error"].as_str().is_some_and(|e| !e.is_empty()), "{answer}");
    }
    assert_eq!(operator("DELETE", "/v1/tenants/acme", None).0, 204);
    // Changes survive a restart.
    drop(proxy);
    let proxy = Proxy::start(&entry, &section);
    assert_eq!(call_status(&proxy), Some(403));
    let addr = proxy.http.expect("the API is on");
    assert_eq!(http(addr, OPERATOR, "POST", "/v1/tenants/coop-cafetera/resume", None).0, 200);
    assert_eq!(call_status(&proxy), Some(480));
}

#[test]
fn a_tenants_token_sees_its_own_tenant_and_changes_nothing() {
    let (exchange, dir) = (Exchange::start(), TempDir::new("scope"));
    let proxy = Proxy::start(&exchange.entry(1, "busy", Transport::Udp), &http_section(&dir));
    let addr = proxy.http.expect("the API is on");
    let coop = |method: &str, path: &str| http(addr, COOP, method, path, None);
    let (_, body) = coop("GET", "/v1/tenants");
    let names: Vec<_> =
        body["tenants"].as_array().expect("a list").iter().map(|t| t["name"].clone()).collect();
    assert_eq!(names, ["coop-cafetera"]);
    assert_eq!(coop("GET", "/v1/tenants/coop-cafetera/counts").0, 200);
    // The responses for another tenant and for an unknown one are the same.
    let (existing, unknown) = (coop("GET", "/v1/tenants/obras-viales"), coop("GET", "/v1/tenants/nobody"));
    assert_eq!((existing.0, unknown.0), (404, 404));
    assert_eq!(existing.1.to_string().replace("obras-viales", "nobody"), unknown.1.to_string());
    assert_eq!(coop("POST", "/v1/tenants/obras-viales/suspend").0, 404);
    for (method, path) in [
        ("POST", "/v1/tenants"),
        ("POST", "/v1/tenants/coop-cafetera/suspend"),
        ("PATCH", "/v1/tenants/coop-cafetera"),
        ("DELETE", "/v1/tenants/coop-cafetera"),
    ] {
        assert_eq!(coop(method, path).0, 403, "{method} {path}");
    }
    assert_eq!(http(addr, "wrong", "GET", "/v1/tenants", None).0, 401);
}

/// A certificate authority that issues the certificates of the server and the clients.
struct Certificates {
    authority: CertifiedIssuer<'static, KeyPair>,
}

impl Certificates {
    fn new() -> Certificates {
        let mut params = CertificateParams::new(Vec::<String>::new()).expect("parameters");
        params.is_ca = IsCa::Ca(BasicConstraints::Unconstrained);
        let key = KeyPair::generate().expect("a key is generated");
        Certificates {
            authority: CertifiedIssuer::self_signed(params, key).expect("the authority signs itself"),
        }
    }

    fn issue(&self, name: &str) -> (rcgen::Certificate, KeyPair) {
        let key = KeyPair::generate().expect("a key is generated");
        let params = CertificateParams::new(vec![name.to_owned()]).expect("parameters");
        (params.signed_by(&key, &self.authority).expect("the authority signs the certificate"), key)
    }
}

/// A NETCONF client with an open session.
struct Netconf {
    stream: StreamOwned<ClientConnection, TcpStream>,
    framer: Framer,
    last_message_id: u32,
    session_id: String,
}

impl Netconf {
    /// Opens a session with this client certificate and base version.
    fn connect(
        addr: SocketAddr,
        certificates: &Certificates,
        (certificate, key): &(rcgen::Certificate, KeyPair),
        base: &str,
    ) -> std::io::Result<Netconf> {
        let mut roots = RootCertStore::empty();
        roots.add(certificates.authority.der().clone()).expect("the root certificate is valid");
        let provider = Arc::new(futures_rustls::rustls::crypto::ring::default_provider());
        let config = ClientConfig::builder_with_provider(provider)
            .with_safe_default_protocol_versions()
            .expect("versions")
            .with_root_certificates(roots)
            .with_client_auth_cert(
                vec![certificate.der().clone()],
                PrivateKeyDer::from(PrivatePkcs8KeyDer::from(key.serialize_der())),
            )
            .expect("the client certificate is valid");
        let name = ServerName::try_from("proxy.test").expect("the server name is valid");
        let client = ClientConnection::new(Arc::new(config), name).expect("the configuration is valid");
        let stream = StreamOwned::new(client, TcpStream::connect(addr)?);
        let mut netconf =
            Netconf { stream, framer: Framer::default(), last_message_id: 0, session_id: String::new() };
        let hello = Element::new(BASE_NAMESPACE, "hello").with_child(
            Element::new(BASE_NAMESPACE, "capabilities")
                .with_text("capability", format!("urn:ietf:params:netconf:base:{base}")),
        );
        netconf.write(&hello)?;
        let server_hello = netconf.read()?;
        netconf.session_id =
            server_hello.child("session-id").expect("the hello has a session id").text.clone();
        netconf.framer.chunked = base == "1.1";
        Ok(netconf)
    }

    fn write(&mut self, element: &Element) -> std::io::Result<()> {
        let mut text = String::new();
        element.write("", &mut text);
        self.write_text(&text)
    }

    fn write_text(&mut self, text: &str) -> std::io::Result<()> {
        self.stream.write_all(&self.framer.frame(text))?;
        self.stream.flush()
    }

    fn read(&mut self) -> std::io::Result<Element> {
        let mut bytes = vec![0; 4096];
        loop {
            if let Some(message) = self.framer.pull().map_err(std::io::Error::other)? {
                return Ok(xml::parse(&message).expect("the server sends valid XML"));
            }
            match self.stream.read(&mut bytes)? {
                0 => return Err(std::io::ErrorKind::UnexpectedEof.into()),
                n => self.framer.push(&bytes[..n]),
            }
        }
    }

    /// Sends an operation and returns the children of the reply.
    fn rpc(&mut self, operation: &str) -> Vec<Element> {
        self.last_message_id += 1;
        let id = self.last_message_id.to_string();
        self.write_text(&format!("<rpc message-id=\"{id}\" xmlns=\"{BASE_NAMESPACE}\">{operation}</rpc>"))
            .expect("the request is sent");
        let reply = self.read().expect("a reply arrives");
        assert_eq!(reply.attr("", "message-id"), Some(id.as_str()));
        reply.children
    }

    /// Sends an operation that must succeed.
    fn expect_ok(&mut self, operation: &str) {
        let reply = self.rpc(operation);
        assert_eq!(
            reply.iter().map(|e| e.name.as_str()).collect::<Vec<_>>(),
            ["ok"],
            "{operation}: {reply:?}"
        );
    }

    /// Sends an operation that must fail; returns the error tag.
    fn expect_error(&mut self, operation: &str) -> String {
        let reply = self.rpc(operation);
        let tag = reply.first().and_then(|e| e.child("error-tag")).map(|t| t.text.clone());
        tag.unwrap_or_else(|| panic!("{operation}: {reply:?}"))
    }
}

/// An edit-config operation on the tenant list.
fn edit_config(tenants: &str) -> String {
    format!("<edit-config><target><running/></target><config><tenants xmlns=\"{MODEL_NAMESPACE}\" xmlns:nc=\"{BASE_NAMESPACE}\">{tenants}</tenants></config></edit-config>")
}

#[test]
fn netconf_over_mutual_tls_works_on_the_same_store() {
    let (exchange, dir, certificates) = (Exchange::start(), TempDir::new("netconf"), Certificates::new());
    let (server, listed, unlisted) =
        (certificates.issue("proxy.test"), certificates.issue("noc"), certificates.issue("noc"));
    let section = http_section(&dir)
        + &format!(
            "[admin.netconf]\nlisten = \"127.0.0.1:0\"\ncertificate = \"{}\"\nkey = \"{}\"\nauthority = \"{}\"\n\
             [[admin.netconf.clients]]\nname = \"noc\"\ncertificate = \"{}\"\n",
            dir.file("server.pem", &server.0.pem()),
            dir.file("server.key", &server.1.serialize_pem()),
            dir.file("authority.pem", &certificates.authority.pem()),
            dir.file("noc.pem", &listed.0.pem()),
        );
    let proxy = Proxy::start(&exchange.entry(1, "busy", Transport::Udp), &section);
    let (addr, api) = (proxy.netconf.expect("NETCONF is on"), proxy.http.expect("the API is on"));
    // Signed by the authority, but not on the list of clients.
    assert!(Netconf::connect(addr, &certificates, &unlisted, "1.1").is_err());
    for base in ["1.0", "1.1"] {
        let mut noc = Netconf::connect(addr, &certificates, &listed, base).expect("the session opens");
        noc.expect_ok(&edit_config("<tenant><name>coop-cafetera</name><suspended>true</suspended></tenant>"));
        assert_eq!(call_status(&proxy), Some(403), "the SIP front applies the suspension");
        let (_, body) = http(api, COOP, "GET", "/v1/tenants/coop-cafetera", None);
        assert_eq!(body["suspended"], json!(true), "the API shows the suspension");
        noc.expect_ok(&edit_config(
            "<tenant><name>coop-cafetera</name><suspended nc:operation=\"delete\"/></tenant>",
        ));
        assert_eq!(call_status(&proxy), Some(480));
        noc.expect_ok(&edit_config(
            "<tenant nc:operation=\"create\"><name>acme</name><max-calls>7</max-calls></tenant>",
        ));
        let get = format!(
            "<get><filter type=\"subtree\"><tenants xmlns=\"{MODEL_NAMESPACE}\"><tenant><name>acme</name></tenant></tenants></filter></get>"
        );
        let data = noc.rpc(&get).remove(0);
        let tenants = &data.children[0].children;
        assert_eq!(tenants.len(), 1);
        assert_eq!(tenants[0].child("max-calls").map(|e| e.text.as_str()), Some("7"));
        assert!(tenants[0].child("counts").is_some_and(|c| c.child("taken").is_some()));
        let config = noc.rpc("<get-config><source><running/></source></get-config>").remove(0);
        assert!(
            config.children[0].children.iter().all(|t| t.child("counts").is_none()),
            "the configuration contains no counts"
        );
        // An edit is applied as a whole or not at all: the second entry is invalid.
        let tag = noc.expect_error(&edit_config(
            "<tenant><name>half</name></tenant><tenant nc:operation=\"create\"><name>acme</name></tenant>",
        ));
        assert_eq!(tag, "data-exists");
        assert_eq!(http(api, OPERATOR, "GET", "/v1/tenants/half", None).0, 404);
        noc.expect_ok(&edit_config("<tenant nc:operation=\"delete\"><name>acme</name></tenant>"));
        noc.expect_ok("<close-session/>");
        assert!(noc.read().is_err(), "the session is closed");
    }
    let mut noc = Netconf::connect(addr, &certificates, &listed, "1.1").expect("the session opens");
    let errors = [
        ("<commit/>".to_owned(), "operation-not-supported"),
        (edit_config("<tenant nc:operation=\"delete\"><name>nobody</name></tenant>"), "data-missing"),
        (edit_config("<tenant nc:operation=\"explode\"><name>x</name></tenant>"), "bad-attribute"),
        (edit_config("<tenant><name>x</name><max-calls>many</max-calls></tenant>"), "invalid-value"),
        (edit_config("<tenant><name>x</name><max-calls>0</max-calls></tenant>"), "invalid-value"),
        (edit_config("<tenant><name>x</name><counts/></tenant>"), "invalid-value"),
        (edit_config("<tenant><name>x</name><colour/></tenant>"), "unknown-element"),
        (edit_config("<tenant><suspended>true</suspended></tenant>"), "missing-element"),
        ("<get-config><source><candidate/></source></get-config>".to_owned(), "invalid-value"),
        ("<kill-session><session-id>99</session-id></kill-session>".to_owned(), "invalid-value"),
        ("<get><filter type=\"xpath\"/></get>".to_owned(), "operation-not-supported"),
    ];
    for (operation, tag) in errors {
        assert_eq!(noc.expect_error(&operation), tag, "{operation}");
    }
    // A malformed request gets an error as well, and the session stays open.
    noc.write_text("<rpc><unclosed></rpc>").expect("the request is sent");
    let reply = noc.read().expect("a reply arrives");
    assert_eq!(reply.children[0].child("error-tag").map(|t| t.text.as_str()), Some("malformed-message"));
    // A lock blocks changes by all other clients, and ends with its session.
    let mut other = Netconf::connect(addr, &certificates, &listed, "1.1").expect("the session opens");
    noc.expect_ok("<lock><target><running/></target></lock>");
    assert_eq!(other.expect_error("<lock><target><running/></target></lock>"), "lock-denied");
    assert_eq!(other.expect_error(&edit_config("<tenant><name>x</name></tenant>")), "in-use");
    assert_eq!(http(api, OPERATOR, "POST", "/v1/tenants", Some(json!({"name": "x"}))).0, 409);
    noc.expect_ok(&edit_config("<tenant><name>x</name></tenant>"));
    other.expect_ok(&format!("<kill-session><session-id>{}</session-id></kill-session>", noc.session_id));
    assert!(noc.read().is_err(), "the session is closed");
    other.expect_ok("<lock><target><running/></target></lock>");
    other.expect_ok("<unlock><target><running/></target></unlock>");
}
