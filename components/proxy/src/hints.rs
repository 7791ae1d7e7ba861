//! Load hints and times that a guard sends to the entry daemon in the head of an answer. Placement
//! uses them, and they never reach the caller.

use std::time::Duration;

use http::{HeaderMap, HeaderName, HeaderValue};
use sk_decide::{admitting::AdmitFigures, transit_time::ClockId};

use crate::{
    clock::{clock_id, transit_now, whole_micros},
    header_translation::is_set,
    headers::{LEAVING_HEADER, read_number},
};

/// Microseconds from admission to the head of the answer, plus those in which an upload arrived
/// over the guard's link.
const SERVICE_TIME_HEADER: HeaderName = HeaderName::from_static("x-sapphirekeel-ran-us");
/// Microseconds from the arrival at the guard to the head of its answer.
const GUARD_TIME_HEADER: HeaderName = HeaderName::from_static("x-sapphirekeel-held-us");
/// The guard's load in percent when it answered: a hint for placement, because each entry daemon
/// counts only its own requests at an endpoint. It is the guard's own count and not the server's
/// report, so the server cannot distort it, but it is outdated by the transit back.
const LOAD_HEADER: HeaderName = HeaderName::from_static("x-sapphirekeel-load");
/// Microseconds that a request would wait for a slot.
const WAIT_HEADER: HeaderName = HeaderName::from_static("x-sapphirekeel-wait-us");
/// Failure rate of the server's last requests, in thousandths. The guard sees all of them; each
/// entry daemon would have to lose some of its own to find out.
const FAILURE_HEADER: HeaderName = HeaderName::from_static("x-sapphirekeel-failing");
/// The guard's clock: its identifier, a space, and its time in microseconds when it answered.
const CLOCK_HEADER: HeaderName = HeaderName::from_static("x-sapphirekeel-clock");
/// Figures that a refusal was based on, for the log of the entry daemon.
const FIGURES_HEADER: HeaderName = HeaderName::from_static("x-sapphirekeel-figures");

/// Load of a server, as its guard knows it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct ServerHints {
    /// Load in percent: 0 without requests, 100 with all slots taken and the queue half full.
    pub(crate) load: u32,
    /// Time that a request would wait for a slot.
    pub(crate) wait: Duration,
    /// Failure rate of the last requests, in thousandths.
    pub(crate) failure_permille: u32,
    /// Whether the server has stated that it leaves.
    pub(crate) is_leaving: bool,
}

/// The hints found in an answer; an answer from a lower layer has none.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct ReadHints {
    pub(crate) load: Option<u32>,
    pub(crate) wait: Option<Duration>,
    pub(crate) failure_permille: Option<u32>,
    pub(crate) is_leaving: bool,
    /// Time from admission to the head of the answer, plus the time in which an upload arrived
    /// over the guard's link.
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
        if self.is_leaving {
            headers.insert(LEAVING_HEADER, HeaderValue::from_static("1"));
        }
    }
}

impl ReadHints {
    /// Reads the hints of an answer.
    pub(crate) fn read(headers: &HeaderMap) -> Self {
        let number = |name: &HeaderName| u32::try_from(read_number(headers, name)?).ok();
        let time = |name| read_number(headers, name).map(Duration::from_micros);
        Self {
            load: number(&LOAD_HEADER),
            wait: time(&WAIT_HEADER),
            failure_permille: number(&FAILURE_HEADER),
            is_leaving: is_set(headers, &LEAVING_HEADER),
            service_time: time(&SERVICE_TIME_HEADER),
            guard_time: time(&GUARD_TIME_HEADER),
        }
    }
}

/// Writes the service time of a request: the time in which its body arrived over the link, plus the
/// time from admission to the head of the answer. The wait in the queue is not included.
pub(crate) fn write_service_time(headers: &mut HeaderMap, took: Duration) {
    headers.insert(SERVICE_TIME_HEADER, whole_micros(took).into());
}

/// Writes the time that a request spent at the guard.
pub(crate) fn write_guard_time(headers: &mut HeaderMap, took: Duration) {
    headers.insert(GUARD_TIME_HEADER, whole_micros(took).into());
}

/// Writes the time of this daemon's clock, at which the answer leaves.
pub(crate) fn write_clock(headers: &mut HeaderMap) {
    let text = format!("{} {}", clock_id(), whole_micros(transit_now()));
    let text = HeaderValue::from_str(&text).expect("numbers are a valid header value");
    headers.insert(CLOCK_HEADER, text);
}

/// Returns the clock of the guard that sent an answer, and the time at which the answer left by it.
pub(crate) fn read_clock(headers: &HeaderMap) -> Option<(ClockId, Duration)> {
    let (clock, sent_us) = headers.get(CLOCK_HEADER)?.to_str().ok()?.split_once(' ')?;
    Some((clock.parse().ok()?, Duration::from_micros(sent_us.parse().ok()?)))
}

/// Writes the figures that a refusal was based on.
pub(crate) fn write_figures(headers: &mut HeaderMap, figures: &AdmitFigures) {
    let text = HeaderValue::from_str(&figures.to_string());
    headers.insert(FIGURES_HEADER, text.expect("numbers and plain words are a valid header value"));
}

/// Writes the failed calls that a server made for a request.
pub(crate) fn write_failed_calls(headers: &mut HeaderMap, calls: &str) {
    // A service name that is no valid header value is left out, and the log line lacks it.
    if let Ok(text) = HeaderValue::from_str(calls) {
        headers.insert(FIGURES_HEADER, text);
    }
}

/// Returns the figures that a refusal was based on.
pub(crate) fn read_figures(headers: &HeaderMap) -> Option<&str> {
    headers.get(FIGURES_HEADER)?.to_str().ok()
}

/// Removes all hints, which do not concern the caller.
pub(crate) fn strip_hints(headers: &mut HeaderMap) {
    for name in [
        SERVICE_TIME_HEADER,
        GUARD_TIME_HEADER,
        LOAD_HEADER,
        WAIT_HEADER,
        FAILURE_HEADER,
        LEAVING_HEADER,
        CLOCK_HEADER,
        FIGURES_HEADER,
    ] {
        headers.remove(name);
    }
}
