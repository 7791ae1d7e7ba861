//! Attempts to get a request answered: chooses an endpoint, sends, evaluates the answer and decides
//! on a retry. A request is sent again only if it certainly did not run or may run twice, and,
//! apart from a few moves after attempts that no server accepted, only if the retry budget allows
//! it, so that failures do not multiply the load.

use std::{sync::Arc, time::Duration};

use http::{Request, Response, StatusCode};
use http_body_util::BodyExt;
use hyper::body::Body;
use sk_decide::{
    deadline::{BODY_GRACE, NextHopError},
    placing::{CallOutcome, EndpointId, PlaceRequest, PlacedCall},
    retrying::{FailedAttempt, GiveUpReason, RetryVerdict, RunOutcome, may_retry},
};
use sk_model::WorkClass;
use tokio::time::Instant;

use crate::{
    answer::{buffer_answer, daemon_answer, error_answer, refuse},
    attempt_history::{AttemptHistory, RunningAttempt},
    attempt_record::AttemptTarget,
    body::{CheckedBody, ProxyBody},
    call::{AttemptTerms, GuardCall},
    clock::time_since_start,
    context::{ForwardContext, count_own_refusal},
    division::ServiceDivision,
    entry::EntryRequest,
    entry_answer::EndpointCall,
    expiring_body::ExpiringBody,
    guard::forward_to_server,
    hints::ReadHints,
    outcome::{RefusalKind, RequestOutcome},
    peers::PeerError,
    running_requests::RunningRequest,
    table::{TableEndpoint, TableService},
    tracked_body::TrackedBody,
};

/// An attempt whose answer the caller should not get if another attempt can do better.
struct AttemptFailure {
    response: Response<ProxyBody>,
    outcome: RunOutcome,
    /// Why a daemon refused it; `None` if a server answered.
    kind: Option<RefusalKind>,
}

/// How an attempt ended, for the decision on a further one.
enum AttemptEnd {
    Answered(Response<ProxyBody>),
    Failed(AttemptFailure),
}

/// Tries endpoints until one answers or a further attempt would do harm.
pub(crate) async fn answer_request(
    context: &ForwardContext,
    service: &TableService,
    request: &mut EntryRequest,
    history: &mut AttemptHistory,
    deadline: Instant,
) -> Response<ProxyBody> {
    service.budget.record_attempt();
    service.failure_budget.record_attempt();
    let mut last = None;
    let mut divided = service.division.as_ref().map(ServiceDivision::begin_search);
    loop {
        let placed = match &mut divided {
            Some(divided) => {
                divided.choose(|others| choose_endpoint(service, request, history, others))
            }
            None => choose_endpoint(service, request, history, &[]),
        };
        let Some(placed) = placed else {
            if history.search.begin_queueing() {
                continue;
            }
            history.gave_up = Some(GiveUpReason::NoEndpoint);
            return last
                .unwrap_or_else(|| count_own_refusal(context, refuse(RefusalKind::NoEndpoint)));
        };
        let Some(endpoint) = service.endpoints.get(&placed.endpoint()) else {
            return last
                .unwrap_or_else(|| count_own_refusal(context, refuse(RefusalKind::NoEndpoint)));
        };
        let id = placed.endpoint();
        let left = &context.guard_context.servers.left;
        if left.contains(&endpoint.server) {
            history.search.exclude(id);
            continue;
        }
        let elapsed = request.began.elapsed();
        let call = request.bounded_call(&context.guard_context.drain_clock);
        let terms = match call.next_hop(elapsed, history.retries) {
            Ok(context) => AttemptTerms {
                context,
                goal: request.goal_remaining(),
                max_wait: placed.max_wait(),
            },
            Err(err) => {
                return last.unwrap_or_else(|| count_own_refusal(context, refuse_next_hop(err)));
            }
        };
        let Some(body) = request.body.take() else {
            return last
                .unwrap_or_else(|| count_own_refusal(context, refuse(RefusalKind::NoEndpoint)));
        };
        let target = AttemptTarget::new(endpoint);
        history.running = Some(RunningAttempt { target, placed, began: Instant::now() });
        let message = attempt_message(context, request, body, service, endpoint, &terms);
        let response = send_attempt(context, endpoint, message).await;
        let hints = ReadHints::read(response.headers());
        history.record_answer(&response, &hints);
        record_hints(service, request, id, &hints);
        if hints.is_leaving {
            left.insert(&endpoint.server);
        }
        record_size(service, request, &response);
        let kind = RefusalKind::read(response.headers());
        let is_busy = terms.max_wait.is_some() && kind.is_some_and(RefusalKind::is_search_miss);
        if terms.max_wait.is_some() && request.traits.class == WorkClass::Short {
            service.placement.record_slot_search(is_busy, time_since_start());
        }
        if terms.max_wait.is_none() && history.free_moves > 0 {
            let is_vain = kind.is_some_and(RefusalKind::is_capacity_refusal);
            service.placement.record_move(is_vain, time_since_start());
        }
        if is_busy {
            let took = history.running.take().map(|running| running.began.elapsed());
            let (took, goal) = (took.unwrap_or_default(), request.traits.goal);
            match request.traits.class {
                WorkClass::Short => {
                    history.search.exclude_busy(id, took, goal);
                    last = Some(response);
                }
                WorkClass::Long => {
                    let may_go_on = history.search.exclude_full(id, took, goal);
                    // The refusal of an endpoint at which the request may queue says more.
                    let refusal = last.take().unwrap_or(response);
                    if !may_go_on {
                        history.gave_up = Some(GiveUpReason::NoEndpoint);
                        return refusal;
                    }
                    last = Some(refusal);
                }
            }
            continue;
        }
        history.search.exclude(id);
        let failure = match evaluate_answer(
            context,
            service,
            request,
            history,
            (response, hints),
            deadline,
        ) {
            AttemptEnd::Answered(response) => return response,
            AttemptEnd::Failed(failure) => failure,
        };
        match next_step(context, service, request, history, &failure) {
            RetryVerdict::GiveUp(reason) => {
                history.gave_up = Some(reason);
                return failure.response;
            }
            RetryVerdict::FreeMove => history.free_moves += 1,
            RetryVerdict::Retry(wait) => {
                context.counters.count_retry();
                history.retries += 1;
                tokio::time::sleep(wait).await;
            }
        }
        last = match RefusalKind::read(failure.response.headers()) {
            Some(_) => Some(failure.response),
            None => {
                history.kept_failure = buffer_answer(failure.response).await;
                None
            }
        };
    }
}

/// Passes the guard's hints about an endpoint on to placement.
fn record_hints(service: &TableService, request: &EntryRequest, id: EndpointId, hints: &ReadHints) {
    let now = time_since_start();
    if let Some(percent) = hints.load {
        service.placement.record_load(id, f64::from(percent.min(100)) / 100.0, now);
    }
    if let Some(wait) = hints.wait {
        service.placement.record_wait(id, request.traits.is_nested, wait, now);
    }
    if let Some(permille) = hints.failure_permille {
        service.placement.record_failure_rate(id, f64::from(permille) / 1000.0, now);
    }
}

/// Records the size of an answer for its kind of work, if its length is known.
fn record_size(service: &TableService, request: &EntryRequest, response: &Response<ProxyBody>) {
    if let Some(bytes) =
        response.body().size_hint().exact().filter(|_| response.status().is_success())
    {
        service.placement.record_size(request.traits.work, bytes);
    }
}

/// Chooses an endpoint for the next attempt, none of `others`; `None` if no endpoint is left.
fn choose_endpoint(
    service: &TableService,
    request: &EntryRequest,
    history: &AttemptHistory,
    others: &[EndpointId],
) -> Option<PlacedCall> {
    let may_probe = request.traits.is_repeatable && request.body.is_whole();
    let mut exclude = history.search.excluded();
    exclude.extend_from_slice(others);
    let now = time_since_start();
    let traits = &request.traits;
    let may_queue_at_once = traits.class == WorkClass::Long
        || traits.is_nested
        || !request.body.is_whole()
        || service.placement.is_asking_vain(now);
    let needs_free_slot =
        history.search.needs_free_slot(service.placement.settings().order, may_queue_at_once);
    let (class, work) = (traits.class, traits.work);
    let goal = request.goal_remaining();
    let bytes = request.body.sample().len() as u64 + service.placement.usual_size(work);
    let wanted = PlaceRequest {
        class,
        work,
        bytes,
        exclude: &exclude,
        may_probe,
        needs_free_slot,
        goal,
        is_nested: traits.is_nested,
    };
    service.placement.choose(&wanted, now, &mut rand::rng()).ok()
}

/// Returns the refusal of a call that may not be passed on: too many hops or too little time.
fn refuse_next_hop(err: NextHopError) -> Response<ProxyBody> {
    match err {
        NextHopError::HopLimit(hops) => {
            log::warn!("proxy: a call has taken {hops} hops; the routes may form a loop.");
            refuse(RefusalKind::HopLimit)
        }
        NextHopError::Expired(_) => refuse(RefusalKind::DeadlineTooNear),
    }
}

/// The request of one attempt, with what the guard is told about it.
struct AttemptMessage {
    request: Request<ProxyBody>,
    call: GuardCall,
}

/// Builds the message of one attempt at an endpoint.
fn attempt_message(
    context: &ForwardContext,
    request: &EntryRequest,
    body: ProxyBody,
    service: &TableService,
    endpoint: &TableEndpoint,
    terms: &AttemptTerms,
) -> AttemptMessage {
    let (name, server) = (service.name.clone(), endpoint.server.clone());
    let from = context.local_service.load().as_ref().map(|from| Arc::from(from.as_str()));
    let workspace = request.workspace.as_ref().map(|workspace| workspace.name.clone());
    let call = GuardCall::new(name, server, from, workspace, terms, &request.traits);
    AttemptMessage { request: request.head().map(|()| body), call }
}

/// Sends an attempt and returns the guard's answer, or one made here that states what is known.
async fn send_attempt(
    context: &ForwardContext,
    endpoint: &TableEndpoint,
    message: AttemptMessage,
) -> Response<ProxyBody> {
    let AttemptMessage { request, call } = message;
    if endpoint.is_own {
        return forward_to_server(Arc::clone(&context.guard_context), request, call, None).await;
    }
    let deadline = Instant::now() + call.context().remaining;
    let attempt = context.headers.attempt_id(request.headers()).and_then(|id| id.to_str().ok());
    let running = &context.guard_context.running;
    let running = attempt.map(|id| running.begin_at(&endpoint.proxy, id, deadline));
    match context.peers.send(request, call, &endpoint.guard).await {
        Ok(response) => {
            let version = response.version();
            let response = response.map(|body| CheckedBody::new(body, version).boxed_unsync());
            track_answer(response, running)
        }
        Err(PeerError::Unsent(err)) => {
            if let Some(running) = running {
                running.end();
            }
            log::debug!("proxy: daemon {} cannot be reached: {err}.", endpoint.proxy);
            count_own_refusal(context, refuse(RefusalKind::Unreachable))
        }
        Err(PeerError::Lost(err)) => {
            log::debug!(
                "proxy: connection to daemon {} failed before the answer: {err}.",
                endpoint.proxy
            );
            let kind = RefusalKind::AnswerLost;
            count_own_refusal(context, error_answer(kind, RequestOutcome::Unknown))
        }
    }
}

/// Keeps an attempt for its guard until its answer has ended. Where a daemon answers in place of the
/// server, and cannot say that nothing ran, the server may work on.
fn track_answer(
    response: Response<ProxyBody>,
    running: Option<RunningRequest>,
) -> Response<ProxyBody> {
    let Some(running) = running else { return response };
    let outcome = RequestOutcome::read(response.headers());
    match outcome {
        Some(RequestOutcome::NotRun) => {
            running.end();
            response
        }
        Some(RequestOutcome::Ran) if RefusalKind::read(response.headers()).is_none() => {
            response.map(|body| TrackedBody::new(body, running).boxed_unsync())
        }
        _ => response,
    }
}

/// Evaluates the answer to an attempt and reports it to the endpoint's placement record.
fn evaluate_answer(
    context: &ForwardContext,
    service: &TableService,
    request: &EntryRequest,
    history: &mut AttemptHistory,
    (response, hints): (Response<ProxyBody>, ReadHints),
    deadline: Instant,
) -> AttemptEnd {
    let Some(running) = history.running.take() else {
        return AttemptEnd::Answered(response);
    };
    if RefusalKind::read(response.headers()).is_some_and(RefusalKind::is_capacity_refusal) {
        history.search.add_refusal_time(running.began.elapsed());
    }
    // An answer without the header comes from a layer below the guard, which may have passed the
    // request on.
    let outcome = RequestOutcome::read(response.headers()).unwrap_or(RequestOutcome::Unknown);
    let kind = RefusalKind::read(response.headers());
    let end = call_outcome(&response, outcome, kind);
    // The time measured by the guard, so that distance does not count as slowness.
    let latency = hints.service_time.unwrap_or_else(|| running.began.elapsed());
    let is_retried = request.traits.is_repeatable
        && (is_unavailable(response.status())
            || is_worth_retrying(service, request, response.status()));
    let is_wanted = outcome == RequestOutcome::Ran && !is_retried;
    if is_wanted || kind == Some(RefusalKind::AlreadyRan) {
        let (placed, counters) = (running.placed, context.counters.clone());
        let call = EndpointCall { placed, outcome: end, latency, counters };
        let until = deadline + BODY_GRACE;
        let body = |inner| ExpiringBody::new(TrackedBody::new(inner, call), until).boxed_unsync();
        return AttemptEnd::Answered(response.map(body));
    }
    if let Some(end) = end {
        running.placed.finish(end, latency, time_since_start());
    }
    history.may_have_run |= outcome != RequestOutcome::NotRun;
    if outcome != RequestOutcome::NotRun || kind == Some(RefusalKind::RejectedByServer) {
        history.server_attempts += 1;
    }
    let response = match request.body.is_over_limit() {
        true => daemon_answer(StatusCode::PAYLOAD_TOO_LARGE, outcome, RefusalKind::TooLarge),
        false => response,
    };
    AttemptEnd::Failed(AttemptFailure { response, outcome: outcome.run_outcome(kind), kind })
}

/// Returns whether a failure that a server answered is worth a further attempt, and takes that
/// attempt from the budget for retries after failures. A server that fails one request of many is
/// healthy, and the same request succeeds at the next server; a caller that received the failure
/// would have to send the request again itself.
fn is_worth_retrying(service: &TableService, request: &EntryRequest, status: StatusCode) -> bool {
    status == StatusCode::INTERNAL_SERVER_ERROR
        && service.budget.settings().retries_server_failures
        && can_meet_goal(service, request)
        && service.failure_budget.take(time_since_start())
}

/// Returns whether a further attempt would likely meet the response-time goal; false for a route
/// without one.
fn can_meet_goal(service: &TableService, request: &EntryRequest) -> bool {
    let usual = service.placement.usual_work(request.traits.work, time_since_start());
    request.goal_remaining().is_some_and(|goal| usual <= goal)
}

/// Returns what an answer says about the endpoint; `None` if it concerns the request alone.
fn call_outcome(
    response: &Response<ProxyBody>,
    outcome: RequestOutcome,
    kind: Option<RefusalKind>,
) -> Option<CallOutcome> {
    match (kind, outcome) {
        (None, RequestOutcome::Ran) => Some(match response.status() {
            // A server that sheds load is overloaded, not broken.
            StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS => CallOutcome::Refused,
            status if status.is_server_error() => CallOutcome::Failure,
            _ => CallOutcome::Success,
        }),
        (Some(RefusalKind::Draining), _) => Some(CallOutcome::Leaving),
        // Not final: a paused server comes back as the same process.
        (
            Some(
                RefusalKind::ServerGone | RefusalKind::Unreachable | RefusalKind::ServerUnreachable,
            ),
            _,
        ) => Some(CallOutcome::Unreachable),
        (Some(kind), RequestOutcome::NotRun) if !kind.is_endpoint_specific() => None,
        (Some(RefusalKind::AlreadyRan | RefusalKind::AlreadyClaimed), _) => None,
        (_, RequestOutcome::NotRun) => Some(CallOutcome::Refused),
        _ => Some(CallOutcome::Failure),
    }
}

/// Returns whether a status means that the server cannot do the work now.
fn is_unavailable(status: StatusCode) -> bool {
    matches!(
        status,
        StatusCode::BAD_GATEWAY | StatusCode::SERVICE_UNAVAILABLE | StatusCode::GATEWAY_TIMEOUT
    )
}

/// Decides whether to make a further attempt, and when.
fn next_step(
    context: &ForwardContext,
    service: &TableService,
    request: &EntryRequest,
    history: &AttemptHistory,
    failure: &AttemptFailure,
) -> RetryVerdict {
    // A server that is too slow for the remaining time says nothing about a faster one.
    let may_move = failure.kind == Some(RefusalKind::DeadlineTooNear)
        && history.free_moves < service.budget.settings().free_moves
        && can_meet_goal(service, request);
    if !failure.kind.is_none_or(RefusalKind::is_endpoint_specific) && !may_move {
        return RetryVerdict::GiveUp(GiveUpReason::Final);
    }
    if !request.body.is_whole() {
        return RetryVerdict::GiveUp(GiveUpReason::BodySent);
    }
    if failure.kind.is_some_and(RefusalKind::is_capacity_refusal)
        && history.search.has_refused_too_long(request.traits.goal)
    {
        return RetryVerdict::GiveUp(GiveUpReason::RefusalsTooSlow);
    }
    if failure.kind.is_some_and(RefusalKind::is_capacity_refusal)
        && !request.traits.is_nested
        && service.placement.is_moving_vain(time_since_start())
    {
        return RetryVerdict::GiveUp(GiveUpReason::NoEndpoint);
    }
    if request.max_attempts.is_some_and(|max| history.server_attempts >= max) {
        return RetryVerdict::GiveUp(GiveUpReason::ServerLimitReached);
    }
    let attempt = FailedAttempt {
        outcome: failure.outcome,
        is_repeatable: request.traits.is_repeatable,
        own_retries: history.retries,
        own_free_moves: history.free_moves,
        retried_above: request.call.retried_above,
        remaining: request.remaining(),
        expected: Duration::ZERO,
    };
    let verdict = may_retry(&attempt, &service.budget, time_since_start(), &mut rand::rng());
    match verdict {
        RetryVerdict::GiveUp(reason) => {
            context.counters.count_denied();
            service.record_budget_state(reason == GiveUpReason::RetryBudgetEmpty);
        }
        RetryVerdict::Retry(_) => service.record_budget_state(false),
        RetryVerdict::FreeMove => {}
    }
    verdict
}
