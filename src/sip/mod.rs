//! SIP without sockets: messages, their framing on a stream, transactions and dialogs.

pub mod message;
