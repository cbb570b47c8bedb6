//! Dialogs (RFC 3261, 12), whatever way their messages travel: each request of one may come another way.

use super::header::{self, Hop, Uri};
use super::message::Message;

/// The name of a dialog at one of its ends.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct DialogId {
    /// The Call-ID.
    pub call_id: String,
    /// Our tag.
    pub local_tag: String,
    /// The other end's tag; empty where it gave none, as before RFC 3261.
    pub remote_tag: String,
}

/// One end of a dialog.
#[derive(Clone, Debug, PartialEq)]
pub struct Dialog {
    /// Its name.
    pub id: DialogId,
    local: String,
    remote: String,
    target: String,
    routes: Vec<String>,
    local_cseq: u32,
    remote_cseq: Option<u32>,
    hop: Hop,
}

fn tag_of(message: &Message, name: &str) -> String {
    message.get(name).and_then(header::tag).unwrap_or("").to_owned()
}

/// The values of all Record-Route headers, in order.
fn record_routes(message: &Message) -> Vec<String> {
    let mut routes = Vec::new();
    for (_, value) in message.headers.iter().filter(|(n, _)| n.eq_ignore_ascii_case("Record-Route")) {
        let mut rest = value.as_str();
        while !rest.is_empty() {
            let one = header::first_value(rest);
            routes.push(one.to_owned());
            rest = rest.trim_start()[one.len()..].trim_start().trim_start_matches(',').trim_start();
        }
    }
    routes
}

impl DialogId {
    /// The dialog that a request of the other end belongs to.
    pub fn of_request(request: &Message) -> DialogId {
        DialogId {
            call_id: request.get("Call-ID").unwrap_or("").to_owned(),
            local_tag: tag_of(request, "To"),
            remote_tag: tag_of(request, "From"),
        }
    }
}

impl Dialog {
    /// The dialog that our success to an INVITE begins.
    pub fn as_uas(invite: &Message, local_tag: &str, from: Hop) -> Option<Dialog> {
        let mut id = DialogId::of_request(invite);
        id.local_tag = local_tag.to_owned();
        Some(Dialog {
            local: format!("{};tag={local_tag}", invite.get("To")?),
            remote: invite.get("From")?.to_owned(),
            target: header::addr_spec(invite.get("Contact")?).to_owned(),
            routes: record_routes(invite),
            local_cseq: 0,
            remote_cseq: invite.cseq().map(|(n, _)| n),
            hop: from,
            id,
        })
    }

    /// The dialog that a success to our INVITE begins.
    pub fn as_uac(success: &Message, hop: Hop) -> Option<Dialog> {
        let mut routes = record_routes(success);
        routes.reverse();
        Some(Dialog {
            id: DialogId {
                call_id: success.get("Call-ID")?.to_owned(),
                local_tag: tag_of(success, "From"),
                remote_tag: tag_of(success, "To"),
            },
            local: success.get("From")?.to_owned(),
            remote: success.get("To")?.to_owned(),
            target: header::addr_spec(success.get("Contact")?).to_owned(),
            routes,
            local_cseq: success.cseq()?.0,
            remote_cseq: None,
            hop,
        })
    }

    /// Where our requests go, and the way that the dialog began on, for where no connection can be made.
    pub fn next_hop(&self) -> (Hop, Option<Hop>) {
        let next = self.routes.first().map_or(self.target.as_str(), |route| header::addr_spec(route));
        (Uri::parse(next).and_then(|uri| uri.hop()).unwrap_or(self.hop), Some(self.hop))
    }

    /// Takes the number of a request of the other end; false where it is out of order.
    pub fn accept_cseq(&mut self, request: &Message) -> bool {
        let Some((number, _)) = request.cseq() else { return false };
        let in_order = self.remote_cseq.is_none_or(|last| number > last);
        if in_order {
            self.remote_cseq = Some(number);
        }
        in_order
    }

    /// Our next request.
    pub fn next_request(&mut self, method: &str, via: &str) -> Message {
        self.local_cseq += 1;
        self.numbered(method, via, self.local_cseq)
    }

    /// The ACK of the success that began it; its number is the INVITE's.
    pub fn ack(&self, success: &Message, via: &str) -> Message {
        self.numbered("ACK", via, success.cseq().map_or(1, |(n, _)| n))
    }

    fn numbered(&self, method: &str, via: &str, number: u32) -> Message {
        let mut message = Message::request(method, &self.target).with("Via", via).with("Max-Forwards", 70);
        for route in &self.routes {
            message = message.with("Route", route);
        }
        let message = message.with("From", &self.local).with("To", &self.remote);
        message.with("Call-ID", &self.id.call_id).with("CSeq", format_args!("{number} {method}"))
    }
}
