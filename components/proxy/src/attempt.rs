//! Attempts to have a request answered, one after the other.

use std::{sync::Arc, time::Duration};

use http::{Request, Response, StatusCode};
use http_body_util::BodyExt;
use hyper::body::Body;
use sk_decide::{
    deadline::{BODY_GRACE, DescendError},
    placing::{CallOutcome, EndpointId, PlaceRequest, PlacedCall},
    retrying::{FailedAttempt, GiveUpReason, RetryVerdict, RunOutcome, may_retry},
};
use sk_model::WorkClass;
use tokio::time::Instant;

use crate::{
    answer::{keep_answer, lost_answer, own_answer, refuse},
    attempt_log::{AttemptLog, RunningAttempt},
    body::{CheckedBody, ProxyBody},
    call::{AttemptTerms, GuardCall},
    clock::process_now,
    context::{ForwardContext, count_own},
    entry::EntryRequest,
    guard::pass,
    hints::ReadHints,
    outcome::{RefusalKind, RequestOutcome},
    passed::OpenCall,
    peers::PeerError,
    table::{TableEndpoint, TableService},
    tries::TryTarget,
    watched::WatchedBody,
};

/// An attempt without an answer that the caller wants.
struct AttemptFailure {
    response: Response<ProxyBody>,
    outcome: RunOutcome,
    /// Why a daemon refused it, none where a server answered.
    kind: Option<RefusalKind>,
}

enum AttemptEnd {
    Answered(Response<ProxyBody>),
    Failed(AttemptFailure),
}

/// Tries endpoints until one answers or trying on would do harm.
pub(crate) async fn answer_request(
    context: &ForwardContext,
    service: &TableService,
    request: &mut EntryRequest,
    log: &mut AttemptLog,
    deadline: Instant,
) -> Response<ProxyBody> {
    service.budget.record_attempt();
    service.failure_budget.record_attempt();
    let mut last = None;
    loop {
        let Some(placed) = place(service, request, log) else {
            if log.search.begin_queueing() {
                continue;
            }
            log.gave_up = Some(GiveUpReason::NoEndpoint);
            return last.unwrap_or_else(|| count_own(context, refuse(RefusalKind::NoEndpoint)));
        };
        let elapsed = request.began.elapsed();
        let terms = match request.call.descend(elapsed, log.retries) {
            Ok(context) => AttemptTerms { context, elapsed, most_wait: placed.most_wait() },
            Err(err) => return last.unwrap_or_else(|| count_own(context, refuse_descent(err))),
        };
        let (Some(endpoint), Some(body)) =
            (service.endpoints.get(&placed.endpoint()), request.body.take())
        else {
            return last.unwrap_or_else(|| count_own(context, refuse(RefusalKind::NoEndpoint)));
        };
        let id = placed.endpoint();
        let target = TryTarget::new(endpoint);
        log.running = Some(RunningAttempt { target, placed, began: Instant::now() });
        let message = attempt_message(context, request, body, service, endpoint, &terms);
        let response = send(context, endpoint, message).await;
        let hints = ReadHints::read(response.headers());
        log.note(&response, &hints);
        note_hints(service, id, &hints);
        note_size(service, request, &response);
        if RefusalKind::read(response.headers()) == Some(RefusalKind::Busy) {
            let took = log.running.take().map(|running| running.began.elapsed());
            log.search.note_busy(id, took.unwrap_or_default(), request.traits.goal);
            last = Some(response);
            continue;
        }
        log.search.note_tried(id);
        let failure = match judge(context, service, request, log, (response, hints), deadline) {
            AttemptEnd::Answered(response) => return response,
            AttemptEnd::Failed(failure) => failure,
        };
        match next_step(context, service, request, log, &failure) {
            RetryVerdict::GiveUp(reason) => {
                log.gave_up = Some(reason);
                return failure.response;
            }
            RetryVerdict::Move => log.moves += 1,
            RetryVerdict::Retry(wait) => {
                context.counters.count_retry();
                log.retries += 1;
                tokio::time::sleep(wait).await;
            }
        }
        last = match RefusalKind::read(failure.response.headers()) {
            Some(_) => Some(failure.response),
            None => {
                log.kept = keep_answer(failure.response).await;
                None
            }
        };
    }
}

/// Notes what an endpoint's guard says of its load.
fn note_hints(service: &TableService, id: EndpointId, hints: &ReadHints) {
    let now = process_now();
    if let Some(percent) = hints.load {
        service.placement.hint(id, f64::from(percent.min(100)) / 100.0, now);
    }
    if let Some(wait) = hints.wait {
        service.placement.note_wait(id, wait, now);
    }
    if let Some(permille) = hints.failing {
        service.placement.note_failing(id, f64::from(permille) / 1000.0, now);
    }
}

/// Notes how large the answers of a kind of work are, where their length is told.
fn note_size(service: &TableService, request: &EntryRequest, response: &Response<ProxyBody>) {
    if let Some(bytes) =
        response.body().size_hint().exact().filter(|_| response.status().is_success())
    {
        service.placement.note_size(request.traits.work, bytes);
    }
}

fn place(service: &TableService, request: &EntryRequest, log: &AttemptLog) -> Option<PlacedCall> {
    let may_probe = request.traits.is_repeatable && request.body.is_whole();
    let exclude = log.search.excluded();
    let may_queue_at_once = request.traits.class == WorkClass::Long || !request.body.is_whole();
    let wants_slot = log.search.wants_slot(service.placement.settings().order, may_queue_at_once);
    let class = request.traits.class;
    let goal = request.goal_left();
    let work = request.traits.work;
    let bytes = request.body.sample().len() as u64 + service.placement.usual_size(work);
    let wanted =
        PlaceRequest { class, work, bytes, exclude: &exclude, may_probe, wants_slot, goal };
    service.placement.choose(&wanted, process_now(), &mut rand::rng()).ok()
}

fn refuse_descent(err: DescendError) -> Response<ProxyBody> {
    match err {
        DescendError::HopLimit(hops) => {
            log::warn!("proxy: a call has taken {hops} hops, which suggests a loop of routes.");
            refuse(RefusalKind::HopLimit)
        }
        DescendError::Expired(_) => refuse(RefusalKind::DeadlineTooNear),
    }
}

struct AttemptMessage {
    request: Request<ProxyBody>,
    call: GuardCall,
}

fn attempt_message(
    context: &ForwardContext,
    request: &EntryRequest,
    body: ProxyBody,
    service: &TableService,
    endpoint: &TableEndpoint,
    terms: &AttemptTerms,
) -> AttemptMessage {
    let (name, server) = (service.name.clone(), endpoint.server.clone());
    let from = context.own_service.load().as_ref().map(|from| Arc::from(from.as_str()));
    let call = GuardCall::new(name, server, from, terms, &request.traits);
    AttemptMessage { request: request.head().map(|()| body), call }
}

/// Sends an attempt and gives the guard's answer, or one of our own that tells what is known.
async fn send(
    context: &ForwardContext,
    endpoint: &TableEndpoint,
    message: AttemptMessage,
) -> Response<ProxyBody> {
    let AttemptMessage { request, call } = message;
    if endpoint.is_own {
        return pass(Arc::clone(&context.guard), request, call, None).await;
    }
    match context.peers.send(request, call, &endpoint.guard).await {
        Ok(response) => {
            let version = response.version();
            response.map(|body| CheckedBody::new(body, version).boxed_unsync())
        }
        Err(PeerError::Unsent(err)) => {
            log::debug!("proxy: {} cannot be reached: {err}.", endpoint.proxy);
            count_own(context, refuse(RefusalKind::Unreachable))
        }
        Err(PeerError::Lost(err)) => {
            log::debug!("proxy: lost an answer of {}: {err}.", endpoint.proxy);
            let kind = RefusalKind::AnswerLost;
            count_own(context, lost_answer(kind, RequestOutcome::Unknown))
        }
    }
}

/// Reads what an attempt ended in, and lets the endpoint's record know.
fn judge(
    context: &ForwardContext,
    service: &TableService,
    request: &EntryRequest,
    log: &mut AttemptLog,
    (response, hints): (Response<ProxyBody>, ReadHints),
    deadline: Instant,
) -> AttemptEnd {
    let Some(running) = log.running.take() else {
        return AttemptEnd::Answered(response);
    };
    if RefusalKind::read(response.headers()).is_some_and(RefusalKind::is_want_of_room) {
        log.search.note_refused(running.began.elapsed());
    }
    // An answer without the header comes from a layer below the guard, which may have passed it on.
    let outcome = RequestOutcome::read(response.headers()).unwrap_or(RequestOutcome::Unknown);
    let kind = RefusalKind::read(response.headers());
    let end = call_outcome(&response, outcome, kind);
    // The time that the guard measured, so that distance does not count as slowness.
    let latency = hints.ran.unwrap_or_else(|| running.began.elapsed());
    let is_tried_again = request.traits.is_repeatable
        && (is_trouble(response.status()) || may_do_better(service, request, response.status()));
    let is_wanted = outcome == RequestOutcome::Ran && !is_tried_again;
    if is_wanted || kind == Some(RefusalKind::AlreadyRan) {
        let (placed, counters) = (running.placed, context.counters.clone());
        let call = OpenCall { placed, outcome: end, latency, counters };
        let until = Some(deadline + BODY_GRACE);
        let body = |inner| WatchedBody::new(inner, call, until).boxed_unsync();
        return AttemptEnd::Answered(response.map(body));
    }
    if let Some(end) = end {
        running.placed.finish(end, latency, process_now());
    }
    log.may_have_run |= outcome != RequestOutcome::NotRun;
    if outcome != RequestOutcome::NotRun || kind == Some(RefusalKind::TurnedAway) {
        log.arrivals += 1;
    }
    let response = match request.body.has_overrun() {
        true => own_answer(StatusCode::PAYLOAD_TOO_LARGE, outcome, RefusalKind::TooLarge),
        false => response,
    };
    AttemptEnd::Failed(AttemptFailure { response, outcome: outcome.to_run(kind), kind })
}

/// Tells whether a failure that a server answered is worth a further attempt. A server that fails one
/// request of many is sound, and the same request does well at the next one; a caller that gets the failure
/// would have to come back for it.
fn may_do_better(service: &TableService, request: &EntryRequest, status: StatusCode) -> bool {
    status == StatusCode::INTERNAL_SERVER_ERROR
        && service.budget.settings().again_after_failure
        && can_meet_goal(service, request)
        && service.failure_budget.take(process_now())
}

/// Tells whether a further attempt would likely be in time.
fn can_meet_goal(service: &TableService, request: &EntryRequest) -> bool {
    let usual = service.placement.usual_work(request.traits.work, process_now());
    request.goal_left().is_some_and(|goal| usual <= goal)
}

/// Tells what an answer says of the endpoint, or nothing where it speaks of the request alone.
fn call_outcome(
    response: &Response<ProxyBody>,
    outcome: RequestOutcome,
    kind: Option<RefusalKind>,
) -> Option<CallOutcome> {
    match (kind, outcome) {
        (None, RequestOutcome::Ran) => Some(match response.status() {
            // A server that sheds load is loaded, not broken.
            StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS => CallOutcome::Refused,
            status if status.is_server_error() => CallOutcome::Failure,
            _ => CallOutcome::Success,
        }),
        (Some(RefusalKind::Draining), _) => Some(CallOutcome::Leaving),
        // Not final: a server that was paused comes back as the same process.
        (
            Some(
                RefusalKind::ServerGone | RefusalKind::Unreachable | RefusalKind::ServerUnreachable,
            ),
            _,
        ) => Some(CallOutcome::Unreachable),
        (Some(kind), RequestOutcome::NotRun) if !kind.is_local() => None,
        (Some(RefusalKind::AlreadyRan | RefusalKind::AlreadyClaimed), _) => None,
        (_, RequestOutcome::NotRun) => Some(CallOutcome::Refused),
        _ => Some(CallOutcome::Failure),
    }
}

/// Tells whether a server's answer means that it could not do the work now.
fn is_trouble(status: StatusCode) -> bool {
    matches!(
        status,
        StatusCode::BAD_GATEWAY | StatusCode::SERVICE_UNAVAILABLE | StatusCode::GATEWAY_TIMEOUT
    )
}

/// Decides whether there is a next attempt, and when.
fn next_step(
    context: &ForwardContext,
    service: &TableService,
    request: &EntryRequest,
    log: &AttemptLog,
    failure: &AttemptFailure,
) -> RetryVerdict {
    // A server that is too slow for what is left says nothing of a faster one.
    let may_move = failure.kind == Some(RefusalKind::DeadlineTooNear)
        && log.moves < service.budget.settings().free_moves
        && can_meet_goal(service, request);
    if !failure.kind.is_none_or(RefusalKind::is_local) && !may_move {
        return RetryVerdict::GiveUp(GiveUpReason::Final);
    }
    if !request.body.is_whole() {
        return RetryVerdict::GiveUp(GiveUpReason::BodySent);
    }
    if failure.kind.is_some_and(RefusalKind::is_want_of_room)
        && log.search.is_long(request.traits.goal)
    {
        return RetryVerdict::GiveUp(GiveUpReason::RefusedLong);
    }
    if request.max_attempts.is_some_and(|most| log.arrivals >= most) {
        return RetryVerdict::GiveUp(GiveUpReason::ServersSpent);
    }
    let attempt = FailedAttempt {
        outcome: failure.outcome,
        is_repeatable: request.traits.is_repeatable,
        own_retries: log.retries,
        moves: log.moves,
        retried_above: request.call.retried_above,
        remaining: request.left(),
        expected: Duration::ZERO,
    };
    let verdict = may_retry(&attempt, &service.budget, process_now(), &mut rand::rng());
    match verdict {
        RetryVerdict::GiveUp(reason) => {
            context.counters.count_denied();
            service.note_budget(reason == GiveUpReason::BudgetSpent);
        }
        RetryVerdict::Retry(_) => service.note_budget(false),
        RetryVerdict::Move => {}
    }
    verdict
}
