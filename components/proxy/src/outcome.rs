//! Headers by which every answer of a daemon states whether the request ran and why it was
//! refused. Callers and other daemons need this to decide whether a request may be sent again
//! without running twice.

use derive_more::Display;
use http::{HeaderMap, HeaderName, HeaderValue};
use sk_decide::{admitting::RefusalReason, retrying::RunOutcome};

/// Header that carries a [`RequestOutcome`] on every answer.
pub const OUTCOME_HEADER: &str = "x-sapphirekeel-outcome";
/// Header that carries a [`RefusalKind`] on answers made by a daemon.
pub const REASON_HEADER: &str = "x-sapphirekeel-reason";
/// Header with the status that an earlier copy of a request was answered with.
pub const EARLIER_STATUS_HEADER: &str = "x-sapphirekeel-earlier-status";
/// Header with the time until a refused caller may retry, in milliseconds: finer than the standard
/// `Retry-After`, so that retries can be spread within a second.
pub const RETRY_AFTER_MS_HEADER: &str = "x-sapphirekeel-retry-after-ms";

/// Whether a request ran, as far as the answering daemon can know.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum RequestOutcome {
    /// It did not run: no byte of it reached a backend server, or the server reported that it did
    /// not run it.
    #[display("not-run")]
    NotRun,
    /// A backend server answered it.
    #[display("ran")]
    Ran,
    /// It may have reached a backend server whose answer did not come back.
    #[display("unknown")]
    Unknown,
}

impl RequestOutcome {
    /// Returns the header's value.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::NotRun => "not-run",
            Self::Ran => "ran",
            Self::Unknown => "unknown",
        }
    }

    /// Reads the header of an answer.
    pub fn read(headers: &HeaderMap) -> Option<Self> {
        match headers.get(OUTCOME_HEADER)?.as_bytes() {
            b"not-run" => Some(Self::NotRun),
            b"ran" => Some(Self::Ran),
            b"unknown" => Some(Self::Unknown),
            _ => None,
        }
    }

    /// Writes the header of an answer.
    pub(crate) fn write(self, headers: &mut HeaderMap) {
        let name = HeaderName::from_static(OUTCOME_HEADER);
        headers.insert(name, HeaderValue::from_static(self.as_str()));
    }

    /// Converts the outcome for the retry decision; a rejection by the server counts apart.
    pub(crate) fn run_outcome(self, kind: Option<RefusalKind>) -> RunOutcome {
        match self {
            Self::NotRun if kind == Some(RefusalKind::RejectedByServer) => {
                RunOutcome::RejectedByServer
            }
            Self::NotRun => RunOutcome::NotRun,
            Self::Ran => RunOutcome::Ran,
            Self::Unknown => RunOutcome::Unknown,
        }
    }
}

macro_rules! refusal_kinds {
    ($($(#[$doc:meta])* $kind:ident = $text:literal,)*) => {
        /// Why a daemon answers a request itself.
        #[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
        pub enum RefusalKind {
            $($(#[$doc])* $kind,)*
        }

        impl RefusalKind {
            /// All kinds, in the order of their discriminants.
            pub const ALL: &'static [Self] = &[$(Self::$kind,)*];

            /// Returns the header's value.
            pub fn as_str(self) -> &'static str {
                match self {
                    $(Self::$kind => $text,)*
                }
            }
        }
    };
}

refusal_kinds! {
    /// The daemon holds no configuration yet.
    NoConfiguration = "no-configuration",
    /// No route matches.
    NoRoute = "no-route",
    /// The route needs the key of a workspace, and the request has none that is known.
    Unauthenticated = "unauthenticated",
    /// The key is not known here, or may have been taken away, and this daemon cannot tell whether it
    /// holds the newest configuration.
    KeyUnconfirmed = "key-unconfirmed",
    /// The request may be a call that the local server makes for a request that an earlier process of
    /// this daemon has sent to it.
    CallUnconfirmed = "call-unconfirmed",
    /// The workspace has used its allowance.
    AllowanceExceeded = "allowance-exceeded",
    /// The service has no endpoint that takes work.
    NoEndpoint = "no-endpoint",
    /// The request uses a protocol version or method that is not carried.
    NotCarried = "not-carried",
    /// The head or target cannot be read or passed on.
    Malformed = "malformed",
    /// The body is larger than the settings allow.
    TooLarge = "too-large",
    /// The call has taken too many hops; its routes may form a loop.
    HopLimit = "hop-limit",
    /// The guard of the endpoint cannot be reached.
    Unreachable = "unreachable",
    /// The sender is not a daemon of this fleet.
    Unauthorized = "unauthorized",
    /// The intended backend server is no longer beside the guard.
    ServerGone = "server-gone",
    /// The backend server accepts no connection.
    ServerUnreachable = "server-unreachable",
    /// No slot is free at the server, and the sender asked not to queue the request.
    Busy = "busy",
    /// The request would be answered only after its response-time goal.
    GoalMissed = "goal-missed",
    /// The guard's queue is full.
    QueueFull = "queue-full",
    /// The request could not finish in time.
    DeadlineTooNear = "deadline-too-near",
    /// Its team or caller already uses its full share of the queue.
    ShareExceeded = "share-exceeded",
    /// The backend server or the daemon is leaving.
    Draining = "draining",
    /// The queue is full because the server has just started.
    ColdStart = "cold-start",
    /// The limit that the backend server states leaves no room.
    RateLimited = "rate-limited",
    /// The request must run alone, which is not possible now.
    TrialUnderWay = "trial-under-way",
    /// The request crashed servers and is quarantined.
    Quarantined = "quarantined",
    /// Whether a keyed request has already run cannot be determined now.
    ClaimsUnavailable = "claims-unavailable",
    /// An earlier copy of the keyed request ran.
    AlreadyRan = "already-ran",
    /// An earlier copy of the keyed request may be running or have run.
    AlreadyClaimed = "already-claimed",
    /// The deadline passed while the request ran.
    DeadlinePassed = "deadline-passed",
    /// The answer was lost.
    AnswerLost = "answer-lost",
    /// The answer cannot be the server's complete answer to this request.
    AnswerInvalid = "answer-unsound",
    /// The server received the request and reported that it did not run it.
    RejectedByServer = "turned-away",
}

impl RefusalKind {
    /// Reads the header of an answer.
    pub fn read(headers: &HeaderMap) -> Option<Self> {
        let text = headers.get(REASON_HEADER)?.as_bytes();
        Self::ALL.iter().copied().find(|kind| kind.as_str().as_bytes() == text)
    }

    /// Returns whether the endpoint lacked capacity: no slot, no place in its queue, none in time,
    /// or no room in its limit.
    pub(crate) fn is_capacity_refusal(self) -> bool {
        matches!(
            self,
            Self::Busy
                | Self::GoalMissed
                | Self::QueueFull
                | Self::DeadlineTooNear
                | Self::RateLimited
        )
    }

    /// Returns whether the endpoint could not start a request at once that may not queue.
    pub(crate) fn is_search_miss(self) -> bool {
        matches!(self, Self::Busy | Self::RateLimited)
    }

    /// Returns whether another endpoint may decide differently. A quarantined request or a claimed
    /// key is refused everywhere, so an attempt elsewhere would only use up the retry budget.
    pub(crate) fn is_endpoint_specific(self) -> bool {
        !matches!(
            self,
            Self::Quarantined
                | Self::ClaimsUnavailable
                | Self::AlreadyRan
                | Self::AlreadyClaimed
                | Self::DeadlineTooNear
                | Self::HopLimit
                | Self::Malformed
                | Self::TooLarge
        )
    }
}

impl From<RefusalReason> for RefusalKind {
    fn from(reason: RefusalReason) -> Self {
        match reason {
            RefusalReason::Busy => Self::Busy,
            RefusalReason::GoalMissed => Self::GoalMissed,
            RefusalReason::QueueFull => Self::QueueFull,
            RefusalReason::DeadlineTooNear => Self::DeadlineTooNear,
            RefusalReason::ShareExceeded => Self::ShareExceeded,
            RefusalReason::Draining => Self::Draining,
            RefusalReason::ColdStart => Self::ColdStart,
            RefusalReason::RateLimited => Self::RateLimited,
            RefusalReason::TrialUnderWay => Self::TrialUnderWay,
        }
    }
}
