//! The limit of requests a second that a server states.

/// What a server states about the requests a second that it takes from all callers together.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum StatedRate {
    /// The server names no limit.
    Unlimited,
    /// Requests a second, finite and not negative.
    PerSecond(f64),
}

impl StatedRate {
    /// Returns the requests that the rate allows in a thousand seconds, `None` without a limit.
    pub fn per_thousand_seconds(self) -> Option<u64> {
        match self {
            Self::Unlimited => None,
            // The cast saturates for rates beyond any server's.
            Self::PerSecond(rate) => Some((rate * 1000.0).round() as u64),
        }
    }
}
