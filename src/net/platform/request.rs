//! Reads the set-ups of the platform's callers.

use std::sync::Arc;

use crate::calls::{Front, Request};
use crate::interface::*;
use crate::sip::message::{Message, StartLine};

/// The longest session description accepted, in bytes: with the headers added, the message to the exchange must stay
/// within the longest message allowed.
const MAX_DESCRIPTION_BYTES: usize = 15 * 1024;

/// Parses and validates a set-up. A set-up that an exchange could not read must not be forwarded: the exchange would
/// close the connection, and with it end the other set-ups pending there.
pub(super) fn parse_request(id: &CallId, message: &Message) -> Result<Request, &'static str> {
    let uri = match &message.start_line {
        StartLine::Request { uri, .. } => uri.as_str(),
        StartLine::Response { .. } => "",
    };
    if id.0.len() != 16 || !id.0.bytes().all(|b| b.is_ascii_hexdigit()) {
        return Err("call id is not 16 hex digits");
    }
    let address = uri.strip_prefix("sip:").ok_or("request address is not a sip: URI")?;
    let number = address.split_once('@').map_or(address, |(number, _)| number);
    let is_allowed = |b: u8| b.is_ascii_alphanumeric() || b"-_.+*#".contains(&b);
    if number.is_empty() || number.len() > 128 || !number.bytes().all(is_allowed) {
        return Err("called number is invalid");
    }
    if message.body.len() > MAX_DESCRIPTION_BYTES {
        return Err("session description is too long");
    }
    let deadline_ms = message.get("X-Deadline").and_then(|v| v.trim().parse::<f64>().ok());
    let deadline_ms = deadline_ms
        .filter(|ms| ms.is_finite() && *ms > 0.0)
        .ok_or("X-Deadline is missing or not a positive number")?;
    let attrs = message.get("X-Attrs").unwrap_or("");
    let attr = |names: [&str; 2]| {
        let mut pairs = attrs.split(';').filter_map(|pair| pair.split_once(':'));
        let value = pairs.find(|(name, _)| names.contains(&name.trim())).map(|(_, value)| value.trim());
        value.map(|v| v.parse::<i64>().map_err(|_| "a value in X-Attrs is not an integer")).transpose()
    };
    let flag = |names| match attr(names)? {
        None | Some(0) => Ok(false),
        Some(1) => Ok(true),
        Some(_) => Err("a flag in X-Attrs is neither 0 nor 1"),
    };
    let dest = attr(["dest", "far_end"])?.ok_or("X-Attrs has no destination")?;
    let width = match attr(["width", "circuits"])? {
        None => 1,
        Some(width) => u32::try_from(width).map_err(|_| "width in X-Attrs is out of range")?,
    };
    Ok(Request {
        id: id.clone(),
        front: Front::Platform,
        class: message.get("X-Tier").unwrap_or("").to_owned(),
        tenant: message.get("X-Tenant").map(str::to_owned),
        ttl: deadline_ms / 1000.0,
        transit: flag(["transit", "midflow"])?,
        hop: attr(["via", "hop"])?.filter(|n| *n != -1).map(ExchangeNumber),
        re_established: flag(["again", "came_back"])?,
        redial: message.get("X-Resent").is_some_and(|v| v.trim() == "1"),
        width,
        dest: ExchangeNumber(dest),
        number: number.to_owned(),
        description: Arc::from(message.body.as_slice()),
        front_bytes: 0,
    })
}
