//! The entry side of the request path: from a caller to the guard beside a backend server.

use std::{sync::Arc, time::Duration};

use http::{HeaderValue, Request, Response, StatusCode, header};
use http_body_util::BodyExt;
use sk_decide::{deadline::ENTRY_GRACE, placing::CallOutcome};
use tokio::time::Instant;

use crate::{
    allowance::take_token,
    answer::{DaemonAnswer, daemon_answer, error_answer, refuse, refuse_with_delay},
    attempt::answer_request,
    attempt_history::AttemptHistory,
    body::{CallerBody, ProxyBody},
    context::{ForwardContext, count_own_refusal},
    entry::{CallOrigin, EntryRequest, check_carried, host_of},
    entry_answer::InFlightCount,
    headers::read_context,
    hints::strip_hints,
    outcome::{RETRY_AFTER_MS_HEADER, RefusalKind, RequestOutcome},
    pipeline::PipelinePlace,
    request_log::RequestLog,
    server_calls::{CallVerdict, CallerPeer, check_server_call},
    table::{RouteMatch, RouteTable},
    times::TimeStage,
    tracked_body::TrackedBody,
    workspaces::{KeyFault, TableWorkspace},
};

/// Age of the knowledge that the configuration is the newest one, up to which an unknown key is
/// rejected for good. Somewhat longer than a version takes to reach all daemons.
const MAX_CONFIRMED_AGE: Duration = Duration::from_millis(2_500);
/// Metrics label of requests that no route leads to a service.
const NO_SERVICE: &str = "none";

/// Forwards one request of a caller and streams the answer back.
pub async fn forward(
    context: Arc<ForwardContext>,
    mut request: Request<CallerBody>,
    caller: CallerPeer,
) -> Response<ProxyBody> {
    let place = request.extensions_mut().remove::<PipelinePlace>();
    let drain_clock = context.guard_context.drain_clock.clone();
    let mut count = InFlightCount::new(context.counters.clone(), drain_clock);
    let mut request_log = begin_log(&context, &request, caller);
    let mut response = forward_routed(&context, request, caller, &mut request_log).await;
    strip_hints(response.headers_mut());
    count.set_attempt(request_log.attempt(), request_log.history.last_target());
    let took = request_log.took();
    if let Some(place) = place {
        context.counters.count_pipelined();
        request_log.pipeline_position = place.position;
        (response, request_log.pipeline_wait) = place.await_turn(response).await;
    }
    request_log.write_answered(&response);
    context.headers.write_answer(&mut response);
    let outcome = RequestOutcome::read(response.headers()).unwrap_or(RequestOutcome::Unknown);
    context.counters.count_outcome(outcome);
    let service = request_log.service().unwrap_or(NO_SERVICE);
    context.counters.times().observe(service, outcome.as_str(), TimeStage::Whole, took);
    response.map(|body| TrackedBody::new(body, count).boxed_unsync())
}

/// Starts the log line of a request.
fn begin_log(
    context: &Arc<ForwardContext>,
    request: &Request<CallerBody>,
    caller: CallerPeer,
) -> RequestLog {
    let attempt = context.headers.attempt_id(request.headers()).cloned();
    let (method, host) = (request.method().clone(), host_of(request));
    RequestLog::new(context.clone(), attempt, caller.address, method, host, request.uri().path())
}

/// Finds the route of a request, reads the request and forwards it.
async fn forward_routed(
    context: &ForwardContext,
    mut request: Request<CallerBody>,
    caller: CallerPeer,
    request_log: &mut RequestLog,
) -> Response<ProxyBody> {
    if let Err(response) = check_carried(&request) {
        return count_own_refusal(context, *response);
    }
    let table = context.table.load_full();
    request_log.version = table.version();
    let host = host_of(&request);
    let Some(route) = table.find(host.as_deref(), request.uri().path()) else {
        return refuse_unrouted(context, &table);
    };
    let deadline = Duration::from_millis(route.setting.deadline_ms);
    let needs_key = table.workspaces().requires_keys() && !route.setting.is_public;
    let asked_at = Instant::now();
    let longest = || table.longest_deadline();
    let verdict = check_server_call(context, request.headers(), caller, needs_key, longest).await;
    if verdict == CallVerdict::Unknown {
        return count_own_refusal(context, refuse(RefusalKind::CallUnconfirmed));
    }
    let is_server_call = verdict == CallVerdict::Call;
    let remaining = context.headers.remaining(request.headers());
    let remaining = remaining.map(|remaining| remaining.saturating_sub(asked_at.elapsed()));
    let mut call = read_context(request.headers(), is_server_call, remaining, deadline);
    call.remaining = context.guard_context.drain_clock.bound_remaining(call.remaining);
    request_log.set_service(&route.service.name, is_server_call);
    request_log.deadline = Some(call.remaining);
    (request_log.rank, request_log.goal_ms) = (route.setting.rank, route.setting.goal_ms);
    let origin = match is_server_call {
        true => CallOrigin::Nested(local_service(context)),
        false => CallOrigin::Outside(caller.address),
    };
    let workspace = match authenticate(context, &table, &route, &mut request, &origin) {
        Ok(workspace) => workspace,
        Err(response) => return count_own_refusal(context, *response),
    };
    request_log.workspace = workspace.as_ref().map(|workspace| workspace.name.clone());
    let limit = table.limits().map_or(u64::MAX, |limits| limits.max_body_bytes);
    let limit = limit.min(context.max_body_bytes);
    let (refused, sender) = (&context.refused, (origin, workspace));
    match EntryRequest::read(request, host.as_deref(), &route, call, sender, limit, refused).await {
        // Its body took until the daemon stopped accepting requests.
        Ok(_) if context.guard_context.drain_clock.is_refusing() && !is_server_call => {
            count_own_refusal(context, refuse_with_delay(RefusalKind::Draining, Duration::ZERO))
        }
        Ok(request) => {
            request_log.rank = request.traits.rank;
            let token = match take_token(context, request.workspace.as_ref()).await {
                Ok(token) => token,
                Err(response) => return count_own_refusal(context, *response),
            };
            let response = forward_read(context, &route, request, request_log).await;
            if let Some(token) = token {
                token.settle(&request_log.history, &response);
            }
            response
        }
        Err(response) => count_own_refusal(context, *response),
    }
}

/// Answers a request by its deadline, whatever happens to the attempts.
///
/// A guard that is stopped or cut off answers nothing. Its caller must learn in time that the
/// outcome of the request is unknown, and nobody may run it elsewhere meanwhile.
async fn forward_read(
    context: &ForwardContext,
    route: &RouteMatch<'_>,
    mut request: EntryRequest,
    request_log: &mut RequestLog,
) -> Response<ProxyBody> {
    let deadline = request.began + request.call.remaining;
    let history = &mut request_log.history;
    let answer = answer_request(context, route.service, &mut request, history, deadline);
    let answered =
        context.guard_context.drain_clock.await_until(deadline, ENTRY_GRACE, answer).await;
    let mut response = answered.unwrap_or_else(|| time_out(context, history));
    // A failure that a server answered itself takes precedence over a daemon's refusal of a later
    // attempt.
    if RefusalKind::read(response.headers()).is_some()
        && let Some(kept) = history.kept_failure.take()
    {
        response = kept;
    }
    // An earlier attempt may have run even if the last one did not.
    if history.may_have_run
        && RequestOutcome::read(response.headers()) == Some(RequestOutcome::NotRun)
    {
        mark_outcome_unknown(&mut response);
    }
    if RequestOutcome::read(response.headers()) == Some(RequestOutcome::NotRun) {
        context.refused.record(request.key, request.first_arrival);
    }
    response
}

/// Changes a refusal to an unknown outcome, because an earlier attempt may have run. A refusal's
/// status and its retry time promise that nothing ran, and a caller would rely on them and send
/// the request again.
fn mark_outcome_unknown(response: &mut Response<ProxyBody>) {
    if response.status() == StatusCode::SERVICE_UNAVAILABLE {
        *response.status_mut() = StatusCode::BAD_GATEWAY;
    }
    let headers = response.headers_mut();
    headers.remove(header::RETRY_AFTER);
    headers.remove(RETRY_AFTER_MS_HEADER);
    RequestOutcome::Unknown.write(headers);
}

/// Returns the answer at the deadline, and counts a late attempt against its endpoint.
fn time_out(context: &ForwardContext, history: &mut AttemptHistory) -> Response<ProxyBody> {
    let response = match history.running.take() {
        Some(running) => {
            history.record_unanswered(&running);
            running.finish_late(CallOutcome::Failure);
            error_answer(RefusalKind::DeadlinePassed, RequestOutcome::Unknown)
        }
        None => refuse(RefusalKind::DeadlineTooNear),
    };
    count_own_refusal(context, response)
}

/// Returns the refusal of a request without a route: 404, or 503 before the first configuration.
fn refuse_unrouted(context: &ForwardContext, table: &RouteTable) -> Response<ProxyBody> {
    let response = match table.version() {
        0 => refuse(RefusalKind::NoConfiguration),
        _ => daemon_answer(StatusCode::NOT_FOUND, RequestOutcome::NotRun, RefusalKind::NoRoute),
    };
    count_own_refusal(context, response)
}

/// Returns the workspace of a request on a route that needs a key, and removes the key, which
/// concerns this daemon only. `None` where no key is needed: without workspaces, on public routes,
/// and for calls that the local server makes for a request that it is running.
///
/// # Errors
///
/// Returns the refusal of a request without a key that is known and may still be used.
fn authenticate(
    context: &ForwardContext,
    table: &RouteTable,
    route: &RouteMatch<'_>,
    request: &mut Request<CallerBody>,
    origin: &CallOrigin,
) -> Result<Option<Arc<TableWorkspace>>, DaemonAnswer> {
    let workspaces = table.workspaces();
    if !workspaces.requires_keys() {
        return Ok(None);
    }
    let found = workspaces.find(request.headers()).cloned();
    request.headers_mut().remove(header::AUTHORIZATION);
    let is_older_than = |limit: Duration| (context.config_age)().is_none_or(|age| age > limit);
    match found {
        _ if route.setting.is_public || origin.is_nested() => Ok(None),
        // A key that was added lately must not be rejected for good.
        Err(KeyFault::Unknown) if is_older_than(MAX_CONFIRMED_AGE) => {
            Err(Box::new(refuse(RefusalKind::KeyUnconfirmed)))
        }
        Err(fault) => Err(Box::new(reject_key(fault))),
        Ok(_) if context.max_key_age.is_some_and(is_older_than) => {
            Err(Box::new(refuse(RefusalKind::KeyUnconfirmed)))
        }
        Ok(workspace) => Ok(Some(workspace)),
    }
}

/// Returns the answer to a request without a key that is known.
fn reject_key(fault: KeyFault) -> Response<ProxyBody> {
    log::debug!("proxy: a request without a valid key: {fault:?}.");
    let kind = RefusalKind::Unauthenticated;
    let mut response = daemon_answer(StatusCode::UNAUTHORIZED, RequestOutcome::NotRun, kind);
    let challenge = HeaderValue::from_static("Bearer");
    response.headers_mut().insert(header::WWW_AUTHENTICATE, challenge);
    response
}

/// Returns the name of the service beside this daemon, empty if it is not known.
fn local_service(context: &ForwardContext) -> String {
    let listed = context.guard_context.servers.first_service();
    let named = || context.local_service.load().as_deref().cloned();
    listed.or_else(named).unwrap_or_default()
}
