//! The administration by stand-in clients: what they change is obeyed by the SIP front, and no tenant sees another.

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

/// A folder of its own, gone when dropped.
struct Folder(PathBuf);

impl Folder {
    fn new(name: &str) -> Folder {
        let path = std::env::temp_dir().join(format!("mallowring-admin-{}-{name}", std::process::id()));
        std::fs::create_dir_all(&path).expect("a folder");
        Folder(path)
    }

    fn file(&self, name: &str, content: &str) -> String {
        let path = self.0.join(name);
        std::fs::write(&path, content).expect("a file");
        path.display().to_string()
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

fn http_section(folder: &Folder) -> String {
    let (operator, coop) = (folder.file("operator", OPERATOR), folder.file("coop", COOP));
    format!(
        "[admin]\nstore = \"{}\"\n[admin.http]\nlisten = \"127.0.0.1:0\"\n[[admin.http.tokens]]\n\
         file = \"{operator}\"\n[[admin.http.tokens]]\nfile = \"{coop}\"\ntenant = \"coop-cafetera\"\n",
        folder.0.join("tenants.json").display()
    )
}

/// One request on a connection of its own.
fn http(addr: SocketAddr, token: &str, method: &str, path: &str, body: Option<Value>) -> (u16, Value) {
    let mut stream = TcpStream::connect(addr).expect("a connection");
    let body = body.map_or(String::new(), |b| b.to_string());
    let head = format!(
        "{method} {path} HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer {token}\r\nConnection: close\r\n\
         Content-Length: {}\r\n\r\n{body}",
        body.len()
    );
    stream.write_all(head.as_bytes()).expect("it is sent");
    let mut text = String::new();
    stream.read_to_string(&mut text).expect("an answer");
    let status = text.split(' ').nth(1).and_then(|s| s.parse().ok()).expect("a status");
    let body = text.split_once("\r\n\r\n").map_or("", |(_, body)| body);
    (status, serde_json::from_str(body).unwrap_or(Value::Null))
}

/// The final status of a call by a tenant that is taken by its exchange's description.
fn call(proxy: &Proxy) -> Option<u16> {
    let mut caller = Caller::new(proxy.addr, Transport::Udp);
    let invite = caller.invite("busy", 5000, b"");
    caller.send(&invite);
    let fin = caller.final_response("INVITE");
    caller.send(&caller.ack(&invite, &fin));
    fin.status()
}

#[test]
fn the_tenants_api_creates_reads_changes_suspends_and_counts() {
    let (exchange, folder) = (Exchange::start(), Folder::new("api"));
    let entry = exchange.entry(1, "busy", Transport::Udp);
    let section = http_section(&folder);
    let proxy = Proxy::start(&entry, &section);
    let addr = proxy.http.expect("the API is on");
    let operator = |method: &str, path: &str, body| http(addr, OPERATOR, method, path, body);
    let (status, body) = operator("POST", "/v1/tenants", Some(json!({"name": "acme", "max_calls": 5})));
    assert_eq!((status, &body["max_calls"], &body["counts"]["taken"]), (201, &json!(5), &json!(0)));
    let (status, body) = operator("GET", "/v1/tenants", None);
    assert_eq!((status, body["tenants"].as_array().map(Vec::len)), (200, Some(4)));
    let (status, body) = operator("PATCH", "/v1/tenants/acme", Some(json!({"max_calls": null})));
    assert_eq!((status, &body["max_calls"]), (200, &Value::Null));
    // The SIP front obeys.
    assert_eq!(call(&proxy), Some(480), "busy");
    assert_eq!(operator("POST", "/v1/tenants/coop-cafetera/suspend", None).0, 200);
    assert_eq!(call(&proxy), Some(403));
    let (_, counts) = operator("GET", "/v1/tenants/coop-cafetera/counts", None);
    assert_eq!(
        (&counts["taken"], &counts["refused"], &counts["rejected"]),
        (&json!(1), &json!(1), &json!(1))
    );
    // What is wrong is told with a reason.
    let wrong = [
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
    for (method, path, body, status) in wrong {
        let (said, answer) = operator(method, path, body.clone());
        assert_eq!(said, status, "{method} {path} {body:?}");
        assert!(answer["error"].as_str().is_some_and(|e| !e.is_empty()), "{answer}");
    }
    assert_eq!(operator("DELETE", "/v1/tenants/acme", None).0, 204);
    // What was changed holds beyond a restart.
    drop(proxy);
    let proxy = Proxy::start(&entry, &section);
    assert_eq!(call(&proxy), Some(403));
    let addr = proxy.http.expect("the API is on");
    assert_eq!(http(addr, OPERATOR, "POST", "/v1/tenants/coop-cafetera/resume", None).0, 200);
    assert_eq!(call(&proxy), Some(480));
}

#[test]
fn a_tenants_token_sees_its_own_tenant_and_changes_nothing() {
    let (exchange, folder) = (Exchange::start(), Folder::new("scope"));
    let proxy = Proxy::start(&exchange.entry(1, "busy", Transport::Udp), &http_section(&folder));
    let addr = proxy.http.expect("the API is on");
    let coop = |method: &str, path: &str| http(addr, COOP, method, path, None);
    let (_, body) = coop("GET", "/v1/tenants");
    let names: Vec<_> =
        body["tenants"].as_array().expect("a list").iter().map(|t| t["name"].clone()).collect();
    assert_eq!(names, ["coop-cafetera"]);
    assert_eq!(coop("GET", "/v1/tenants/coop-cafetera/counts").0, 200);
    // One that is there and one that is not look the same.
    let (there, not) = (coop("GET", "/v1/tenants/obras-viales"), coop("GET", "/v1/tenants/nobody"));
    assert_eq!((there.0, not.0), (404, 404));
    assert_eq!(there.1.to_string().replace("obras-viales", "nobody"), not.1.to_string());
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

/// An authority, and a server's and two clients' certificates.
struct Certificates {
    authority: CertifiedIssuer<'static, KeyPair>,
}

impl Certificates {
    fn new() -> Certificates {
        let mut params = CertificateParams::new(Vec::<String>::new()).expect("parameters");
        params.is_ca = IsCa::Ca(BasicConstraints::Unconstrained);
        let key = KeyPair::generate().expect("a key");
        Certificates { authority: CertifiedIssuer::self_signed(params, key).expect("an authority") }
    }

    fn issue(&self, name: &str) -> (rcgen::Certificate, KeyPair) {
        let key = KeyPair::generate().expect("a key");
        let params = CertificateParams::new(vec![name.to_owned()]).expect("parameters");
        (params.signed_by(&key, &self.authority).expect("a certificate"), key)
    }
}

struct Netconf {
    stream: StreamOwned<ClientConnection, TcpStream>,
    framer: Framer,
    next: u32,
    session: String,
}

impl Netconf {
    fn connect(
        addr: SocketAddr,
        certificates: &Certificates,
        (own, key): &(rcgen::Certificate, KeyPair),
        base: &str,
    ) -> std::io::Result<Netconf> {
        let mut roots = RootCertStore::empty();
        roots.add(certificates.authority.der().clone()).expect("a root");
        let provider = Arc::new(futures_rustls::rustls::crypto::ring::default_provider());
        let config = ClientConfig::builder_with_provider(provider)
            .with_safe_default_protocol_versions()
            .expect("versions")
            .with_root_certificates(roots)
            .with_client_auth_cert(
                vec![own.der().clone()],
                PrivateKeyDer::from(PrivatePkcs8KeyDer::from(key.serialize_der())),
            )
            .expect("a client");
        let name = ServerName::try_from("proxy.test").expect("a name");
        let client = ClientConnection::new(Arc::new(config), name).expect("a client");
        let stream = StreamOwned::new(client, TcpStream::connect(addr)?);
        let mut netconf = Netconf { stream, framer: Framer::default(), next: 0, session: String::new() };
        let hello = Element::new(BASE_NAMESPACE, "hello").with_child(
            Element::new(BASE_NAMESPACE, "capabilities")
                .with_text("capability", format!("urn:ietf:params:netconf:base:{base}")),
        );
        netconf.write(&hello)?;
        let theirs = netconf.read()?;
        netconf.session = theirs.child("session-id").expect("an id").text.clone();
        netconf.framer.chunked = base == "1.1";
        Ok(netconf)
    }

    fn write(&mut self, element: &Element) -> std::io::Result<()> {
        let mut text = String::new();
        element.write("", &mut text);
        self.raw(&text)
    }

    fn raw(&mut self, text: &str) -> std::io::Result<()> {
        self.stream.write_all(&self.framer.frame(text))?;
        self.stream.flush()
    }

    fn read(&mut self) -> std::io::Result<Element> {
        let mut bytes = vec![0; 4096];
        loop {
            if let Some(message) = self.framer.pull().map_err(std::io::Error::other)? {
                return Ok(xml::parse(&message).expect("XML of the server's"));
            }
            match self.stream.read(&mut bytes)? {
                0 => return Err(std::io::ErrorKind::UnexpectedEof.into()),
                n => self.framer.push(&bytes[..n]),
            }
        }
    }

    /// An operation in XML; its reply's children.
    fn rpc(&mut self, operation: &str) -> Vec<Element> {
        self.next += 1;
        let id = self.next.to_string();
        self.raw(&format!("<rpc message-id=\"{id}\" xmlns=\"{BASE_NAMESPACE}\">{operation}</rpc>"))
            .expect("it is sent");
        let reply = self.read().expect("a reply");
        assert_eq!(reply.attr("", "message-id"), Some(id.as_str()));
        reply.children
    }

    fn ok(&mut self, operation: &str) {
        let reply = self.rpc(operation);
        assert_eq!(
            reply.iter().map(|e| e.name.as_str()).collect::<Vec<_>>(),
            ["ok"],
            "{operation}: {reply:?}"
        );
    }

    fn error(&mut self, operation: &str) -> String {
        let reply = self.rpc(operation);
        let tag = reply.first().and_then(|e| e.child("error-tag")).map(|t| t.text.clone());
        tag.unwrap_or_else(|| panic!("{operation}: {reply:?}"))
    }
}

fn edit(tenants: &str) -> String {
    format!("<edit-config><target><running/></target><config><tenants xmlns=\"{MODEL_NAMESPACE}\" xmlns:nc=\"{BASE_NAMESPACE}\">{tenants}</tenants></config></edit-config>")
}

#[test]
fn netconf_over_mutual_tls_works_on_the_same_store() {
    let (exchange, folder, certificates) = (Exchange::start(), Folder::new("netconf"), Certificates::new());
    let (server, known, stranger) =
        (certificates.issue("proxy.test"), certificates.issue("noc"), certificates.issue("noc"));
    let section = http_section(&folder)
        + &format!(
            "[admin.netconf]\nlisten = \"127.0.0.1:0\"\ncertificate = \"{}\"\nkey = \"{}\"\nauthority = \"{}\"\n\
             [[admin.netconf.clients]]\nname = \"noc\"\ncertificate = \"{}\"\n",
            folder.file("server.pem", &server.0.pem()),
            folder.file("server.key", &server.1.serialize_pem()),
            folder.file("authority.pem", &certificates.authority.pem()),
            folder.file("noc.pem", &known.0.pem()),
        );
    let proxy = Proxy::start(&exchange.entry(1, "busy", Transport::Udp), &section);
    let (addr, api) = (proxy.netconf.expect("it is on"), proxy.http.expect("it is on"));
    // Signed by the authority, but on no list.
    assert!(Netconf::connect(addr, &certificates, &stranger, "1.1").is_err());
    for base in ["1.0", "1.1"] {
        let mut noc = Netconf::connect(addr, &certificates, &known, base).expect("a session");
        noc.ok(&edit("<tenant><name>coop-cafetera</name><suspended>true</suspended></tenant>"));
        assert_eq!(call(&proxy), Some(403), "the SIP front obeys");
        let (_, body) = http(api, COOP, "GET", "/v1/tenants/coop-cafetera", None);
        assert_eq!(body["suspended"], json!(true), "the API sees it");
        noc.ok(&edit("<tenant><name>coop-cafetera</name><suspended nc:operation=\"delete\"/></tenant>"));
        assert_eq!(call(&proxy), Some(480));
        noc.ok(&edit("<tenant nc:operation=\"create\"><name>acme</name><max-calls>7</max-calls></tenant>"));
        let wanted = format!(
            "<get><filter type=\"subtree\"><tenants xmlns=\"{MODEL_NAMESPACE}\"><tenant><name>acme</name></tenant></tenants></filter></get>"
        );
        let data = noc.rpc(&wanted).remove(0);
        let tenants = &data.children[0].children;
        assert_eq!(tenants.len(), 1);
        assert_eq!(tenants[0].child("max-calls").map(|e| e.text.as_str()), Some("7"));
        assert!(tenants[0].child("counts").is_some_and(|c| c.child("taken").is_some()));
        let config = noc.rpc("<get-config><source><running/></source></get-config>").remove(0);
        assert!(config.children[0].children.iter().all(|t| t.child("counts").is_none()), "no state in it");
        // All or nothing: the second of these can't be.
        let tag = noc.error(&edit(
            "<tenant><name>half</name></tenant><tenant nc:operation=\"create\"><name>acme</name></tenant>",
        ));
        assert_eq!(tag, "data-exists");
        assert_eq!(http(api, OPERATOR, "GET", "/v1/tenants/half", None).0, 404);
        noc.ok(&edit("<tenant nc:operation=\"delete\"><name>acme</name></tenant>"));
        noc.ok("<close-session/>");
        assert!(noc.read().is_err(), "it is closed");
    }
    let mut noc = Netconf::connect(addr, &certificates, &known, "1.1").expect("a session");
    let errors = [
        ("<commit/>".to_owned(), "operation-not-supported"),
        (edit("<tenant nc:operation=\"delete\"><name>nobody</name></tenant>"), "data-missing"),
        (edit("<tenant nc:operation=\"explode\"><name>x</name></tenant>"), "bad-attribute"),
        (edit("<tenant><name>x</name><max-calls>many</max-calls></tenant>"), "invalid-value"),
        (edit("<tenant><name>x</name><max-calls>0</max-calls></tenant>"), "invalid-value"),
        (edit("<tenant><name>x</name><counts/></tenant>"), "invalid-value"),
        (edit("<tenant><name>x</name><colour/></tenant>"), "unknown-element"),
        (edit("<tenant><suspended>true</suspended></tenant>"), "missing-element"),
        ("<get-config><source><candidate/></source></get-config>".to_owned(), "invalid-value"),
        ("<kill-session><session-id>99</session-id></kill-session>".to_owned(), "invalid-value"),
        ("<get><filter type=\"xpath\"/></get>".to_owned(), "operation-not-supported"),
    ];
    for (operation, tag) in errors {
        assert_eq!(noc.error(&operation), tag, "{operation}");
    }
    // What is no request at all gets an error too, and the session goes on.
    noc.raw("<rpc><unclosed></rpc>").expect("it is sent");
    let reply = noc.read().expect("a reply");
    assert_eq!(reply.children[0].child("error-tag").map(|t| t.text.as_str()), Some("malformed-message"));
    // A lock keeps all others out, and goes with its session.
    let mut other = Netconf::connect(addr, &certificates, &known, "1.1").expect("a session");
    noc.ok("<lock><target><running/></target></lock>");
    assert_eq!(other.error("<lock><target><running/></target></lock>"), "lock-denied");
    assert_eq!(other.error(&edit("<tenant><name>x</name></tenant>")), "in-use");
    assert_eq!(http(api, OPERATOR, "POST", "/v1/tenants", Some(json!({"name": "x"}))).0, 409);
    noc.ok(&edit("<tenant><name>x</name></tenant>"));
    other.ok(&format!("<kill-session><session-id>{}</session-id></kill-session>", noc.session));
    assert!(noc.read().is_err(), "it is closed");
    other.ok("<lock><target><running/></target></lock>");
    other.ok("<unlock><target><running/></target></unlock>");
}
