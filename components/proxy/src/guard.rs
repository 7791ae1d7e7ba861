//! The guard side of the request path: from an entry daemon to the local backend server, which
//! only this daemon sends to. A request is admitted here before the server sees it, so that the
//! server is never given more than its slots, and a request refused here certainly did not run.

use std::{
    sync::{Arc, PoisonError},
    time::Duration,
};

use http::{Request, Response, StatusCode};
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use sk_decide::{
    admitting::{GuardRequest, Refusal},
    deadline::GUARD_GRACE,
    quarantine::QuarantineVerdict,
};
use sk_rollout::{CountedRequest, GuardVerdict};
use tokio::time::Instant;

use crate::{
    abandoned::AbandonLog,
    answer::{DaemonAnswer, daemon_answer, error_answer, refuse, refuse_with_delay},
    body::{CheckedBody, ProxyBody},
    call::GuardCall,
    claim::{ClaimKey, ClaimVerdict, PendingClaim},
    clock::time_since_start,
    context::GuardContext,
    exchange::{AdmittedRequest, SendStage, send},
    gate::AdmitPermit,
    headers::{KEY_HEADER, header_text, strip_hop_headers, strip_own_headers},
    hints::{write_clock, write_failed_calls, write_figures, write_guard_time},
    local::GuardedServer,
    open_requests::OpenBody,
    outcome::{EARLIER_STATUS_HEADER, RefusalKind, RequestOutcome},
    receive::receive_body,
    times::TimeStage,
    transfers::is_large,
    unfinished::{answer_unfinished, read_subject},
};

/// How a request reached this daemon.
#[derive(Clone, Copy, Debug)]
struct CallArrival {
    at: Instant,
    deadline: Instant,
    /// Whether its body arrives over the instance's link.
    is_over_link: bool,
}

/// Handles one request from another daemon. `accepted_at` is when its connection was accepted, on
/// the clock of [`transit_now`](crate::clock::transit_now).
pub(crate) async fn handle_peer_request(
    context: Arc<GuardContext>,
    request: Request<Incoming>,
    accepted_at: Duration,
) -> Response<ProxyBody> {
    let (call, transit_delay) = match GuardCall::read(request.headers()) {
        _ if !context.token.is_in(request.headers()) => {
            let kind = RefusalKind::Unauthorized;
            context.counters.count_refusal(kind);
            return daemon_answer(StatusCode::FORBIDDEN, RequestOutcome::NotRun, kind);
        }
        None if read_subject(request.headers()).is_some() => {
            return answer_unfinished(&context, request).await;
        }
        None => {
            let kind = RefusalKind::Malformed;
            return daemon_answer(StatusCode::BAD_REQUEST, RequestOutcome::NotRun, kind);
        }
        Some(mut call) => {
            let mut clocks = context.transit_clocks.lock().unwrap_or_else(PoisonError::into_inner);
            let transit_delay = call.mark_received(&mut clocks, accepted_at);
            let times = context.counters.times();
            times.observe(&call.service, "received", TimeStage::Transit, transit_delay);
            (call, transit_delay)
        }
    };
    let version = request.version();
    let request = request.map(|body| CheckedBody::new(body, version).boxed_unsync());
    let mut response = forward_to_server(context, request, call, Some(transit_delay)).await;
    write_clock(response.headers_mut());
    response
}

/// Forwards one request to the local backend server, or refuses it as not run.
///
/// Requests whose endpoint is beside their own entry daemon also come here, without a
/// `transit_delay`: this is the time that a call from another daemon was delayed in transit.
pub(crate) async fn forward_to_server(
    context: Arc<GuardContext>,
    mut request: Request<ProxyBody>,
    call: GuardCall,
    transit_delay: Option<Duration>,
) -> Response<ProxyBody> {
    let open_request = context.open_requests.begin();
    strip_hop_headers(request.headers_mut());
    strip_own_headers(request.headers_mut());
    let attempt = context.headers.attempt_id(request.headers()).cloned();
    let at = Instant::now();
    let deadline = context.drain_clock.bound(at + call.context().remaining);
    let arrival = CallArrival { at, deadline, is_over_link: transit_delay.is_some() };
    let mut abandon_log = AbandonLog::new(attempt, at, transit_delay.unwrap_or_default());
    let answer = admit_and_send(&context, request, &call, arrival, &mut abandon_log.stage);
    let mut response = match context.drain_clock.await_until(deadline, GUARD_GRACE, answer).await {
        Some(response) => response,
        // Dropping the exchange has closed its connection, which tells the server to stop, and a
        // late answer can no longer reach any caller.
        None => match abandon_log.stage {
            SendStage::Waiting => refuse(RefusalKind::DeadlineTooNear),
            SendStage::Sent | SendStage::Resent => {
                error_answer(RefusalKind::DeadlinePassed, RequestOutcome::Unknown)
            }
        },
    };
    let attempt = abandon_log.disarm();
    if let Some(kind) = RefusalKind::read(response.headers()) {
        context.counters.count_refusal(kind);
    }
    if response.status().is_server_error()
        && let Some(calls) = context.failed_calls.take(header_text(attempt.as_ref()))
    {
        write_failed_calls(response.headers_mut(), &calls);
    }
    write_guard_time(response.headers_mut(), at.elapsed());
    response.map(|body| OpenBody::new(body, open_request).boxed_unsync())
}

/// Admits a request, claims it if it has a key, and sends it to the server.
async fn admit_and_send(
    context: &Arc<GuardContext>,
    request: Request<ProxyBody>,
    call: &GuardCall,
    arrival: CallArrival,
    stage: &mut SendStage,
) -> Response<ProxyBody> {
    let server = context.servers.guarded(&call.service);
    let Some(server) = server.filter(|server| *server.id == *call.server) else {
        return refuse_with_delay(RefusalKind::ServerGone, Duration::ZERO);
    };
    if let GuardVerdict::Refused = check_version(context, call) {
        return refuse_with_delay(RefusalKind::ServerGone, Duration::ZERO);
    }
    let is_exclusive = match classify_request(context, &request, call) {
        QuarantineVerdict::Refused(remaining) => {
            return refuse_with_delay(RefusalKind::Quarantined, remaining);
        }
        verdict => verdict == QuarantineVerdict::RunAlone,
    };
    let deadline = arrival.deadline;
    let offer = guard_request(call, deadline, is_exclusive);
    let (request, offer) = match arrival.is_over_link && !request.body().is_end_stream() {
        true => match receive_upload(&server, request, offer).await {
            Ok(taken) => taken,
            Err(response) => return *response,
        },
        false => (request, offer),
    };
    let upload_time = arrival.at.elapsed();
    let permit = match admit(context, &server, call, &offer).await {
        Ok(permit) => permit,
        Err(refusal) => return refuse_admission(&server, offer.is_nested, refusal),
    };
    // The version may have been rolled back while the request waited.
    let counter = match check_version(context, call) {
        GuardVerdict::Refused => {
            return refuse_with_delay(RefusalKind::ServerGone, Duration::ZERO);
        }
        GuardVerdict::Counted(counter) => Some(counter),
        GuardVerdict::Unrestricted => None,
    };
    let key = claim_key(&request, call);
    let claim = match claim(context, key, deadline).await {
        Ok(claim) => claim,
        Err(response) => return *response,
    };
    let admitted_at = Instant::now();
    let is_from_here = !arrival.is_over_link;
    let admitted =
        AdmittedRequest { permit, claim, upload_time, admitted_at, deadline, is_from_here };
    let counted = counter.map(|counter| counter.begin(call.work, deadline));
    let response = send(context, &server, request, call, admitted, stage).await;
    if let Some(counted) = counted {
        count_response(counted, &response);
    }
    response
}

/// Returns what the orders say about a request for the version of the local server.
fn check_version(context: &GuardContext, call: &GuardCall) -> GuardVerdict {
    context.rollouts.check_request(&call.service, || {
        context.servers.find(&call.service).map(|server| server.endpoint.version)
    })
}

/// Counts a response for the order that is running.
fn count_response(counted: CountedRequest, response: &Response<ProxyBody>) {
    match RequestOutcome::read(response.headers()) {
        Some(RequestOutcome::NotRun) => counted.cancel(),
        outcome => counted
            .finish(response.status().is_server_error() || outcome != Some(RequestOutcome::Ran)),
    }
}

/// Receives the body of a request, if the request is worth it, and returns the request with the
/// adjusted offer to the gate.
///
/// # Errors
///
/// Returns the refusal of an upload that would not be admitted, or whose body broke off.
async fn receive_upload(
    server: &GuardedServer,
    request: Request<ProxyBody>,
    offer: GuardRequest,
) -> Result<(Request<ProxyBody>, GuardRequest), DaemonAnswer> {
    let is_upload = is_large(request.body());
    if is_upload {
        let considered = server.gate.consider_upload(&offer, &server.upload_transfers.backlog());
        considered
            .map_err(|refusal| Box::new(refuse_admission(server, offer.is_nested, refusal)))?;
    }
    let request = receive_body(request, &server.upload_transfers).await.map_err(|err| {
        log::info!("guard: the body of a request broke off: {err}.");
        Box::new(refuse(RefusalKind::DeadlineTooNear))
    })?;
    // An upload queues here without the limit on its wait, because its bytes would have to be sent
    // again to any other endpoint.
    let max_wait = offer.max_wait.filter(|_| !is_upload);
    Ok((request, GuardRequest { max_wait, ..offer }))
}

/// Waits for the admission of a request and observes how long that took.
///
/// # Errors
///
/// Returns the final [`Refusal`]; the request did not run.
async fn admit(
    context: &GuardContext,
    server: &GuardedServer,
    call: &GuardCall,
    offer: &GuardRequest,
) -> Result<AdmitPermit, Refusal> {
    let offered_at = Instant::now();
    let admitted = server.gate.admit(offer).await;
    let (times, waited) = (context.counters.times(), offered_at.elapsed());
    let outcome = if admitted.is_ok() { "admitted" } else { "refused" };
    times.observe(&call.service, outcome, TimeStage::Queue, waited);
    admitted
}

/// Creates the answer for a refusal by the gate.
pub(crate) fn refuse_admission(
    server: &GuardedServer,
    is_nested: bool,
    refusal: Refusal,
) -> Response<ProxyBody> {
    let Refusal { reason, retry_after, figures } = refusal;
    let mut response = refuse_with_delay(server.refusal_kind(reason), retry_after);
    server.hints(is_nested).write(response.headers_mut());
    if let Some(figures) = figures {
        write_figures(response.headers_mut(), &figures);
    }
    response
}

/// Returns how a request may run that may have crashed a server, and logs it if it is restricted.
fn classify_request(
    context: &GuardContext,
    request: &Request<ProxyBody>,
    call: &GuardCall,
) -> QuarantineVerdict {
    let verdict = context.quarantine.classify(call.fingerprint);
    let attempt = context.headers.attempt_id(request.headers());
    let attempt = header_text(attempt);
    let fingerprint = format_args!("{:x}", call.fingerprint);
    match verdict {
        QuarantineVerdict::Clear => {}
        QuarantineVerdict::RunAlone => log::info!(
            attempt, fingerprint:%;
            "guard: a request that was running on a crashed server is run alone."
        ),
        QuarantineVerdict::Refused(remaining) => log::warn!(
            attempt, fingerprint:%, left_ms = remaining.as_millis() as u64;
            "guard: refused a quarantined request: servers crashed while running it."
        ),
    }
    verdict
}

/// Describes a call for the admission to the gate.
fn guard_request(call: &GuardCall, deadline: Instant, is_exclusive: bool) -> GuardRequest {
    let remaining = deadline.saturating_duration_since(Instant::now());
    let now = time_since_start();
    GuardRequest {
        class: call.class,
        flow: call.flow(),
        deadline: now + remaining,
        is_exclusive,
        goal: call.goal().map(|goal| now + goal),
        rank: call.rank,
        is_nested: call.is_nested,
        work: call.work,
        max_wait: call.max_wait(),
    }
}

/// Returns the claim key of a request that may run only once and has an `Idempotency-Key`.
fn claim_key(request: &Request<ProxyBody>, call: &GuardCall) -> Option<ClaimKey> {
    let key = request.headers().get(KEY_HEADER).filter(|_| !call.is_repeatable)?;
    let key = String::from_utf8_lossy(key.as_bytes()).into_owned();
    Some(ClaimKey { service: call.service.clone(), key })
}

/// Claims a keyed request; `None` if it has no key.
///
/// # Errors
///
/// Returns the answer to a request that may not run, because another copy of it holds the claim or
/// claims are unavailable.
async fn claim(
    context: &GuardContext,
    key: Option<ClaimKey>,
    deadline: Instant,
) -> Result<Option<PendingClaim>, DaemonAnswer> {
    let Some(key) = key else { return Ok(None) };
    let unavailable = || Box::new(refuse(RefusalKind::ClaimsUnavailable));
    let Some(gate) = &context.claims else { return Err(unavailable()) };
    let verdict = match PendingClaim::claim(gate.clone(), key, deadline.into_std()).await {
        Ok(claim) => return Ok(Some(claim)),
        Err(verdict) => verdict,
    };
    Err(match verdict {
        ClaimVerdict::AlreadyRan { status } => {
            let mut response = error_answer(RefusalKind::AlreadyRan, RequestOutcome::Ran);
            response.headers_mut().insert(EARLIER_STATUS_HEADER, status.into());
            Box::new(response)
        }
        ClaimVerdict::AlreadyClaimed => {
            Box::new(error_answer(RefusalKind::AlreadyClaimed, RequestOutcome::Unknown))
        }
        _ => unavailable(),
    })
}
