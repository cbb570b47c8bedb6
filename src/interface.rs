//! The types that go into and come out of the decision module: settings, events, actions and tuning.

use std::ops::{Add, Sub};

use serde::{Deserialize, Serialize};

/// A span of time, in seconds.
pub type Secs = f64;

/// A point in time on the clock of the embedding program, in seconds. The clock may start at any value and never
/// goes back.
#[derive(Clone, Copy, Debug, Default, PartialEq, PartialOrd, Serialize, Deserialize)]
pub struct Time(pub f64);

impl Add<Secs> for Time {
    type Output = Time;
    fn add(self, span: Secs) -> Time {
        Time(self.0 + span)
    }
}

impl Sub for Time {
    type Output = Secs;
    fn sub(self, earlier: Time) -> Secs {
        self.0 - earlier.0
    }
}

/// The id of one running instance of an exchange, or of one pool of agents. The value is opaque: it gives neither
/// the place nor the age of the instance.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ExchangeId(pub u64);

/// The dialled number of an exchange or pool. An instance that replaces another one takes over its number.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ExchangeNumber(pub i64);

/// The id of a call, opaque to the decision module.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct CallId(pub String);

/// The position of a class in [`Settings::classes`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ClassIndex(pub usize);

/// A value that [`Action::Timer`] sets and [`Event::Timer`] returns.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct TimerToken(pub u64);

/// The exchanges among which repeated set-ups of one call are recognised and discarded.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum DuplicateScope {
    /// All exchanges.
    All,
    /// The exchanges of one zone.
    Zone,
    /// The exchanges that share one number.
    Number,
}

/// How exchanges treat a repeated set-up of the same call.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RepeatSemantics {
    /// A repeat does no harm.
    Idempotent,
    /// A repeat is discarded within the scope, for [`Class::duplicate_window`].
    Deduplicated(DuplicateScope),
    /// A repeat would run again: once a set-up may have run, it must be neither repeated nor refused.
    AtMostOnce,
}

/// One class of calls.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Class {
    /// The name, for adapters; no decision depends on it.
    pub name: String,
    /// The time within which a set-up earns its full worth.
    pub target: Secs,
    /// The time from the first attempt after which a caller gives up.
    pub give_up_after: Secs,
    /// How exchanges treat a repeated set-up.
    pub repeat_semantics: RepeatSemantics,
    /// The time for which exchanges discard repeats of a [`RepeatSemantics::Deduplicated`] call.
    pub duplicate_window: Secs,
    /// The worth of an established call, in arbitrary units; classes are compared by it.
    pub worth: f64,
    /// The share of the worth that a set-up earns after the target, 0 to 1.
    pub late_worth_share: f64,
    /// The number of circuits that a call occupies.
    pub width: u32,
    /// The mean holding time of a call.
    pub mean_holding_time: Secs,
    /// With [`ServiceKind::AgentPools`]: the pools that may take the call; empty for all.
    pub pools: Vec<ExchangeNumber>,
}

/// The kind of service that the proxies provide.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ServiceKind {
    /// Exchanges joined by trunk groups.
    Network,
    /// Pools of agents that all proxies share.
    AgentPools,
}

/// How the roster arrives.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Discovery {
    /// Discovery sends it without a request.
    Pushed,
    /// Discovery sends it only after [`Action::Subscribe`] or [`Action::FetchRoster`].
    OnRequest,
}

/// How load reports arrive.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum LoadReporting {
    /// With the results of attempts and of probes.
    Piggybacked,
    /// With the results of probes only.
    ProbesOnly,
    /// Never.
    Never,
}

/// The configuration of one decision module.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Settings {
    /// The classes of calls.
    pub classes: Vec<Class>,
    /// The number of proxies in the fleet.
    pub proxies: u32,
    /// The exchange that this proxy serves; `None` with [`ServiceKind::AgentPools`].
    pub own_exchange: Option<ExchangeNumber>,
    /// The kind of service.
    pub service_kind: ServiceKind,
    /// How the roster arrives.
    pub discovery: Discovery,
    /// How load reports arrive.
    pub load_reporting: LoadReporting,
    /// The pause before the next attempt of a call after a time-out, a reset or a cancel; the exchange releases the
    /// old attempt in this time.
    pub release_pause: Secs,
    /// The time after which an unanswered set-up is retransmitted automatically; 0 for never.
    pub retransmit_after: Secs,
    /// A full processor states how long to wait before the next set-up.
    pub retry_after_provided: bool,
    /// Calls carry the advice of a network management centre.
    pub centre_advises: bool,
    /// [`Action::Cancel`] is allowed.
    pub cancel_allowed: bool,
    /// [`Action::Probe`] is allowed.
    pub probing_allowed: bool,
    /// [`Action::PeerMessage`] is allowed.
    pub peer_messages_allowed: bool,
    /// Callers receive the `cool_down` of [`Action::Refuse`].
    pub cool_down_allowed: bool,
    /// The longest `cool_down` that callers obey.
    pub max_cool_down: Secs,
    /// The maximum number of attempts of one call.
    pub max_attempts: u32,
    /// The time after the deadline of a call within which a final answer still counts.
    pub answer_slack: Secs,
    /// With [`Discovery::OnRequest`]: the longest time between two requests for the roster.
    pub poll_interval: Secs,
    /// The time for which set-ups may still reach an exchange that has started draining.
    pub drain_grace: Secs,
    /// The share of its capacity that a cold exchange has at its start, at the least; 0 to 1.
    pub cold_share: f64,
    /// The time from its start after which an exchange is warm at the latest.
    pub warm_up_time: Secs,
    /// A cold exchange collapses when it receives more than this multiple of its current capacity for
    /// `collapse_time`.
    pub collapse_multiple: f64,
    /// The time for which a cold exchange withstands more than `collapse_multiple`.
    pub collapse_time: Secs,
    /// The cost of one probe for each call.
    pub probe_cost: f64,
    /// The shortest time between two batches of events.
    pub tick: Secs,
}

/// The load of a trunk group and of the processor at its far end. A field is `None` where the report does not
/// contain it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct LoadReport {
    /// Free circuits of the trunk group, or free agents of the pool.
    pub free_circuits: Option<f64>,
    /// Number of circuits of the trunk group, or of agents of the pool.
    pub group_size: Option<f64>,
    /// Messages that the processor is working on.
    pub active_messages: Option<f64>,
    /// Messages in the queue of the processor.
    pub queued_messages: Option<f64>,
    /// Share of the processor that is busy, 0 to 1.
    pub utilization: Option<f64>,
    /// Time that a message waits in the queue of the processor.
    pub queueing_delay: Option<Secs>,
    /// New set-ups a second that the processor can take from all senders together.
    pub set_up_rate: Option<f64>,
    /// Share of new set-ups that the processor asks each sender to withhold, 0 to 1.
    pub requested_reduction: Option<f64>,
}

/// The service state of an exchange on the roster.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum ServiceState {
    /// In service.
    InService,
    /// Draining: it takes no new calls.
    Draining,
    /// Removed from service.
    #[default]
    Removed,
}

/// One entry of the roster.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct RosterEntry {
    /// The id of the exchange.
    pub id: ExchangeId,
    /// The zone in which it runs.
    pub zone: String,
    /// Its number.
    pub number: ExchangeNumber,
    /// Its service state.
    pub state: ServiceState,
    /// Its relative weight among the exchanges.
    pub weight: f64,
    /// The time of its last start; `None` if that was long ago.
    pub ready_at: Option<Time>,
}

/// What a roster message contains.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RosterKind {
    /// Changed entries only.
    Incremental,
    /// The whole roster.
    Full,
    /// The whole roster as stored before a restart; it may be outdated.
    Saved,
    /// Nothing: a request for the roster failed, and the present roster stays in force.
    RequestFailed,
}

/// A request for a call that this proxy has received.
#[derive(Clone, Debug, PartialEq)]
pub struct Arrival {
    /// The id of the call.
    pub id: CallId,
    /// The time for which the caller waits for an answer to this request.
    pub ttl: Secs,
    /// A transit call: another proxy sent it, and it goes on to its destination or is turned back.
    pub transit: bool,
    /// The tandem that the network management centre advises, which had most room at its last survey. For a
    /// transit call: the exchange of origin.
    pub hop: Option<ExchangeNumber>,
    /// The call was cut and its caller sets it up again.
    pub re_established: bool,
    /// The number of circuits that the call occupies.
    pub width: u32,
    /// A redial, where callers mark redials.
    pub redial: bool,
    /// The destination, or the pool of first choice.
    pub dest: ExchangeNumber,
    /// The class of the call.
    pub class: ClassIndex,
    /// The dialled number.
    pub number: Option<String>,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// The call was established and has ended normally.
    Completed,
    /// All lines of the dialled number were busy, or signalling failed.
    Error,
    /// The set-up was refused before it ran.
    Refused,
    /// No answer arrived in time.
    TimedOut,
    /// The connection to the exchange could not be opened.
    ConnectFailed,
    /// The connection broke, or the call was cut.
    Reset,
    /// The proxy cancelled the attempt.
    Cancelled,
    /// The set-up was never sent.
    NotSent,
}

impl Outcome {
    /// The name in metrics.
    pub fn name(self) -> &'static str {
        match self {
            Outcome::Completed => "completed",
            Outcome::Error => "error",
            Outcome::Refused => "refused",
            Outcome::TimedOut => "timed out",
            Outcome::ConnectFailed => "connect failed",
            Outcome::Reset => "reset",
            Outcome::Cancelled => "cancelled",
            Outcome::NotSent => "not sent",
        }
    }
}

/// Why an attempt failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Cause {
    /// The exchange gave no cause.
    Unspecified,
    /// No circuit or agent is free.
    NoCircuit,
    /// The tandem turned the call back.
    Crankback,
    /// The tandem turned the call back because the processor of the destination was full.
    FarProcessorFull,
    /// The processor of the exchange was full. With [`Outcome::NotSent`]: the own processor is down.
    ProcessorFull,
    /// All lines of the dialled number are busy.
    LinesBusy,
}

/// The result of an attempt.
#[derive(Clone, Debug, PartialEq)]
pub struct AttemptResult {
    /// The id of the call.
    pub id: CallId,
    /// The number of the attempt, from 0.
    pub leg: u32,
    /// The exchange that received the set-up.
    pub exchange: ExchangeId,
    /// How the attempt ended.
    pub outcome: Outcome,
    /// The time since the set-up was sent.
    pub elapsed: Secs,
    /// Why it failed.
    pub cause: Cause,
    /// The wait that a full processor asked for.
    pub retry_after: Option<Secs>,
    /// The call is over; no further attempt follows.
    pub concluded: bool,
    /// The exchange has not confirmed the end: the attempt may still be pending there, and no other one may follow.
    pub unconfirmed: bool,
    /// The load report that came with the result.
    pub report: LoadReport,
}

/// An input of the decision module.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// A roster message, or the failure of a request for one.
    Roster {
        /// What the message contains.
        kind: RosterKind,
        /// The entries.
        entries: Vec<RosterEntry>,
    },
    /// A request for a call.
    Arrival(Arrival),
    /// An attempt has ended.
    AttemptEnded(AttemptResult),
    /// The call is established.
    Established {
        /// The id of the call.
        id: CallId,
        /// The number of the attempt, from 0.
        leg: u32,
        /// The exchange that received the set-up.
        exchange: ExchangeId,
        /// The time since the set-up was sent.
        elapsed: Secs,
    },
    /// The caller has given up, or the final answer is overdue.
    Withdrawn(CallId),
    /// A timer has expired.
    Timer(TimerToken),
    /// The result of a probe, or an unsolicited load report after a change of the free circuits to an exchange.
    Status {
        /// The exchange.
        exchange: ExchangeId,
        /// The exchange answered.
        ok: bool,
        /// The time since the probe; 0 for an unsolicited report.
        elapsed: Secs,
        /// The load report.
        report: LoadReport,
    },
    /// No more load reports arrive from this exchange, and the last one is out of date.
    StatusLost(ExchangeId),
    /// A message from another proxy.
    PeerMessage {
        /// The sender.
        from: u32,
        /// The text.
        text: String,
    },
}

/// Why the decision module refused a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// The destination is the own exchange, or the class is unknown.
    Unroutable,
    /// No exchange with the number of the destination is in service.
    NotInService,
    /// The dialled number is gapped.
    Gapped,
    /// The own processor is overloaded.
    OwnOverload,
    /// The processor of the destination is overloaded.
    FarOverload,
    /// The destination takes no set-up now: sends to it are paused, it does not answer, or it is cold and this
    /// proxy has used its share.
    FarUnavailable,
    /// The own exchange is cold and this proxy has used its share of the set-ups.
    OwnCold,
    /// No usable route has a free circuit.
    NoRoute,
    /// The call has used all its attempts, or no further one could succeed in time.
    Exhausted,
    /// After the result of the last attempt no other route can help: the lines of the number or a processor are
    /// busy.
    Busy,
    /// The last attempt may still be pending at its exchange.
    Unconfirmed,
}

impl Refusal {
    /// The name in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Refusal::Unroutable => "no way",
            Refusal::NotInService => "not in service",
            Refusal::Gapped => "gapped",
            Refusal::OwnOverload => "own overload",
            Refusal::FarOverload => "far overload",
            Refusal::FarUnavailable => "barred",
            Refusal::OwnCold => "own cold",
            Refusal::NoRoute => "no route",
            Refusal::Exhausted => "spent",
            Refusal::Busy => "busy",
            Refusal::Unconfirmed => "attempt unconfirmed",
        }
    }
}

/// An output of the decision module.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send a set-up.
    Attempt {
        /// The id of the call.
        id: CallId,
        /// The exchange to send it to.
        exchange: ExchangeId,
        /// The time at which the attempt is abandoned.
        abandon_at: Time,
    },
    /// Give the final answer: the call is refused.
    Refuse {
        /// The id of the call.
        id: CallId,
        /// The time that the caller is asked to wait before it redials.
        cool_down: Option<Secs>,
        /// The reason, for logs and metrics.
        reason: Refusal,
    },
    /// Give the final answer: the call has failed.
    Fail(CallId),
    /// Cancel an attempt.
    Cancel {
        /// The id of the call.
        id: CallId,
        /// The number of the attempt, from 0.
        leg: u32,
    },
    /// Start a timer.
    Timer {
        /// The time from now until it expires.
        after: Secs,
        /// The value that [`Event::Timer`] returns.
        token: TimerToken,
    },
    /// Probe an exchange.
    Probe(ExchangeId),
    /// Send a message to one proxy or to all.
    PeerMessage {
        /// The receiver; `None` for all.
        to: Option<u32>,
        /// The text, at most 256 bytes.
        text: String,
    },
    /// Subscribe to changes of the roster.
    Subscribe,
    /// Request the whole roster once.
    FetchRoster,
    /// Write a line to the log.
    Log(String),
}

/// Thresholds, pauses and weights of [`crate::Controller`]. `src/logic.rs` sets the defaults; simulation scenarios
/// and candidates can override them.
///
/// Fields whose names contain `aims` or `onset` count in multiples of the shortest `target` of the classes, so that
/// one set of values fits slow and fast services. "Onset 1" is the onset threshold of overload level 1, as a wait at
/// the processor; the onset doubles with each further level.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[cfg_attr(feature = "schema", derive(schemars::JsonSchema))]
#[serde(default, deny_unknown_fields)]
pub struct Tuning {
    /// Onset 1 as a queue length in set-ups, measured like the depth in section 3.3 of the paper whose procedure
    /// `crates/lab/src/study/paper.rs` implements.
    pub depth: f64,
    /// Lower bound of onset 1, in multiples of the shortest target.
    pub onset_min: f64,
    /// Upper bound of onset 1, in multiples of the shortest target.
    pub onset_max: f64,
    /// Abatement threshold of each level, as a share of its onset. It exceeds 0.5, so that the abatement threshold
    /// of a level lies above the onset of the level below.
    pub abate: f64,
    /// Share of normal first set-ups that levels 0 to 4 refuse, 0 to 1. Urgent set-ups are refused at level 4 only.
    pub refused: [f64; 5],
    /// Time without a new observation after which the overload level of the own processor drops by one, in
    /// multiples of the shortest target. Every call of this proxy is an observation.
    pub quiet_aims: f64,
    /// The same for the processor of another exchange; in a large fleet this proxy observes it only every few
    /// seconds.
    pub far_quiet_aims: f64,
    /// Share of this proxy's unanswered set-ups that is assumed to wait at the own processor, 0 to 1.
    #[serde(rename = "own_part")]
    pub own_processor_share: f64,
    /// Shortest time between two probes of the own processor where probes are allowed, in multiples of the
    /// shortest target.
    pub probe_aims: f64,
    /// Wait that a failed probe stands for, in multiples of onset 1: the processor had no time even for a trivial
    /// message.
    pub probe_failed: f64,
    /// Time for which measured delays and load reports count, in multiples of the shortest target.
    pub fresh_aims: f64,
    /// Time constant of the running mean of the call rate at this proxy, in seconds.
    pub traffic_span: Secs,
    /// Longest gap for a number whose lines stay busy, in multiples of the shortest target.
    pub gap_aims: f64,
    /// Cool-down of a refused caller, in multiples of the shortest target: long enough for a level to drop, and
    /// short enough for a first redial to arrive in time.
    pub cool_down_aims: f64,
    /// Pause of sends to an exchange after it reported a full processor, in seconds. That answer is older than the
    /// end of the overload.
    pub full_pause: Secs,
    /// Pause of sends to an exchange after it refused a set-up for any cause, in seconds.
    pub refused_pause: Secs,
    /// Lowest weight of a tandem, 0 to 1. Most tandems have no free circuit to the destination, and the more
    /// tandems there are, the less is known of each.
    #[serde(rename = "floor")]
    pub min_tandem_weight: f64,
    /// Share of the difference to 1 that the weight of a tandem gains on success, 0 to 1.
    #[serde(rename = "raise")]
    pub tandem_weight_gain: f64,
    /// Factor that reduces the weight of a tandem on crankback or silence, 0 to 1.
    #[serde(rename = "lower")]
    pub tandem_weight_loss_factor: f64,
    /// Factor of the weight of the advised tandem, multiplied by the number of candidates.
    #[serde(rename = "advised")]
    pub advised_tandem_factor: f64,
    /// Trunk reservation: circuits that transit calls, redials and calls over a tandem leave free, as a multiple of
    /// the square root of the group size.
    pub reserve: f64,
    /// Upper bound of the trunk reservation, as a share of the group size: thin groups have no circuits to spare.
    pub most_reserved: f64,
    /// Maximum number of attempts of one call.
    pub most_tries: u32,
}
