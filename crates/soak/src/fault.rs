//! The faults that a trial can contain.

use std::str::FromStr;

use serde::Serialize;

/// Kind of a fault. On the command line and in JSON it has its kebab-case name.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum FaultKind {
    /// An exchange vanishes with its calls; later discovery removes it, and a new exchange takes its number.
    Vanish,
    /// An exchange is cut off from the network and comes back with its calls.
    CutOff,
    /// The process of an exchange hangs; connections to it are still accepted.
    Hang,
    /// An exchange crashes: its connections are reset, then refused; later another process starts at its address.
    Die,
    /// An exchange crashes and another process runs at its address at once.
    RestartAtOnce,
    /// An exchange vanishes and another process takes its address before discovery reports it.
    ReplaceAtAddress,
    /// An exchange drains, stops and is replaced by a cold one.
    Drain,
    /// An exchange answers late.
    AnswersLate,
    /// An exchange sends every answer twice.
    AnswersTwice,
    /// An exchange sends answers that cannot be parsed.
    AnswersSpoilt,
    /// An exchange reads messages some time after they have arrived.
    ReadsLate,
    /// An exchange writes its messages in fragments.
    Pieces,
    /// An exchange serves new connections late.
    AcceptsLate,
    /// An exchange sends releases on another connection than that of the set-up.
    ReleasesElsewhere,
    /// A system in front of an exchange answers set-ups with 504, and the exchange works on.
    FrontTimeouts,
    /// An exchange answers set-ups with an error, every one twice.
    ErrorAnswers,
    /// Discovery gives start times of a living exchange that go away, go back, or are wrong.
    StartTimes,
    /// Discovery lists an exchange as gone that lives, and later as ready again.
    ListedGone,
    /// An exchange refuses new connections and resets open ones, and its process lives on with its calls.
    RefuseConnects,
    /// The process of an exchange stalls for a moment.
    StallExchange,
    /// All stand-ins of the trial stall for a moment: exchanges, discovery and callers.
    StallTrial,
    /// One connection to an exchange is reset.
    Reset,
    /// One connection to an exchange is closed.
    Close,
    /// One connection to an exchange turns silent.
    SilentConnection,
    /// Nothing that the proxies send arrives at an exchange; the other direction works. Needs the relay.
    CutToExchange,
    /// Nothing that an exchange sends arrives at the proxies; the other direction works. Needs the relay.
    CutFromExchange,
    /// Messages between an exchange and the proxies arrive late. Needs the relay.
    SlowNetwork,
    /// Discovery is down.
    DiscoveryDown,
    /// Discovery accepts connections but sends nothing.
    DiscoverySilent,
    /// Discovery changes its address; the proxies get new configurations in quick succession, one of them invalid.
    DiscoveryMoves,
    /// A proxy gets SIGTERM, and SIGKILL at the earliest allowed moment.
    Terminate,
    /// A proxy gets SIGTERM and no SIGKILL: it runs until its last call is over.
    TerminateOnly,
    /// A proxy gets SIGKILL.
    Kill,
    /// The process of a proxy is stopped and continued (SIGSTOP, SIGCONT).
    Stop,
    /// Callers give up early and repeat the call at once.
    GiveUpEarly,
    /// Callers close their connections and reconnect.
    CallersReturn,
    /// Callers write their set-ups in fragments.
    SlowWriters,
    /// Callers send malformed requests and duplicate Call-IDs.
    BadCallers,
    /// Many connections are opened that never complete a request.
    Crowd,
    /// Clients send set-ups that are turned away to the platform front, hundreds at once.
    Flood,
    /// Clients send set-ups that are turned away to the SIP front, hundreds at once.
    SipFlood,
    /// Clients send OPTIONS requests to the SIP front over UDP, hundreds at once.
    SipOptionsFlood,
    /// Many connections to the SIP front are opened that never send anything.
    SipCrowd,
}

impl FaultKind {
    /// All kinds, in the order in which plans draw from them.
    pub const ALL: [FaultKind; 43] = [
        FaultKind::Vanish,
        FaultKind::CutOff,
        FaultKind::Hang,
        FaultKind::Die,
        FaultKind::RestartAtOnce,
        FaultKind::ReplaceAtAddress,
        FaultKind::Drain,
        FaultKind::AnswersLate,
        FaultKind::AnswersTwice,
        FaultKind::AnswersSpoilt,
        FaultKind::ReadsLate,
        FaultKind::Pieces,
        FaultKind::AcceptsLate,
        FaultKind::ReleasesElsewhere,
        FaultKind::FrontTimeouts,
        FaultKind::ErrorAnswers,
        FaultKind::StartTimes,
        FaultKind::ListedGone,
        FaultKind::RefuseConnects,
        FaultKind::StallExchange,
        FaultKind::StallTrial,
        FaultKind::Reset,
        FaultKind::Close,
        FaultKind::SilentConnection,
        FaultKind::CutToExchange,
        FaultKind::CutFromExchange,
        FaultKind::SlowNetwork,
        FaultKind::DiscoveryDown,
        FaultKind::DiscoverySilent,
        FaultKind::DiscoveryMoves,
        FaultKind::Terminate,
        FaultKind::TerminateOnly,
        FaultKind::Kill,
        FaultKind::Stop,
        FaultKind::GiveUpEarly,
        FaultKind::CallersReturn,
        FaultKind::SlowWriters,
        FaultKind::BadCallers,
        FaultKind::Crowd,
        FaultKind::Flood,
        FaultKind::SipFlood,
        FaultKind::SipOptionsFlood,
        FaultKind::SipCrowd,
    ];

    /// Returns the name of the kind on the command line.
    pub fn name(self) -> &'static str {
        match self {
            FaultKind::Vanish => "vanish",
            FaultKind::CutOff => "cut-off",
            FaultKind::Hang => "hang",
            FaultKind::Die => "die",
            FaultKind::RestartAtOnce => "restart-at-once",
            FaultKind::ReplaceAtAddress => "replace-at-address",
            FaultKind::Drain => "drain",
            FaultKind::AnswersLate => "answers-late",
            FaultKind::AnswersTwice => "answers-twice",
            FaultKind::AnswersSpoilt => "answers-spoilt",
            FaultKind::ReadsLate => "reads-late",
            FaultKind::Pieces => "pieces",
            FaultKind::AcceptsLate => "accepts-late",
            FaultKind::ReleasesElsewhere => "releases-elsewhere",
            FaultKind::FrontTimeouts => "front-timeouts",
            FaultKind::ErrorAnswers => "error-answers",
            FaultKind::StartTimes => "start-times",
            FaultKind::ListedGone => "listed-gone",
            FaultKind::RefuseConnects => "refuse-connects",
            FaultKind::StallExchange => "stall-exchange",
            FaultKind::StallTrial => "stall-trial",
            FaultKind::Reset => "reset",
            FaultKind::Close => "close",
            FaultKind::SilentConnection => "silent-connection",
            FaultKind::CutToExchange => "cut-to-exchange",
            FaultKind::CutFromExchange => "cut-from-exchange",
            FaultKind::SlowNetwork => "slow-network",
            FaultKind::DiscoveryDown => "discovery-down",
            FaultKind::DiscoverySilent => "discovery-silent",
            FaultKind::DiscoveryMoves => "discovery-moves",
            FaultKind::Terminate => "terminate",
            FaultKind::TerminateOnly => "terminate-only",
            FaultKind::Kill => "kill",
            FaultKind::Stop => "stop",
            FaultKind::GiveUpEarly => "give-up-early",
            FaultKind::CallersReturn => "callers-return",
            FaultKind::SlowWriters => "slow-writers",
            FaultKind::BadCallers => "bad-callers",
            FaultKind::Crowd => "crowd",
            FaultKind::Flood => "flood",
            FaultKind::SipFlood => "sip-flood",
            FaultKind::SipOptionsFlood => "sip-options-flood",
            FaultKind::SipCrowd => "sip-crowd",
        }
    }

    /// Returns what the fault affects.
    pub fn target(self) -> Target {
        match self {
            FaultKind::DiscoveryDown | FaultKind::DiscoverySilent | FaultKind::DiscoveryMoves => {
                Target::Discovery
            }
            FaultKind::Terminate
            | FaultKind::TerminateOnly
            | FaultKind::Kill
            | FaultKind::Stop
            | FaultKind::GiveUpEarly
            | FaultKind::CallersReturn
            | FaultKind::SlowWriters
            | FaultKind::BadCallers
            | FaultKind::Crowd
            | FaultKind::Flood
            | FaultKind::SipFlood
            | FaultKind::SipOptionsFlood
            | FaultKind::SipCrowd => Target::Proxy,
            FaultKind::StallTrial => Target::Trial,
            _ => Target::Exchange,
        }
    }

    /// Returns whether the fault is one of the relay between the proxies and an exchange.
    pub fn needs_relay(self) -> bool {
        matches!(self, FaultKind::CutToExchange | FaultKind::CutFromExchange | FaultKind::SlowNetwork)
    }

    /// Returns whether the fault is one of the SIP front.
    pub fn needs_sip(self) -> bool {
        matches!(self, FaultKind::SipFlood | FaultKind::SipOptionsFlood | FaultKind::SipCrowd)
    }

    /// Returns the shortest and the longest duration, in seconds.
    pub fn duration_range_s(self) -> (f64, f64) {
        match self {
            FaultKind::Vanish => (4.0, 14.0),
            FaultKind::CutOff | FaultKind::CutToExchange | FaultKind::CutFromExchange => (0.3, 6.0),
            // Final answers up to half a second late are no breach (STANDING, 'The whole fleet').
            FaultKind::Stop => (0.05, 0.4),
            FaultKind::Hang => (0.3, 12.0),
            FaultKind::StallExchange | FaultKind::StallTrial => (0.2, 0.6),
            FaultKind::ListedGone => (0.5, 4.0),
            FaultKind::RefuseConnects => (0.2, 3.0),
            FaultKind::Die | FaultKind::ReplaceAtAddress => (0.2, 4.0),
            FaultKind::Drain => (1.0, 4.0),
            FaultKind::DiscoveryDown | FaultKind::DiscoverySilent => (1.0, 9.0),
            FaultKind::RestartAtOnce
            | FaultKind::Reset
            | FaultKind::Close
            | FaultKind::DiscoveryMoves
            | FaultKind::Kill
            | FaultKind::Terminate
            | FaultKind::TerminateOnly => (0.1, 0.5),
            FaultKind::SilentConnection => (1.0, 6.0),
            FaultKind::SipFlood => (3.0, 5.0),
            _ => (1.0, 5.0),
        }
    }
}

/// What a fault affects.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Target {
    /// One exchange.
    Exchange,
    /// One proxy or its callers.
    Proxy,
    /// The discovery services of all proxies.
    Discovery,
    /// All stand-ins of the trial.
    Trial,
}

impl FromStr for FaultKind {
    type Err = String;

    fn from_str(name: &str) -> Result<FaultKind, String> {
        let kind = FaultKind::ALL.into_iter().find(|kind| kind.name() == name);
        kind.ok_or_else(|| format!("unknown fault '{name}'; list-faults prints the known ones"))
    }
}
