//! One exchange with the local backend server.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use http::{HeaderMap, Request, Response, header};
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use sk_decide::{
    backoff::draw_between,
    deadline::{BODY_GRACE, CallContext},
    idling::STALE_LEAST,
};
use tokio::time::Instant;

use crate::{
    answer::{lost_answer, refuse, refuse_until},
    body::{ProxyBody, whole_body},
    call::GuardCall,
    claim::{ClaimHold, ClaimOutcome},
    context::GuardContext,
    gate::AdmitPermit,
    headers::{strip_hop_headers, strip_own_headers},
    hints::write_ran,
    local::GuardedServer,
    outcome::{RefusalKind, RequestOutcome},
    pool::AcquiredSender,
    quarantine::examine,
    served::ServerExchange,
    times::TimeStage,
    transfers::TurnBody,
    watched::WatchedBody,
    words::{AnswerVerdict, RequestNote},
};

/// Part of the goal, as a divisor, over which the return of callers is spread whom a server turned away:
/// enough to keep a herd apart, and little of what they have left.
const SHED_RETURN_PART: u32 = 8;
/// Longest such time, also where there is no goal.
const LONGEST_SHED_RETURN: Duration = Duration::from_millis(100);

/// How far a request has come, for the answer at its deadline.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(crate) enum PassStage {
    /// The server has been sent nothing.
    Waiting,
    /// The server may have it, by this permit.
    Sent,
    /// The server may have had it twice. What becomes of the second one says nothing of the first.
    Resent,
}

/// A request that may be sent now, with all that must be given back when it ends.
pub(crate) struct AdmittedRequest {
    pub(crate) permit: AdmitPermit,
    pub(crate) hold: Option<ClaimHold>,
    /// Time that its body took to come over the link.
    pub(crate) fetched: Duration,
    pub(crate) admitted_at: Instant,
    pub(crate) deadline: Instant,
}

/// Sends an admitted request to the server and gives its answer, or one that tells what is known.
pub(crate) async fn send(
    context: &Arc<GuardContext>,
    server: &Arc<GuardedServer>,
    request: Request<ProxyBody>,
    call: &GuardCall,
    admitted: AdmittedRequest,
    stage: &mut PassStage,
) -> Response<ProxyBody> {
    let response = send_on(context, server, request, call, admitted, stage).await;
    // The server may have run what it first got, and died. If the process in its place turns the
    // request away, the caller would be told that nothing ran.
    match RequestOutcome::read(response.headers()) {
        Some(RequestOutcome::NotRun) if *stage == PassStage::Resent => {
            let mut response = lost_answer(RefusalKind::AnswerLost, RequestOutcome::Unknown);
            server.hints().write(response.headers_mut());
            response
        }
        _ => response,
    }
}

/// Sends on one connection after the other until one takes the request.
async fn send_on(
    context: &Arc<GuardContext>,
    server: &Arc<GuardedServer>,
    request: Request<ProxyBody>,
    call: &GuardCall,
    mut admitted: AdmittedRequest,
    stage: &mut PassStage,
) -> Response<ProxyBody> {
    let attempt = context.words.attempt(request.headers()).cloned();
    let mut request = to_server(context, request, server, call, admitted.deadline);
    let mut spare = spare_of(&request, call);
    loop {
        let AcquiredSender { mut sender, idle } =
            match server.pool.acquire(call.is_repeatable).await {
                Ok(found) => found,
                Err(err) => {
                    log::info!("guard: {}: {err}.", server.id);
                    examine(context.quarantine.clone(), context.servers.clone(), server.clone());
                    return not_run(admitted, RefusalKind::ServerUnreachable).await;
                }
            };
        // A process that was paused wakes here with a request whose caller was told long ago that
        // its end is unknown. It could still run, but nobody waits for it.
        if admitted.deadline <= Instant::now() {
            return not_run(admitted, RefusalKind::DeadlineTooNear).await;
        }
        admitted.note_sent(call, stage);
        match sender.try_send_request(request).await {
            Ok(response) => {
                let exchange = ServerExchange {
                    context: context.clone(),
                    server: server.clone(),
                    fingerprint: call.fingerprint,
                    sender,
                    permit: admitted.permit,
                };
                let (status, headers) = (response.status(), response.headers());
                let verdict = context.words.read_answer(status, headers, attempt.as_ref());
                let took = admitted.admitted_at.elapsed();
                let outcome = if status.is_server_error() { "failed" } else { "answered" };
                let times = context.counters.times();
                times.observe(&call.service, outcome, TimeStage::Server, took);
                let is_own = matches!(verdict, AnswerVerdict::Sound | AnswerVerdict::NotExecuted);
                server.note_end(status.is_server_error() || !is_own);
                return match verdict {
                    AnswerVerdict::Sound => {
                        let span = (admitted.fetched + took, admitted.deadline);
                        answer(response, exchange, admitted.hold, span)
                    }
                    verdict => reject(verdict, call.goal(), exchange, admitted.hold).await,
                };
            }
            Err(mut err) => match err.take_message() {
                // The connection had closed while idle and took no byte of the request.
                Some(unsent) => {
                    request = unsent;
                    admitted.note_unsent(stage);
                }
                None => {
                    let err = err.into_error();
                    let idle = idle.filter(|idle| *idle >= STALE_LEAST && !err.is_user());
                    if let Some(idle) = idle {
                        server.pool.note_stale(idle);
                    }
                    // Once and at once: the server most likely forgot the connection.
                    if let Some(again) = spare.take().filter(|_| idle.is_some()) {
                        log::info!("guard: {} reset a connection that was idle: {err}.", server.id);
                        request = again;
                        *stage = PassStage::Resent;
                        continue;
                    }
                    log::info!("guard: {} lost an answer: {err}.", server.id);
                    return lost(context, server, &admitted.permit, &err);
                }
            },
        }
    }
}

/// Gives a copy of a request that may be sent again as it is.
fn spare_of(request: &Request<ProxyBody>, call: &GuardCall) -> Option<Request<ProxyBody>> {
    let is_plain = call.is_repeatable && request.body().is_end_stream();
    is_plain.then(|| {
        let mut spare = Request::new(whole_body(Bytes::new()));
        *spare.method_mut() = request.method().clone();
        *spare.uri_mut() = request.uri().clone();
        *spare.headers_mut() = request.headers().clone();
        spare
    })
}

impl AdmittedRequest {
    fn note_sent(&mut self, call: &GuardCall, stage: &mut PassStage) {
        if *stage != PassStage::Resent {
            *stage = PassStage::Sent;
        }
        self.permit.note_sent(call.fingerprint);
        self.set_claim(ClaimOutcome::Unknown);
    }

    fn note_unsent(&mut self, stage: &mut PassStage) {
        if *stage == PassStage::Resent {
            return;
        }
        *stage = PassStage::Waiting;
        self.permit.note_unsent();
        self.set_claim(ClaimOutcome::NotRun);
    }

    fn set_claim(&mut self, outcome: ClaimOutcome) {
        if let Some(hold) = &mut self.hold {
            hold.set(outcome);
        }
    }
}

/// Ends an admitted request that was not sent.
async fn not_run(admitted: AdmittedRequest, kind: RefusalKind) -> Response<ProxyBody> {
    drop(admitted.permit);
    if let Some(hold) = admitted.hold {
        hold.give_back().await;
    }
    refuse(kind)
}

/// Ends a request whose connection broke before the head of an answer.
fn lost(
    context: &Arc<GuardContext>,
    server: &Arc<GuardedServer>,
    permit: &AdmitPermit,
    err: &hyper::Error,
) -> Response<ProxyBody> {
    // A body that failed is the caller's doing and says nothing of the server.
    if !err.is_user() {
        server.note_end(true);
        permit.note_broken();
        examine(context.quarantine.clone(), context.servers.clone(), server.clone());
    }
    let mut response = lost_answer(RefusalKind::AnswerLost, RequestOutcome::Unknown);
    server.hints().write(response.headers_mut());
    response
}

fn answer(
    mut response: Response<Incoming>,
    exchange: ServerExchange,
    hold: Option<ClaimHold>,
    (ran, deadline): (Duration, Instant),
) -> Response<ProxyBody> {
    if let Some(mut hold) = hold {
        hold.set(ClaimOutcome::Ran { status: response.status().as_u16() });
    }
    if response.status().is_informational() {
        log::warn!("guard: {} switches protocols unasked.", exchange.server.id);
        return lost_answer(RefusalKind::AnswerUnsound, RequestOutcome::Ran);
    }
    let headers = response.headers_mut();
    strip_answer(headers);
    RequestOutcome::Ran.write(headers);
    write_ran(headers, ran);
    exchange.server.hints().write(headers);
    let until = Some(deadline + BODY_GRACE);
    let line = exchange.server.transfers.clone();
    response
        .map(|body| WatchedBody::new(TurnBody::new(body, &line), exchange, until).boxed_unsync())
}

/// Gives when a caller may return whose request a server turned away although it had a slot free.
///
/// Such a server sheds by chance or by a count of its own, and the next try has as good a chance as the
/// first. Told to come back after a second, callers waited for as long as they could, and what was then
/// served was late.
fn shed_return(goal: Option<Duration>) -> Duration {
    let window = goal.map_or(LONGEST_SHED_RETURN, |goal| goal / SHED_RETURN_PART);
    draw_between(Duration::ZERO, window.min(LONGEST_SHED_RETURN), &mut rand::rng())
}

/// Ends an exchange whose answer must not reach the caller. Its connection is closed, since what
/// comes next on it may belong to another request.
async fn reject(
    verdict: AnswerVerdict,
    goal: Option<Duration>,
    exchange: ServerExchange,
    hold: Option<ClaimHold>,
) -> Response<ProxyBody> {
    let id = &exchange.server.id;
    let mut response = match verdict {
        AnswerVerdict::NotExecuted => {
            log::info!("guard: {id} turned a request away.");
            if let Some(hold) = hold {
                hold.give_back().await;
            }
            refuse_until(RefusalKind::TurnedAway, shed_return(goal))
        }
        verdict => {
            log::warn!("guard: {id} gave an answer that is not its own: {verdict:?}.");
            lost_answer(RefusalKind::AnswerUnsound, RequestOutcome::Unknown)
        }
    };
    exchange.server.hints().write(response.headers_mut());
    response
}

fn strip_answer(headers: &mut HeaderMap) {
    strip_hop_headers(headers);
    strip_own_headers(headers);
}

fn left_of(call: &GuardCall, deadline: Instant) -> CallContext {
    let remaining = deadline.saturating_duration_since(Instant::now());
    CallContext { remaining, ..call.context() }
}

/// Makes the request that the server gets: its path alone as target, the caller's host, and what
/// the server is told in the platform's words.
fn to_server(
    context: &GuardContext,
    mut request: Request<ProxyBody>,
    server: &GuardedServer,
    call: &GuardCall,
    deadline: Instant,
) -> Request<ProxyBody> {
    let path = request.uri().path_and_query().cloned();
    *request.uri_mut() = path.map_or_else(http::Uri::default, http::Uri::from);
    *request.version_mut() = http::Version::HTTP_11;
    let headers = request.headers_mut();
    let note = RequestNote {
        context: left_of(call, deadline),
        server: &server.name,
        from: call.from.as_deref(),
    };
    context.words.write_request(headers, &note);
    if !headers.contains_key(header::HOST) {
        headers.insert(header::HOST, server.host.clone());
    }
    request
}
