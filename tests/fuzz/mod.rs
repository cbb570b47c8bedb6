//! Generators of SIP messages that are nearly valid: headers with odd characters, folded lines, missing and repeated
//! fields. All draws come from a seed.
#![allow(dead_code)]

use mallowring::sip::message::Message;
use proptest::collection::vec;
use proptest::prelude::*;
use proptest::sample::{select, Index};

/// Text that header parsers treat specially, and characters of several bytes.
const FRAGMENTS: [&str; 30] = [
    "",
    " ",
    "\t",
    ",",
    ";",
    ":",
    "=",
    "@",
    "<",
    ">",
    "\"",
    "\\",
    "[",
    "]",
    "[::1]",
    "é",
    "漢",
    "🦀",
    "\u{a0}",
    "\u{3000}",
    "\u{85}",
    "z9hG4bK",
    "tag=",
    "branch=",
    "rport",
    "received=1.2.3.4",
    "sip:",
    "0",
    "-1",
    "99999999999999999999",
];
/// Names of headers that the proxy reads, some in compact form, and names that it does not know or accept.
const NAMES: [&str; 28] = [
    "Via",
    "v",
    "From",
    "f",
    "To",
    "t",
    "Call-ID",
    "i",
    "CSeq",
    "Contact",
    "m",
    "Route",
    "Record-Route",
    "Require",
    "Max-Forwards",
    "Expires",
    "Priority",
    "Reason",
    "Retry-After",
    "X-Deadline",
    "X-Tier",
    "X-Tenant",
    "X-Attrs",
    "X-Outcome",
    "X-Gauges",
    "X-Odd",
    "b é",
    "",
];

/// One change of a valid message.
#[derive(Clone, Debug)]
pub enum Mutation {
    /// Continues a header's value on another line, from this character on.
    Fold(Index, Index),
    /// Inserts text into a header's value before this character.
    Insert(Index, Index, String),
    /// Inserts text at the end of a header's value and folds the line before the value.
    FoldWhole(Index, String),
    /// Replaces a header's value.
    Replace(Index, String),
    /// Renames a header.
    Rename(Index, &'static str),
    /// Removes a header.
    Remove(Index),
    /// Repeats a header.
    Repeat(Index),
    /// Adds a header.
    Add(&'static str, String),
    /// Replaces the start-line's address or reason.
    StartLine(String),
    /// Adds text to the body.
    Body(String),
}

/// Odd text.
pub fn text() -> impl Strategy<Value = String> {
    let piece = prop_oneof![2 => select(&FRAGMENTS[..]).prop_map(str::to_owned), 1 => "[a-zA-Z0-9.]{1,9}"];
    vec(piece, 0..7).prop_map(|pieces| pieces.concat())
}

fn mutation() -> impl Strategy<Value = Mutation> {
    let index = any::<Index>;
    prop_oneof![
        3 => (index(), index()).prop_map(|(header, at)| Mutation::Fold(header, at)),
        3 => (index(), index(), text()).prop_map(|(header, at, text)| Mutation::Insert(header, at, text)),
        3 => (index(), text()).prop_map(|(header, text)| Mutation::FoldWhole(header, text)),
        2 => (index(), text()).prop_map(|(header, text)| Mutation::Replace(header, text)),
        1 => (index(), select(&NAMES[..])).prop_map(|(header, name)| Mutation::Rename(header, name)),
        1 => index().prop_map(Mutation::Remove),
        1 => index().prop_map(Mutation::Repeat),
        2 => (select(&NAMES[..]), text()).prop_map(|(name, text)| Mutation::Add(name, text)),
        1 => text().prop_map(Mutation::StartLine),
        1 => text().prop_map(Mutation::Body),
    ]
}

/// The mutations of one message.
pub fn mutations() -> impl Strategy<Value = Vec<Mutation>> {
    vec(mutation(), 0..4)
}

/// The offset of a character chosen by an index, or the end of the text.
fn boundary(text: &str, at: &Index) -> usize {
    let offsets: Vec<usize> = text.char_indices().map(|(ix, _)| ix).chain([text.len()]).collect();
    *at.get(&offsets)
}

/// Applies mutations and serializes the message. Folded lines stay folded, and the body has its true length.
pub fn mutate(message: &Message, mutations: &[Mutation]) -> Vec<u8> {
    let mut message = message.clone();
    for mutation in mutations {
        apply(&mut message, mutation);
    }
    // Line breaks within values make folded lines; `to_bytes` writes values as they are.
    message.to_bytes()
}

fn apply(message: &mut Message, mutation: &Mutation) {
    let headers = &mut message.headers;
    match mutation {
        Mutation::Add(name, text) => headers.push(((*name).to_owned(), text.clone())),
        Mutation::Body(text) => message.body.extend_from_slice(text.as_bytes()),
        Mutation::StartLine(text) => match &mut message.start_line {
            mallowring::sip::message::StartLine::Request { uri, .. } => uri.push_str(text),
            mallowring::sip::message::StartLine::Response { reason, .. } => reason.push_str(text),
        },
        _ if headers.is_empty() => {}
        Mutation::Fold(header, at) => {
            let value = &mut header.get_mut(headers).1;
            value.insert_str(boundary(value, at), "\r\n ");
        }
        Mutation::Insert(header, at, text) => {
            let value = &mut header.get_mut(headers).1;
            value.insert_str(boundary(value, at), text);
        }
        Mutation::FoldWhole(header, text) => {
            let value = &mut header.get_mut(headers).1;
            *value = format!("\r\n {value}{text}");
        }
        Mutation::Replace(header, text) => header.get_mut(headers).1 = text.clone(),
        Mutation::Rename(header, name) => header.get_mut(headers).0 = (*name).to_owned(),
        Mutation::Remove(header) => drop(headers.remove(header.index(headers.len()))),
        Mutation::Repeat(header) => {
            let repeated = header.get(headers).clone();
            headers.push(repeated);
        }
    }
}
