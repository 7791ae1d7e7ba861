//! What a guard tells the daemon of entry beside the answer itself.

use std::time::Duration;

use http::{HeaderMap, HeaderName, HeaderValue};
use sk_decide::admitting::AdmitFigures;

use crate::{clock::whole_micros, headers::read_number};

/// Microseconds from admission to the head of the answer.
const SERVICE_TIME_HEADER: HeaderName = HeaderName::from_static("x-sapphirekeel-ran-us");
/// Microseconds from the arrival at the guard to the head of its answer.
const GUARD_TIME_HEADER: HeaderName = HeaderName::from_static("x-sapphirekeel-held-us");
/// The guard's load in percent when it answered: a hint for placing, since each entry counts only
/// its own requests at an endpoint. It is the guard's count and not the server's word, so that it
/// cannot mislead, but it lags by the way back.
const LOAD_HEADER: HeaderName = HeaderName::from_static("x-sapphirekeel-load");
/// Microseconds that a request would wait for a slot.
const WAIT_HEADER: HeaderName = HeaderName::from_static("x-sapphirekeel-wait-us");
/// Part of failures among the server's last requests, in thousandths. The guard sees all of them;
/// each entry would have to lose some of its own to find out.
const FAILURE_HEADER: HeaderName = HeaderName::from_static("x-sapphirekeel-failing");
/// What a refusal was decided by, for the log of the daemon of entry.
const FIGURES_HEADER: HeaderName = HeaderName::from_static("x-sapphirekeel-figures");

/// How loaded a server is, as its guard knows it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct ServerHints {
    /// Load in percent: none without requests, a hundred with all slots taken and the queue half
    /// full.
    pub(crate) load: u32,
    /// How long a request would wait for a slot.
    pub(crate) wait: Duration,
    /// Failures among the last requests, in thousandths.
    pub(crate) failure_permille: u32,
}

/// What of it an answer brought; an answer of a lower layer brings nothing.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct ReadHints {
    pub(crate) load: Option<u32>,
    pub(crate) wait: Option<Duration>,
    pub(crate) failure_permille: Option<u32>,
    /// Time from admission to the head of the answer, and that in which an upload came over the guard's
    /// link.
    pub(crate) service_time: Option<Duration>,
    /// Time from the arrival at the guard to the head of its answer.
    pub(crate) guard_time: Option<Duration>,
}

impl ServerHints {
    /// Writes the hints into an answer.
    pub(crate) fn write(&self, headers: &mut HeaderMap) {
        headers.insert(LOAD_HEADER, self.load.into());
        headers.insert(WAIT_HEADER, whole_micros(self.wait).into());
        headers.insert(FAILURE_HEADER, self.failure_permille.into());
    }
}

impl ReadHints {
    /// Reads what an answer brought.
    pub(crate) fn read(headers: &HeaderMap) -> Self {
        let small = |name: &HeaderName| u32::try_from(read_number(headers, name)?).ok();
        let time = |name| read_number(headers, name).map(Duration::from_micros);
        Self {
            load: small(&LOAD_HEADER),
            wait: time(&WAIT_HEADER),
            failure_permille: small(&FAILURE_HEADER),
            service_time: time(&SERVICE_TIME_HEADER),
            guard_time: time(&GUARD_TIME_HEADER),
        }
    }
}

/// Writes how long a request took from the first of its body to the head of its answer.
pub(crate) fn write_service_time(headers: &mut HeaderMap, took: Duration) {
    headers.insert(SERVICE_TIME_HEADER, whole_micros(took).into());
}

/// Writes how long the guard has guard_time a request.
pub(crate) fn write_guard_time(headers: &mut HeaderMap, took: Duration) {
    headers.insert(GUARD_TIME_HEADER, whole_micros(took).into());
}

/// Writes what a refusal was decided by.
pub(crate) fn write_figures(headers: &mut HeaderMap, figures: &AdmitFigures) {
    let text = HeaderValue::from_str(&figures.to_string());
    headers.insert(FIGURES_HEADER, text.expect("numbers and plain words make a header"));
}

/// Writes what became of the calls that a server made for a request.
pub(crate) fn write_failed_calls(headers: &mut HeaderMap, calls: &str) {
    // A service's name that makes no header is left out; the line is poorer by it.
    if let Ok(text) = HeaderValue::from_str(calls) {
        headers.insert(FIGURES_HEADER, text);
    }
}

/// Returns what a refusal was decided by.
pub(crate) fn read_figures(headers: &HeaderMap) -> Option<&str> {
    headers.get(FIGURES_HEADER)?.to_str().ok()
}

/// Removes all hints, which are nothing to the caller.
pub(crate) fn strip_hints(headers: &mut HeaderMap) {
    for name in [
        SERVICE_TIME_HEADER,
        GUARD_TIME_HEADER,
        LOAD_HEADER,
        WAIT_HEADER,
        FAILURE_HEADER,
        FIGURES_HEADER,
    ] {
        headers.remove(name);
    }
}
