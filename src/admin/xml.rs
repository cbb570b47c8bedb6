//! The subset of XML that NETCONF needs: a parser into a tree of elements with namespaces, and a writer.

use quick_xml::escape::{escape, resolve_xml_entity};
use quick_xml::events::{BytesStart, Event};
use quick_xml::name::ResolveResult;
use quick_xml::{NsReader, XmlVersion};

/// The deepest nesting of elements.
const MAX_DEPTH: usize = 32;

/// An XML element.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Element {
    /// The namespace; empty if there is none.
    pub ns: String,
    /// The name without a prefix.
    pub name: String,
    /// The attributes as (namespace, name, value), without namespace declarations.
    pub attrs: Vec<(String, String, String)>,
    /// The child elements.
    pub children: Vec<Element>,
    /// The text content, without surrounding white space.
    pub text: String,
}

impl Element {
    /// Returns the value of an attribute.
    pub fn attr(&self, ns: &str, name: &str) -> Option<&str> {
        self.attrs.iter().find(|(n, a, _)| n == ns && a == name).map(|(_, _, value)| value.as_str())
    }

    /// Returns the first child with this name in this element's namespace.
    pub fn child(&self, name: &str) -> Option<&Element> {
        self.children.iter().find(|c| c.name == name && c.ns == self.ns)
    }
}

fn namespace_of(resolved: &ResolveResult) -> Result<String, String> {
    match resolved {
        ResolveResult::Bound(ns) => Ok(ns.as_ref().to_owned()),
        ResolveResult::Unbound => Ok(String::new()),
        ResolveResult::Unknown(prefix) => Err(format!("prefix {} is not declared", prefix)),
    }
}

/// Builds an element from its start tag.
fn element_from_tag(reader: &NsReader<&[u8]>, ns: String, tag: &BytesStart) -> Result<Element, String> {
    let mut element = Element { ns, name: tag.local_name().as_ref().to_owned(), ..Element::default() };
    for attr in tag.attributes() {
        let attr = attr.map_err(|e| e.to_string())?;
        if attr.key.as_namespace_binding().is_some() {
            continue;
        }
        let (resolved, name) = reader.resolver().resolve_attribute(attr.key);
        let value = attr.normalized_value(XmlVersion::Implicit1_0).map_err(|e| e.to_string())?.into_owned();
        element.attrs.push((namespace_of(&resolved)?, name.as_ref().to_owned(), value));
    }
    Ok(element)
}

/// Parses a document. The error is a message for the client.
pub fn parse(document: &str) -> Result<Element, String> {
    let mut reader = NsReader::from_str(document);
    let mut open: Vec<Element> = Vec::new();
    loop {
        let (resolved, event) = reader.read_resolved_event().map_err(|e| e.to_string())?;
        let ns = match &event {
            Event::Start(_) | Event::Empty(_) => namespace_of(&resolved)?,
            _ => String::new(),
        };
        let closed = match event {
            Event::Start(tag) if open.len() < MAX_DEPTH => {
                let element = element_from_tag(&reader, ns, &tag)?;
                open.push(element);
                None
            }
            Event::Start(_) => return Err(format!("more than {MAX_DEPTH} elements in each other")),
            Event::Empty(tag) => Some(element_from_tag(&reader, ns, &tag)?),
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
                let replacement = match reference.resolve_char_ref().map_err(|e| e.to_string())? {
                    Some(char) => char.to_string(),
                    None => resolve_xml_entity(name).ok_or(format!("entity {name} is not known"))?.to_owned(),
                };
                open.last_mut().ok_or("an entity outside of the document")?.text.push_str(&replacement);
                None
            }
            // Entity definitions in a document type can expand without limit; RFC 6241, section 3, forbids them.
            Event::DocType(_) => return Err("a document type is not allowed".to_owned()),
            Event::Eof => return Err("the document is cut short".to_owned()),
            Event::Comment(_) | Event::Decl(_) | Event::PI(_) => None,
        };
        if let Some(mut element) = closed {
            element.text = element.text.trim().to_owned();
            match open.last_mut() {
                Some(parent) => parent.children.push(element),
                None => return expect_end(&mut reader).map(|()| element),
            }
        }
    }
}

/// Checks that only white space, comments and processing instructions follow the document element.
fn expect_end(reader: &mut NsReader<&[u8]>) -> Result<(), String> {
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
    /// Creates an element without content.
    pub fn new(ns: &str, name: &str) -> Self {
        Element { ns: ns.to_owned(), name: name.to_owned(), ..Element::default() }
    }

    /// Appends a child element.
    #[must_use]
    pub fn with_child(mut self, child: Element) -> Self {
        self.children.push(child);
        self
    }

    /// Appends a child element of the same namespace that holds text.
    #[must_use]
    pub fn with_text(self, name: &str, value: impl ToString) -> Self {
        let leaf = Element { text: value.to_string(), ..Element::new(&self.ns, name) };
        self.with_child(leaf)
    }

    /// Writes the element, where `outer` is the default namespace already in force.
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
