//! XML as NETCONF needs it: elements with their namespaces, read into a tree and written.

use quick_xml::escape::{escape, resolve_xml_entity};
use quick_xml::events::{BytesStart, Event};
use quick_xml::name::ResolveResult;
use quick_xml::{NsReader, XmlVersion};

/// Elements may be nested so deep.
const DEEPEST: usize = 32;

/// An element.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Element {
    /// Its namespace; empty where it has none.
    pub ns: String,
    /// Its name without a prefix.
    pub name: String,
    /// Its attributes: namespace, name, value. Declarations of namespaces are none.
    pub attrs: Vec<(String, String, String)>,
    /// The elements in it.
    pub children: Vec<Element>,
    /// The text in it, without the space around it.
    pub text: String,
}

impl Element {
    /// The value of an attribute.
    pub fn attr(&self, ns: &str, name: &str) -> Option<&str> {
        self.attrs.iter().find(|(n, a, _)| n == ns && a == name).map(|(_, _, value)| value.as_str())
    }

    /// The first child of a name, in this element's namespace.
    pub fn child(&self, name: &str) -> Option<&Element> {
        self.children.iter().find(|c| c.name == name && c.ns == self.ns)
    }
}

fn namespace(resolved: &ResolveResult) -> Result<String, String> {
    match resolved {
        ResolveResult::Bound(ns) => Ok(ns.as_ref().to_owned()),
        ResolveResult::Unbound => Ok(String::new()),
        ResolveResult::Unknown(prefix) => Err(format!("prefix {} is not declared", prefix)),
    }
}

fn start(reader: &NsReader<&[u8]>, ns: String, tag: &BytesStart) -> Result<Element, String> {
    let mut element = Element { ns, name: tag.local_name().as_ref().to_owned(), ..Element::default() };
    for attr in tag.attributes() {
        let attr = attr.map_err(|e| e.to_string())?;
        if attr.key.as_namespace_binding().is_some() {
            continue;
        }
        let (resolved, name) = reader.resolver().resolve_attribute(attr.key);
        let value = attr.normalized_value(XmlVersion::Implicit1_0).map_err(|e| e.to_string())?.into_owned();
        element.attrs.push((namespace(&resolved)?, name.as_ref().to_owned(), value));
    }
    Ok(element)
}

/// Reads a document; what is wrong with it is told in words.
pub fn parse(document: &str) -> Result<Element, String> {
    let mut reader = NsReader::from_str(document);
    let mut open: Vec<Element> = Vec::new();
    loop {
        let (resolved, event) = reader.read_resolved_event().map_err(|e| e.to_string())?;
        let ns = match &event {
            Event::Start(_) | Event::Empty(_) => namespace(&resolved)?,
            _ => String::new(),
        };
        let done = match event {
            Event::Start(tag) if open.len() < DEEPEST => {
                let element = start(&reader, ns, &tag)?;
                open.push(element);
                None
            }
            Event::Start(_) => return Err(format!("more than {DEEPEST} elements in each other")),
            Event::Empty(tag) => Some(start(&reader, ns, &tag)?),
            Event::End(_) => open.pop(),
            Event::Text(piece) => {
                let piece: &str = piece.as_ref();
                match open.last_mut() {
                    Some(element) => element.text.push_str(piece),
                    None if piece.trim().is_empty() => {}
                    None => return Err("text outside of the document".to_owned()),
                }
                None
            }
            Event::CData(piece) => {
                let piece: &str = piece.as_ref();
                open.last_mut().ok_or("text outside of the document")?.text.push_str(piece);
                None
            }
            Event::GeneralRef(reference) => {
                let name: &str = reference.as_ref();
                let plain = match reference.resolve_char_ref().map_err(|e| e.to_string())? {
                    Some(char) => char.to_string(),
                    None => resolve_xml_entity(name).ok_or(format!("entity {name} is not known"))?.to_owned(),
                };
                open.last_mut().ok_or("an entity outside of the document")?.text.push_str(&plain);
                None
            }
            // An own document type is the way to exhaust a reader (RFC 6241, 3).
            Event::DocType(_) => return Err("a document type is not allowed".to_owned()),
            Event::Eof => return Err("the document is cut short".to_owned()),
            Event::Comment(_) | Event::Decl(_) | Event::PI(_) => None,
        };
        if let Some(mut element) = done {
            element.text = element.text.trim().to_owned();
            match open.last_mut() {
                Some(parent) => parent.children.push(element),
                None => return rest(&mut reader).map(|()| element),
            }
        }
    }
}

/// Behind the document nothing may stand but space and comments.
fn rest(reader: &mut NsReader<&[u8]>) -> Result<(), String> {
    loop {
        match reader.read_event().map_err(|e| e.to_string())? {
            Event::Eof => return Ok(()),
            Event::Comment(_) | Event::PI(_) => {}
            Event::Text(piece) if piece.as_ref().trim().is_empty() => {}
            _ => return Err("something stands behind the document".to_owned()),
        }
    }
}

impl Element {
    /// An element of a namespace.
    pub fn new(ns: &str, name: &str) -> Self {
        Element { ns: ns.to_owned(), name: name.to_owned(), ..Element::default() }
    }

    /// The same with one more element in it.
    #[must_use]
    pub fn with_child(mut self, child: Element) -> Self {
        self.children.push(child);
        self
    }

    /// The same with an element in it that holds text, of the same namespace.
    #[must_use]
    pub fn with_text(self, name: &str, value: impl ToString) -> Self {
        let leaf = Element { text: value.to_string(), ..Element::new(&self.ns, name) };
        self.with_child(leaf)
    }

    /// Written, where a namespace is already in force.
    pub fn write(&self, outer: &str, out: &mut String) {
        out.push('<');
        out.push_str(&self.name);
        if self.ns != outer {
            out.push_str(&format!(" xmlns=\"{}\"", escape(&self.ns)));
        }
        for (_, name, value) in self.attrs.iter().filter(|(ns, ..)| ns.is_empty()) {
            out.push_str(&format!(" {name}=\"{}\"", escape(value)));
        }
        if self.text.is_empty() && self.children.is_empty() {
            out.push_str("/>");
            return;
        }
        out.push('>');
        out.push_str(&escape(&self.text));
        for child in &self.children {
            child.write(&self.ns, out);
        }
        out.push_str(&format!("</{}>", self.name));
    }
}
