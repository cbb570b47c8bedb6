//! The faults that a trial may hold.

use std::str::FromStr;

use serde::Serialize;

/// A kind of fault, by its name on the command line.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum FaultKind {
    /// An exchange vanishes with its calls; later discovery says that it is gone, and another one takes its number.
    Vanish,
    /// An exchange is cut off for a while and comes back with its calls.
    CutOff,
    /// An exchange hangs for a while; connections to it come up.
    Hang,
    /// An exchange dies: resets, then refusals; later another process is there.
    Die,
    /// An exchange dies and another process is there at once.
    RestartAtOnce,
    /// An exchange vanishes and another process takes its address before discovery tells.
    ReplaceAtAddress,
    /// An exchange drains, stops and is replaced by a cold one.
    Drain,
    /// Answers come late.
    AnswersLate,
    /// Answers come twice.
    AnswersTwice,
    /// Answers can't be read.
    AnswersSpoilt,
    /// What an exchange says comes in pieces.
    Pieces,
    /// Connections to an exchange are served late.
    AcceptsLate,
    /// Releases come on another connection.
    ReleasesElsewhere,
    /// One connection to an exchange is reset.
    Reset,
    /// One connection to an exchange is closed early.
    Close,
    /// One connection to an exchange falls silent.
    SilentConnection,
    /// Discovery is down.
    DiscoveryDown,
    /// Discovery takes connections and says nothing.
    DiscoverySilent,
    /// Discovery moves, by new configurations in quick succession, one of them bad.
    DiscoveryMoves,
    /// A proxy gets SIGTERM, and SIGKILL at the earliest moment.
    Terminate,
    /// A proxy gets SIGKILL.
    Kill,
    /// Callers give up early and ask again at once.
    GiveUpEarly,
    /// Callers close their connections and come back.
    CallersReturn,
    /// Callers write in pieces.
    SlowWriters,
    /// Callers send what makes no sense, and ids twice.
    BadCallers,
    /// A crowd that finishes no request.
    Crowd,
}

impl FaultKind {
    /// All kinds.
    pub const ALL: [FaultKind; 26] = [
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
        FaultKind::Pieces,
        FaultKind::AcceptsLate,
        FaultKind::ReleasesElsewhere,
        FaultKind::Reset,
        FaultKind::Close,
        FaultKind::SilentConnection,
        FaultKind::DiscoveryDown,
        FaultKind::DiscoverySilent,
        FaultKind::DiscoveryMoves,
        FaultKind::Terminate,
        FaultKind::Kill,
        FaultKind::GiveUpEarly,
        FaultKind::CallersReturn,
        FaultKind::SlowWriters,
        FaultKind::BadCallers,
        FaultKind::Crowd,
    ];

    /// Its name.
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
            FaultKind::Pieces => "pieces",
            FaultKind::AcceptsLate => "accepts-late",
            FaultKind::ReleasesElsewhere => "releases-elsewhere",
            FaultKind::Reset => "reset",
            FaultKind::Close => "close",
            FaultKind::SilentConnection => "silent-connection",
            FaultKind::DiscoveryDown => "discovery-down",
            FaultKind::DiscoverySilent => "discovery-silent",
            FaultKind::DiscoveryMoves => "discovery-moves",
            FaultKind::Terminate => "terminate",
            FaultKind::Kill => "kill",
            FaultKind::GiveUpEarly => "give-up-early",
            FaultKind::CallersReturn => "callers-return",
            FaultKind::SlowWriters => "slow-writers",
            FaultKind::BadCallers => "bad-callers",
            FaultKind::Crowd => "crowd",
        }
    }

    /// What it hits.
    pub fn target(self) -> Target {
        match self {
            FaultKind::DiscoveryDown | FaultKind::DiscoverySilent | FaultKind::DiscoveryMoves => {
                Target::Discovery
            }
            FaultKind::Terminate
            | FaultKind::Kill
            | FaultKind::GiveUpEarly
            | FaultKind::CallersReturn
            | FaultKind::SlowWriters
            | FaultKind::BadCallers
            | FaultKind::Crowd => Target::Proxy,
            _ => Target::Exchange,
        }
    }

    /// How long it may last, in seconds, from the shortest to the longest.
    pub fn duration_range_s(self) -> (f64, f64) {
        match self {
            FaultKind::Vanish => (4.0, 14.0),
            FaultKind::CutOff => (0.3, 6.0),
            FaultKind::Hang => (0.3, 12.0),
            FaultKind::Die | FaultKind::ReplaceAtAddress => (0.2, 4.0),
            FaultKind::Drain => (1.0, 4.0),
            FaultKind::DiscoveryDown | FaultKind::DiscoverySilent => (1.0, 9.0),
            FaultKind::RestartAtOnce
            | FaultKind::Reset
            | FaultKind::Close
            | FaultKind::DiscoveryMoves
            | FaultKind::Kill
            | FaultKind::Terminate => (0.1, 0.5),
            FaultKind::SilentConnection => (1.0, 6.0),
            _ => (1.0, 5.0),
        }
    }
}

/// What a fault hits.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Target {
    /// One exchange.
    Exchange,
    /// One proxy, or its callers.
    Proxy,
    /// Discovery, for all proxies.
    Discovery,
}

impl FromStr for FaultKind {
    type Err = String;

    fn from_str(name: &str) -> Result<FaultKind, String> {
        let kind = FaultKind::ALL.into_iter().find(|kind| kind.name() == name);
        kind.ok_or_else(|| format!("unknown fault '{name}'; list-faults prints the known ones"))
    }
}
