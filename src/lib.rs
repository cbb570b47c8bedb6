//! A signalling proxy for a private voice network, and its decision module for routing and admission control.
//!
//! One [`Controller`] makes the decisions of one signalling proxy. It does no I/O and reads no clock: its owner passes
//! in each [`interface::Event`] with the time, and carries out the [`interface::Action`]s that the controller appends.
//! Its decisions depend on its settings, its seed and these events only.
//!
//! ```
//! use mallowring::interface::*;
//! use mallowring::Controller;
//!
//! # fn settings() -> Settings {
//! #     let class = Class { name: "call".into(), target: 1.2, give_up_after: 9.0,
//! #         repeat_semantics: RepeatSemantics::Idempotent, duplicate_window: 5.0, worth: 1.0,
//! #         late_worth_share: 0.25, width: 1, mean_holding_time: 10.0, pools: Vec::new() };
//! #     Settings { classes: vec![class], proxies: 2, own_exchange: Some(ExchangeNumber(0)),
//! #         service_kind: ServiceKind::Network, discovery: Discovery::Pushed,
//! #         load_reporting: LoadReporting::Never, release_pause: 0.3, retransmit_after: 0.5,
//! #         retry_after_provided: false, centre_advises: false, cancel_allowed: true,
//! #         probing_allowed: false, peer_messages_allowed: false, cool_down_allowed: false,
//! #         max_cool_down: 0.0, max_attempts: 4, answer_slack: 0.02, poll_interval: 10.0, drain_grace: 0.5,
//! #         cold_share: 0.3, warm_up_time: 13.0, collapse_multiple: 2.5, collapse_time: 1.0,
//! #         probe_cost: 0.0, tick: 0.005 }
//! # }
//! let mut controller = Controller::new(settings(), 42);
//! let mut actions = Vec::new();
//! controller.start(Time(100.0), &mut actions);
//!
//! // The roster contains exchange 1.
//! let far = RosterEntry { id: ExchangeId(71), zone: "north".into(), number: ExchangeNumber(1),
//!     state: ServiceState::InService, weight: 1.0, ready_at: None };
//! let roster = Event::Roster { kind: RosterKind::Full, entries: vec![far] };
//! controller.handle(Time(100.0), roster, &mut actions);
//!
//! // A call to exchange 1 is routed directly.
//! let call = Arrival { id: CallId("c-1".into()), ttl: 3.0, transit: false, hop: None,
//!     re_established: false, width: 1, redial: false, dest: ExchangeNumber(1), class: ClassIndex(0),
//!     number: None };
//! controller.handle(Time(100.1), Event::Arrival(call), &mut actions);
//! assert!(matches!(&actions[..], [Action::Attempt { exchange: ExchangeId(71), .. }]));
//! ```

pub mod admin;
pub mod calls;
pub mod capture;
pub mod config;
pub mod interface;
pub mod limits;
pub mod logic;
pub mod membership;
pub mod net;
mod overload;
pub mod recovery;
pub mod sip;
pub mod telemetry;
pub mod wire;

pub use interface::Tuning;
pub use logic::Controller;
