//! What goes in and out of the decision module: settings, events, actions. Types only.

use std::ops::{Add, Sub};

use serde::{Deserialize, Serialize};

/// A span of time in seconds.
pub type Secs = f64;

/// A point on the caller's clock, in seconds. The clock starts anywhere and only advances.
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

/// The id of an office (an exchange's processor, or a pool). It tells nothing of place or age.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ExchangeId(pub u64);

/// The number of an exchange or pool; an office that takes another's place keeps its number.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ExchangeNumber(pub i64);

/// The id of a call, given back unchanged.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct CallId(pub String);

/// The position of a class in [`Settings::classes`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ClassIndex(pub usize);

/// A value chosen with [`Action::Timer`] and given back by [`Event::Timer`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct TimerToken(pub u64);

/// Where repeats of a guarded call are discarded.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum DuplicateScope {
    /// At every office.
    All,
    /// At the offices of one zone.
    Zone,
    /// At the offices of one number.
    Number,
}

/// What a repeated set-up may do.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RepeatSemantics {
    /// Repeats are harmless.
    Idempotent,
    /// Repeats are discarded within a scope for a while.
    Deduplicated(DuplicateScope),
    /// A set-up that may have run must not be repeated or refused.
    AtMostOnce,
}

/// One class of calls.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Class {
    /// Its name, for the adapter; no decision looks at it.
    pub name: String,
    /// The time within which a set-up earns the full worth.
    pub target: Secs,
    /// How long a caller keeps trying, from the first try.
    pub give_up_after: Secs,
    /// What a repeated set-up may do.
    pub repeat_semantics: RepeatSemantics,
    /// How long repeats of a guarded call are discarded.
    pub duplicate_window: Secs,
    /// The worth of a call that stands.
    pub worth: f64,
    /// The share of the worth when set up after the aim.
    pub late_worth_share: f64,
    /// The circuits a call takes.
    pub width: u32,
    /// The mean length of a call.
    pub mean_holding_time: Secs,
    /// With [`ServiceKind::AgentPools`]: the pools it may go to; empty for all.
    pub pools: Vec<ExchangeNumber>,
}

/// The kind of service.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ServiceKind {
    /// Exchanges joined by trunk groups.
    Network,
    /// Pools of agents shared by all call servers.
    AgentPools,
}

/// How the list of offices arrives.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Discovery {
    /// Unprompted.
    Pushed,
    /// Only after [`Action::Subscribe`] or [`Action::FetchRoster`].
    OnRequest,
}

/// How load reports arrive.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum LoadReporting {
    /// With outcomes and probe results.
    Piggybacked,
    /// With probe results alone.
    ProbesOnly,
    /// Never.
    Never,
}

/// What an instance is told at its start.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Settings {
    /// The classes of call.
    pub classes: Vec<Class>,
    /// The number of call servers.
    pub proxies: u32,
    /// The own exchange; `None` with [`ServiceKind::AgentPools`].
    pub own_exchange: Option<ExchangeNumber>,
    /// The kind of service.
    pub service_kind: ServiceKind,
    /// How the list of offices arrives.
    pub discovery: Discovery,
    /// How load reports arrive.
    pub load_reporting: LoadReporting,
    /// The pause before a call is sent again after a time-out, reset or cancel.
    pub release_pause: Secs,
    /// When a waiting set-up is sent again by itself; 0 for never.
    pub retransmit_after: Secs,
    /// A full processor names a wait.
    pub retry_after_provided: bool,
    /// Calls carry a centre's advice.
    pub centre_advises: bool,
    /// [`Action::Cancel`] is allowed.
    pub cancel_allowed: bool,
    /// [`Action::Probe`] is allowed.
    pub probing_allowed: bool,
    /// [`Action::PeerMessage`] is allowed.
    pub peer_messages_allowed: bool,
    /// Callers are given the `cool_down` of a refusal.
    pub cool_down_allowed: bool,
    /// The longest `cool_down` a caller heeds.
    pub max_cool_down: Secs,
    /// The most attempts of one call.
    pub max_attempts: u32,
    /// How long after the deadline a final answer still counts.
    pub answer_slack: Secs,
    /// With [`Discovery::OnRequest`]: the longest time without asking.
    pub poll_interval: Secs,
    /// The grace for sends to a draining office.
    pub drain_grace: Secs,
    /// A cold office starts at this share of its capacity or above.
    pub cold_share: f64,
    /// It is warm after this time at the latest.
    pub warm_up_time: Secs,
    /// Sent more than this multiple of its present capacity ...
    pub collapse_multiple: f64,
    /// ... for this time, a cold office falls over.
    pub collapse_time: Secs,
    /// The price of one probe a call.
    pub probe_cost: f64,
    /// The shortest time between two batches of events.
    pub tick: Secs,
}

/// What a report says of the trunk group and of the far processor; `None` where it says nothing.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct LoadReport {
    /// Free circuits of the group (free agents of the pool).
    pub free_circuits: Option<f64>,
    /// Size of the group.
    pub group_size: Option<f64>,
    /// Messages in work at the processor.
    pub active_messages: Option<f64>,
    /// Messages waiting there.
    pub queued_messages: Option<f64>,
    /// Share of the processor that is busy.
    pub utilization: Option<f64>,
    /// Wait at the processor.
    pub queueing_delay: Option<Secs>,
    /// New set-ups a second that it can take from all senders.
    pub set_up_rate: Option<f64>,
    /// Share of new set-ups it asks each sender to hold back.
    pub requested_reduction: Option<f64>,
}

/// The condition of an office on the list.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum ServiceState {
    /// In service.
    InService,
    /// Draining: nothing new goes there.
    Draining,
    /// Removed.
    #[default]
    Removed,
}

/// One line of the list of offices.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct RosterEntry {
    /// Its id.
    pub id: ExchangeId,
    /// The zone it is in.
    pub zone: String,
    /// Its number.
    pub number: ExchangeNumber,
    /// Its condition.
    pub state: ServiceState,
    /// A figure for comparison with other offices.
    pub weight: f64,
    /// Its last start; `None` for long ago.
    pub ready_at: Option<Time>,
}

/// The kind of a list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RosterKind {
    /// Changed entries only.
    Incremental,
    /// The whole list.
    Full,
    /// The whole list as last held before a restart, possibly outdated.
    Saved,
    /// A request failed; the list held stays in force.
    RequestFailed,
}

/// A call handed to this call server.
#[derive(Clone, Debug, PartialEq)]
pub struct Arrival {
    /// Its id.
    pub id: CallId,
    /// The time until this try is given up.
    pub ttl: Secs,
    /// It comes from another call server and goes on to its destination or back.
    pub transit: bool,
    /// The tandem with most room at the centre's last look; in transit, the exchange of origin.
    pub hop: Option<ExchangeNumber>,
    /// It was cut and comes again.
    pub re_established: bool,
    /// The circuits it takes.
    pub width: u32,
    /// A repeat by the caller, where callers mark repeats.
    pub redial: bool,
    /// The destination (the pool of first choice).
    pub dest: ExchangeNumber,
    /// Its class.
    pub class: ClassIndex,
    /// The number called.
    pub number: Option<String>,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// The call has ended well.
    Completed,
    /// All lines busy, or a fault in signalling.
    Error,
    /// Turned away before it was set up.
    Refused,
    /// No answer in time.
    TimedOut,
    /// No connection.
    ConnectFailed,
    /// Cut.
    Reset,
    /// Called off.
    Cancelled,
    /// Not sent.
    NotSent,
}

/// Why an attempt was turned away.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Cause {
    /// Nothing was said.
    Unspecified,
    /// No circuit or agent.
    NoCircuit,
    /// Turned back by the tandem.
    Crankback,
    /// Turned back by the tandem since the processor beyond was full.
    FarProcessorFull,
    /// The processor was full (not sent: the own one is down).
    ProcessorFull,
    /// All lines of the number are busy.
    LinesBusy,
}

/// The end of an attempt.
#[derive(Clone, Debug, PartialEq)]
pub struct AttemptResult {
    /// The call.
    pub id: CallId,
    /// The number of the attempt.
    pub leg: u32,
    /// The office it went to.
    pub exchange: ExchangeId,
    /// How it ended.
    pub outcome: Outcome,
    /// The time since it was sent.
    pub elapsed: Secs,
    /// Why it was turned away.
    pub cause: Cause,
    /// The wait named by a full processor.
    pub retry_after: Option<Secs>,
    /// The call is concluded.
    pub concluded: bool,
    /// The report that came along.
    pub report: LoadReport,
}

/// What an instance sees.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// News of the offices.
    Roster {
        /// The kind of list.
        kind: RosterKind,
        /// Its entries.
        entries: Vec<RosterEntry>,
    },
    /// A call.
    Arrival(Arrival),
    /// The end of an attempt.
    AttemptEnded(AttemptResult),
    /// The call stands.
    Established {
        /// The call.
        id: CallId,
        /// The number of the attempt.
        leg: u32,
        /// The office it went to.
        exchange: ExchangeId,
        /// The time since it was sent.
        elapsed: Secs,
    },
    /// The caller has left, or the final answer is overdue.
    Withdrawn(CallId),
    /// A timer has fallen due.
    Timer(TimerToken),
    /// A probe's result, or (unasked) a change of the free circuits toward an office.
    Status {
        /// The office.
        exchange: ExchangeId,
        /// It answered.
        ok: bool,
        /// The time since the probe; 0 where unasked.
        elapsed: Secs,
        /// What it says.
        report: LoadReport,
    },
    /// The state of the trunk group and of the processor of an office is not told any longer: what was is old.
    StatusLost(ExchangeId),
    /// A message from another call server.
    PeerMessage {
        /// The sender.
        from: u32,
        /// What it says.
        text: String,
    },
}

/// Why the module turned a request away.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// It is for the own exchange, or of an unknown class.
    Unroutable,
    /// No exchange of its number is in service.
    NotInService,
    /// The number called is gapped.
    Gapped,
    /// The own processor is overloaded.
    OwnOverload,
    /// The far processor is overloaded.
    FarOverload,
    /// The far exchange is paused, silent, or cold and has had its share.
    FarUnavailable,
    /// The own processor is cold and has had its share.
    OwnCold,
    /// No route has room.
    NoRoute,
    /// No attempt is left, or none could still be useful.
    Exhausted,
    /// What the last attempt met leaves nothing to try: lines or processors are busy.
    Busy,
}

impl Refusal {
    /// Its name in logs and counters.
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
        }
    }
}

/// What an instance does.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send a set-up.
    Attempt {
        /// The call.
        id: CallId,
        /// Where it goes.
        exchange: ExchangeId,
        /// When it is given up.
        abandon_at: Time,
    },
    /// Final answer: turned away.
    Refuse {
        /// The call.
        id: CallId,
        /// How long the caller ought to stay away.
        cool_down: Option<Secs>,
        /// Why, for the log and the counters.
        reason: Refusal,
    },
    /// Final answer: given up.
    Fail(CallId),
    /// Stop waiting for an attempt.
    Cancel {
        /// The call.
        id: CallId,
        /// The number of the attempt.
        leg: u32,
    },
    /// Ask for a timer.
    Timer {
        /// From now.
        after: Secs,
        /// Given back when due.
        token: TimerToken,
    },
    /// Check an office.
    Probe(ExchangeId),
    /// Send a message to one call server, or to all.
    PeerMessage {
        /// To whom; `None` for all.
        to: Option<u32>,
        /// What it says, 256 bytes at most.
        text: String,
    },
    /// Ask for changes of the list from now on.
    Subscribe,
    /// Ask for the whole list once.
    FetchRoster,
    /// A line for the log.
    Log(String),
}

/// Thresholds, pauses and weights of [`crate::Controller`], all relative to the settings; their values are in `src/logic.rs`, and scenarios of the
/// lab may name others. An aim is the shortest `target` of the classes.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[cfg_attr(feature = "schema", derive(schemars::JsonSchema))]
#[serde(default, deny_unknown_fields)]
pub struct Tuning {
    /// Onset of level 1 in set-ups waiting, as the paper counts depth (3.3); each further level doubles.
    pub depth: f64,
    /// The same onset in aims: at least ...
    pub onset_min: f64,
    /// ... and at most.
    pub onset_max: f64,
    /// A level is left below this share of its onset. Over a half, so abate1 < onset1 < abate2 < ...
    pub abate: f64,
    /// Share of normal first set-ups refused at levels 0 to 4; urgent ones are refused at level 4 only.
    pub refused: [f64; 5],
    /// Aims without news after which the own level drops a step: it has news of every call.
    pub quiet_aims: f64,
    /// The same for a far level, which in a large fleet has news only every few seconds.
    pub far_quiet_aims: f64,
    /// Share of our unanswered set-ups that is taken to wait at the own processor.
    pub own_part: f64,
    /// Where probes are allowed the own processor is asked once in this many aims at most.
    pub probe_aims: f64,
    /// A failed probe counts as this many onsets of wait: the processor had no time for the least of work.
    pub probe_failed: f64,
    /// Samples and reports count for this many aims.
    pub fresh_aims: f64,
    /// The traffic here is a mean over this many seconds.
    pub traffic_span: Secs,
    /// A number whose lines stay busy is gapped for this many aims at most.
    pub gap_aims: f64,
    /// A refused caller is asked to stay away for this many aims: long enough for a level to drop, and a first
    /// redial is still in time.
    pub cool_down_aims: f64,
    /// After a full processor sends to it pause for these seconds; the answer is older than its relief.
    pub full_pause: Secs,
    /// The same after any set-up that an exchange turned away.
    pub refused_pause: Secs,
    /// Lowest weight of a tandem: most have no way on, and the more there are the less is known of each.
    pub floor: f64,
    /// Share of the gap to 1 that a tandem's weight wins on success.
    pub raise: f64,
    /// Factor of a tandem's weight on turn-back.
    pub lower: f64,
    /// Factor of the advised tandem's weight, for each other one.
    pub advised: f64,
    /// Circuits kept back from transit and alternative calls, times the square root of the group.
    pub reserve: f64,
    /// The part of a group that they are at most: thin groups have none to spare.
    pub most_reserved: f64,
    /// Most routes tried for one call.
    pub most_tries: u32,
}
