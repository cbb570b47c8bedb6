//! Dialogs (RFC 3261, section 12). A dialog does not depend on a transport: each of its requests may arrive
//! over another one.

use super::header::{self, Hop, Uri};
use super::message::Message;

/// The identifier of a dialog as seen by one of its user agents (RFC 3261, section 12).
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct DialogId {
    /// The value of the Call-ID header.
    pub call_id: String,
    /// The tag of this side.
    pub local_tag: String,
    /// The tag of the peer; empty if it sent none, as RFC 2543 allowed.
    pub remote_tag: String,
}

/// The dialog state that one user agent keeps.
#[derive(Clone, Debug, PartialEq)]
pub struct Dialog {
    /// The identifier of the dialog.
    pub id: DialogId,
    local_party: String,
    remote_party: String,
    remote_target: String,
    route_set: Vec<String>,
    local_cseq: u32,
    remote_cseq: Option<u32>,
    initial_hop: Hop,
}

/// Returns the tag of the named header, or an empty string if there is none.
fn tag_of(message: &Message, name: &str) -> String {
    message.get(name).and_then(header::tag).unwrap_or("").to_owned()
}

/// Returns the values of all Record-Route headers in order.
fn record_routes(message: &Message) -> Vec<String> {
    let mut routes = Vec::new();
    for (_, value) in message.headers.iter().filter(|(n, _)| n.eq_ignore_ascii_case("Record-Route")) {
        let mut rest = value.as_str();
        while !rest.trim().is_empty() {
            let (route, others) = header::split_first_value(rest);
            if !route.is_empty() {
                routes.push(route.to_owned());
            }
            rest = others.strip_prefix(',').unwrap_or("");
        }
    }
    routes
}

impl DialogId {
    /// Returns the identifier of the dialog that a request of the peer belongs to.
    pub fn of_request(request: &Message) -> DialogId {
        DialogId {
            call_id: request.get("Call-ID").unwrap_or("").to_owned(),
            local_tag: tag_of(request, "To"),
            remote_tag: tag_of(request, "From"),
        }
    }
}

impl Dialog {
    /// Creates the dialog that a 2xx response to a received INVITE establishes (UAS, RFC 3261, section
    /// 12.1.1).
    pub fn as_uas(invite: &Message, local_tag: &str, source: Hop) -> Option<Dialog> {
        let mut id = DialogId::of_request(invite);
        id.local_tag = local_tag.to_owned();
        Some(Dialog {
            local_party: format!("{};tag={local_tag}", invite.get("To")?),
            remote_party: invite.get("From")?.to_owned(),
            remote_target: header::contact_uri(invite.get("Contact")?)?.to_owned(),
            route_set: record_routes(invite),
            local_cseq: 0,
            remote_cseq: invite.cseq().map(|(n, _)| n),
            initial_hop: source,
            id,
        })
    }

    /// Creates the dialog that a received 2xx response to an INVITE establishes (UAC, RFC 3261, section
    /// 12.1.2).
    pub fn as_uac(success: &Message, initial_hop: Hop) -> Option<Dialog> {
        let mut route_set = record_routes(success);
        route_set.reverse();
        Some(Dialog {
            id: DialogId {
                call_id: success.get("Call-ID")?.to_owned(),
                local_tag: tag_of(success, "From"),
                remote_tag: tag_of(success, "To"),
            },
            local_party: success.get("From")?.to_owned(),
            remote_party: success.get("To")?.to_owned(),
            remote_target: header::contact_uri(success.get("Contact")?)?.to_owned(),
            route_set,
            local_cseq: success.cseq()?.0,
            remote_cseq: None,
            initial_hop,
        })
    }

    /// Returns the next hop of requests in this dialog, and the hop on which the dialog was established as a
    /// fallback for when no connection can be made.
    pub fn next_hop(&self) -> (Hop, Option<Hop>) {
        let next =
            self.route_set.first().map_or(self.remote_target.as_str(), |route| header::addr_spec(route));
        (Uri::parse(next).and_then(|uri| uri.hop()).unwrap_or(self.initial_hop), Some(self.initial_hop))
    }

    /// Records the CSeq number of a request of the peer. Returns false if it is out of order (RFC 3261,
    /// section 12.2.2).
    pub fn accept_cseq(&mut self, request: &Message) -> bool {
        let Some((number, _)) = request.cseq() else { return false };
        let in_order = self.remote_cseq.is_none_or(|last| number > last);
        if in_order {
            self.remote_cseq = Some(number);
        }
        in_order
    }

    /// Creates the next request of this side (RFC 3261, section 12.2.1.1).
    pub fn next_request(&mut self, method: &str, via: &str) -> Message {
        self.local_cseq += 1;
        self.request_with_cseq(method, via, self.local_cseq)
    }

    /// Creates the ACK of the 2xx response that established the dialog. It carries the CSeq number of the
    /// INVITE (RFC 3261, section 13.2.2.4).
    pub fn ack(&self, success: &Message, via: &str) -> Message {
        self.request_with_cseq("ACK", via, success.cseq().map_or(1, |(n, _)| n))
    }

    fn request_with_cseq(&self, method: &str, via: &str, number: u32) -> Message {
        let mut message =
            Message::request(method, &self.remote_target).with("Via", via).with("Max-Forwards", 70);
        for route in &self.route_set {
            message = message.with("Route", route);
        }
        let message = message.with("From", &self.local_party).with("To", &self.remote_party);
        message.with("Call-ID", &self.id.call_id).with("CSeq", format_args!("{number} {method}"))
    }
}
