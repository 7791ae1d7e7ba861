//! From another daemon to the local backend server, which only this daemon sends to.

use std::{
    sync::{Arc, PoisonError},
    time::Duration,
};

use http::{Request, Response, StatusCode};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use sk_decide::{
    admitting::{GuardRequest, Refusal},
    deadline::GUARD_GRACE,
    quarantine::QuarantineVerdict,
};
use tokio::time::Instant;

use crate::{
    answer::{OwnAnswer, lost_answer, own_answer, refuse, refuse_until},
    body::{CheckedBody, ProxyBody},
    call::GuardCall,
    claim::{ClaimHold, ClaimKey, ClaimVerdict},
    clock::process_now,
    context::GuardContext,
    departure::DepartureNote,
    exchange::{AdmittedRequest, PassStage, send},
    headers::{KEY_HEADER, header_text, strip_hop_headers, strip_own_headers},
    hints::{write_calls, write_figures, write_held},
    outcome::{EARLIER_STATUS_HEADER, RefusalKind, RequestOutcome},
    times::TimeStage,
};

/// Takes one request from another daemon. `accepted_at` is when its connection was accepted, on the
/// clock that trips are measured by.
pub(crate) async fn guard(
    context: Arc<GuardContext>,
    request: Request<Incoming>,
    accepted_at: Duration,
) -> Response<ProxyBody> {
    let (call, late) = match GuardCall::read(request.headers()) {
        _ if !context.token.is_in(request.headers()) => {
            let kind = RefusalKind::Unauthorized;
            context.counters.count_refusal(kind);
            return own_answer(StatusCode::FORBIDDEN, RequestOutcome::NotRun, kind);
        }
        None => {
            let kind = RefusalKind::Malformed;
            return own_answer(StatusCode::BAD_REQUEST, RequestOutcome::NotRun, kind);
        }
        Some(mut call) => {
            let mut clocks = context.trips.lock().unwrap_or_else(PoisonError::into_inner);
            let late = call.arrive(&mut clocks, accepted_at);
            (call, late)
        }
    };
    let version = request.version();
    let request = request.map(|body| CheckedBody::new(body, version).boxed_unsync());
    pass(context, request, call, late).await
}

/// Passes one request to the local backend server, or refuses it as not run.
///
/// Also the way of a request whose endpoint is beside the very daemon that it entered by. `late` is
/// what the call has lost on its way.
pub(crate) async fn pass(
    context: Arc<GuardContext>,
    mut request: Request<ProxyBody>,
    call: GuardCall,
    late: Duration,
) -> Response<ProxyBody> {
    strip_hop_headers(request.headers_mut());
    strip_own_headers(request.headers_mut());
    let attempt = context.words.attempt(request.headers()).cloned();
    let arrived = Instant::now();
    let deadline = context.drain.bound(arrived + call.context().remaining);
    let mut note = DepartureNote::new(attempt, arrived, late);
    let passed = pass_admitted(&context, request, &call, deadline, &mut note.stage);
    let mut response = match context.drain.await_until(deadline, GUARD_GRACE, passed).await {
        Some(response) => response,
        // Dropping the exchange has closed its connection, which tells the server to give up, and
        // a late answer has no way left to any caller.
        None => match note.stage {
            PassStage::Waiting => refuse(RefusalKind::DeadlineTooNear),
            PassStage::Sent | PassStage::Resent => {
                lost_answer(RefusalKind::DeadlinePassed, RequestOutcome::Unknown)
            }
        },
    };
    let attempt = note.end();
    if let Some(kind) = RefusalKind::read(response.headers()) {
        context.counters.count_refusal(kind);
    }
    if response.status().is_server_error()
        && let Some(calls) = context.failed_calls.take(header_text(attempt.as_ref()))
    {
        write_calls(response.headers_mut(), &calls);
    }
    write_held(response.headers_mut(), arrived.elapsed());
    response
}

async fn pass_admitted(
    context: &Arc<GuardContext>,
    request: Request<ProxyBody>,
    call: &GuardCall,
    deadline: Instant,
    stage: &mut PassStage,
) -> Response<ProxyBody> {
    let server = context.servers.guarded(&call.service);
    let Some(server) = server.filter(|server| *server.id == *call.server) else {
        return refuse_until(RefusalKind::ServerGone, Duration::ZERO);
    };
    let alone = match judge_suspect(context, &request, call) {
        QuarantineVerdict::Refused(left) => return refuse_until(RefusalKind::Quarantined, left),
        verdict => verdict == QuarantineVerdict::TryAlone,
    };
    let offer = guard_request(call, deadline, alone);
    let offered_at = Instant::now();
    let admitted = server.gate.admit(&offer).await;
    let (times, waited) = (context.counters.times(), offered_at.elapsed());
    let outcome = if admitted.is_ok() { "admitted" } else { "refused" };
    times.observe(&call.service, outcome, TimeStage::Queue, waited);
    let permit = match admitted {
        Ok(permit) => permit,
        Err(Refusal { reason, retry_after, figures }) => {
            let mut response = refuse_until(server.refusal_kind(reason), retry_after);
            server.hints().write(response.headers_mut());
            if let Some(figures) = figures {
                write_figures(response.headers_mut(), &figures);
            }
            return response;
        }
    };
    let key = claim_key(&request, call);
    let hold = match claim(context, key, deadline).await {
        Ok(hold) => hold,
        Err(response) => return *response,
    };
    let admitted = AdmittedRequest { permit, hold, admitted_at: Instant::now(), deadline };
    send(context, &server, request, call, admitted, stage).await
}

/// Decides how a request may run that was at a server when it died, and tells the log where that is
/// not as any other.
fn judge_suspect(
    context: &GuardContext,
    request: &Request<ProxyBody>,
    call: &GuardCall,
) -> QuarantineVerdict {
    let verdict = context.quarantine.judge(call.fingerprint);
    let attempt = context.words.attempt(request.headers());
    let attempt = header_text(attempt);
    let fingerprint = format_args!("{:x}", call.fingerprint);
    match verdict {
        QuarantineVerdict::Clear => {}
        QuarantineVerdict::TryAlone => log::info!(
            attempt, fingerprint:%;
            "guard: a request was at a server that died and runs alone now."
        ),
        QuarantineVerdict::Refused(left) => log::warn!(
            attempt, fingerprint:%, left_ms = left.as_millis() as u64;
            "guard: a request that crashed servers is refused."
        ),
    }
    verdict
}

fn guard_request(call: &GuardCall, deadline: Instant, alone: bool) -> GuardRequest {
    let left = deadline.saturating_duration_since(Instant::now());
    let now = process_now();
    GuardRequest {
        class: call.class,
        flow: call.flow(),
        deadline: now + left,
        alone,
        goal: call.goal().map(|goal| now + goal),
        rank: call.rank,
        work: call.work,
        most_wait: call.most_wait(),
    }
}

/// Names a request that may run once only and brings a key.
fn claim_key(request: &Request<ProxyBody>, call: &GuardCall) -> Option<ClaimKey> {
    let key = request.headers().get(KEY_HEADER).filter(|_| !call.is_repeatable)?;
    let key = String::from_utf8_lossy(key.as_bytes()).into_owned();
    Some(ClaimKey { service: call.service.clone(), key })
}

async fn claim(
    context: &GuardContext,
    key: Option<ClaimKey>,
    deadline: Instant,
) -> Result<Option<ClaimHold>, OwnAnswer> {
    let Some(key) = key else { return Ok(None) };
    let unavailable = || Box::new(refuse(RefusalKind::ClaimsUnavailable));
    let Some(gate) = &context.claims else { return Err(unavailable()) };
    let verdict = match ClaimHold::claim(gate.clone(), key, deadline.into_std()).await {
        Ok(hold) => return Ok(Some(hold)),
        Err(verdict) => verdict,
    };
    Err(match verdict {
        ClaimVerdict::AlreadyRan { status } => {
            let mut response = lost_answer(RefusalKind::AlreadyRan, RequestOutcome::Ran);
            response.headers_mut().insert(EARLIER_STATUS_HEADER, status.into());
            Box::new(response)
        }
        ClaimVerdict::AlreadyClaimed => {
            Box::new(lost_answer(RefusalKind::AlreadyClaimed, RequestOutcome::Unknown))
        }
        _ => unavailable(),
    })
}
