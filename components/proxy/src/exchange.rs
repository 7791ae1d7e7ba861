//! One exchange with the local backend server: sends an admitted request and classifies the answer.
//! An answer that is recognised as incomplete or as that of another request does not reach the
//! caller, and what may have run is never reported as not run.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use http::{HeaderMap, Request, Response, StatusCode, header};
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use sk_decide::{
    admitting::RefusalReason,
    backoff::draw_between,
    deadline::{BODY_GRACE, CallContext},
    idle_limit::was_stale,
};
use tokio::time::Instant;

use crate::{
    answer::{error_answer, refuse, refuse_with_delay},
    body::{PrefixedBody, ProxyBody, whole_body},
    call::GuardCall,
    claim::{ClaimOutcome, PendingClaim},
    clock::time_since_start,
    context::GuardContext,
    expiring_body::ExpiringBody,
    gate::AdmitPermit,
    guard::refuse_admission,
    header_translation::{AnswerVerdict, ServerRequestInfo},
    headers::{strip_hop_headers, strip_own_headers},
    hints::write_service_time,
    local::GuardedServer,
    open_exchange::{AnswerDelivery, OpenExchange},
    outcome::{RefusalKind, RequestOutcome},
    pool::{AcquiredSender, ConnectError},
    quarantine::check_for_crash,
    read_ahead::{AheadBody, read_ahead},
    server_calls::write_proof,
    times::TimeStage,
    tracked_body::{BodyEndHandler, BodyProgress, TrackedBody},
    transfers::{ScheduledBody, is_large},
};

/// Divisor of the response-time goal that yields the window over which the retries of callers are
/// spread whose requests a server rejected: long enough to spread a burst of callers, and a small
/// part of their remaining time.
const SHED_RETRY_DIVISOR: u32 = 8;
/// Longest such window, also without a goal.
const MAX_SHED_RETRY_DELAY: Duration = Duration::from_millis(100);

/// Largest status of an answer (RFC 9110, section 15). The library reads all numbers of three digits
/// from 100.
const MAX_STATUS: u16 = 599;

/// How far a request has come, for the answer at its deadline.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(crate) enum SendStage {
    /// Nothing was sent to the server.
    Waiting,
    /// The server may have the request.
    Sent,
    /// The server may have received the request twice. The result of the second one says nothing
    /// about the first.
    Resent,
}

/// A request that may be sent now, with everything that must be released when it ends.
pub(crate) struct AdmittedRequest {
    pub(crate) permit: AdmitPermit,
    pub(crate) claim: Option<PendingClaim>,
    /// Time in which its body arrived over the link.
    pub(crate) upload_time: Duration,
    pub(crate) admitted_at: Instant,
    pub(crate) deadline: Instant,
    /// Whether the request entered at this daemon.
    pub(crate) is_from_here: bool,
}

/// Sends an admitted request to the server and returns its answer, or one made here that states
/// what is known.
pub(crate) async fn send(
    context: &Arc<GuardContext>,
    server: &Arc<GuardedServer>,
    request: Request<ProxyBody>,
    call: &GuardCall,
    admitted: AdmittedRequest,
    stage: &mut SendStage,
) -> Response<ProxyBody> {
    let response = send_until_taken(context, server, request, call, admitted, stage).await;
    // The server may have run the first copy, and died. If the process in its place rejects the
    // second, the caller would be told that nothing ran.
    match RequestOutcome::read(response.headers()) {
        Some(RequestOutcome::NotRun) if *stage == SendStage::Resent => {
            let mut response = error_answer(RefusalKind::AnswerLost, RequestOutcome::Unknown);
            server.hints(call.is_nested).write(response.headers_mut());
            response
        }
        _ => response,
    }
}

/// Sends on one connection after the other until one accepts the request, and evaluates how the
/// exchange on it ended.
async fn send_until_taken(
    context: &Arc<GuardContext>,
    server: &Arc<GuardedServer>,
    request: Request<ProxyBody>,
    call: &GuardCall,
    mut admitted: AdmittedRequest,
    stage: &mut SendStage,
) -> Response<ProxyBody> {
    let attempt = context.headers.attempt_id(request.headers()).cloned();
    let mut request = server_request(request, server);
    let mut copy = resendable_copy(&request, call);
    let (deadline, is_from_here) = (admitted.deadline, admitted.is_from_here);
    let begin = || {
        let id = attempt.as_ref()?.to_str().ok()?;
        Some(context.running.begin(id, deadline, is_from_here))
    };
    let mut running = begin();
    loop {
        let AcquiredSender { mut sender, idle } =
            match server.pool.acquire(call.is_repeatable).await {
                Ok(found) => found,
                Err(ConnectError::Closed) => {
                    return refuse_before_send(server, call, admitted, RefusalReason::Draining)
                        .await;
                }
                Err(err) => {
                    log::info!("guard: no connection to server {}: {err}.", server.id);
                    check_for_crash(
                        context.quarantine.clone(),
                        context.servers.clone(),
                        server.clone(),
                    );
                    return refuse_unsent(admitted, RefusalKind::ServerUnreachable).await;
                }
            };
        // A daemon that was paused may resume here with a request whose caller was told long ago
        // that its outcome is unknown. It could still run, but nobody waits for it.
        if admitted.deadline <= Instant::now() {
            return refuse_unsent(admitted, RefusalKind::DeadlineTooNear).await;
        }
        // The answer to a request that is sent now is newer than all that has been heard.
        let sent_at = time_since_start();
        if let Err(reason) = admitted.record_sent(call, stage) {
            return refuse_before_send(server, call, admitted, reason).await;
        }
        write_server_headers(context, request.headers_mut(), server, call, admitted.deadline);
        if let Some(running) = &mut running {
            running.set_sent(true);
        }
        match sender.try_send_request(request).await {
            Ok(response) => {
                let exchange = OpenExchange {
                    delivery: AnswerDelivery {
                        context: context.clone(),
                        server: server.clone(),
                        attempt: attempt.clone(),
                        is_nested: call.is_nested,
                    },
                    fingerprint: call.fingerprint,
                    sender,
                    permit: admitted.permit,
                    running: running.take(),
                };
                let (status, headers) = (response.status(), response.headers());
                let verdict = context.headers.classify_answer(status, headers, attempt.as_ref());
                let verdict = match verdict {
                    AnswerVerdict::Valid if status.as_u16() > MAX_STATUS => {
                        AnswerVerdict::Incomplete
                    }
                    verdict => verdict,
                };
                let took = admitted.admitted_at.elapsed();
                let outcome = if status.is_server_error() { "failed" } else { "answered" };
                let times = context.counters.times();
                times.observe(&call.service, outcome, TimeStage::Server, took);
                let is_own = matches!(verdict, AnswerVerdict::Valid | AnswerVerdict::NotExecuted);
                server.record_end(status.is_server_error() || !is_own);
                // Another server at the address answers only that it is not the one expected.
                if is_own && status != StatusCode::MISDIRECTED_REQUEST {
                    let terms = context.headers.read_terms(headers);
                    context.servers.record_terms(server, &terms, sent_at);
                    if let Some(load) = context.headers.read_load(headers) {
                        exchange.permit.record_load(&load);
                    }
                    if verdict == AnswerVerdict::NotExecuted {
                        exchange.permit.record_rejected();
                    }
                }
                return match verdict {
                    AnswerVerdict::Valid => {
                        let timing = (admitted.upload_time + took, admitted.deadline);
                        stream_answer(response, exchange, admitted.claim, timing).await
                    }
                    verdict => reject_answer(verdict, call.goal(), exchange, admitted.claim).await,
                };
            }
            Err(mut err) => match err.take_message() {
                // The connection had closed while idle and took no byte of the request.
                Some(unsent) => {
                    request = unsent;
                    admitted.record_unsent(stage);
                    if let Some(running) = &mut running {
                        running.set_sent(false);
                    }
                }
                None => {
                    let err = err.into_error();
                    let held = time_since_start().saturating_sub(sent_at);
                    let idle = idle.filter(|_| was_stale(idle, held) && !err.is_user());
                    if let Some(idle) = idle {
                        server.pool.record_stale(idle);
                    }
                    // Resent once, without delay: the server most likely dropped the connection
                    // while it was idle.
                    let may_resend = idle.is_some() && !server.is_retired();
                    if let Some(again) = copy.take().filter(|_| may_resend) {
                        log::info!(
                            "guard: server {} reset an idle connection; resending: {err}.",
                            server.id
                        );
                        request = again;
                        *stage = SendStage::Resent;
                        // The server may be working on the first copy.
                        drop(std::mem::replace(&mut running, begin()));
                        continue;
                    }
                    log::info!(
                        "guard: connection to server {} failed before the answer: {err}.",
                        server.id
                    );
                    return end_broken(context, server, call, &admitted.permit, &err);
                }
            },
        }
    }
}

/// Returns a copy of a request that may be sent again unchanged: repeatable and without a body.
fn resendable_copy(request: &Request<ProxyBody>, call: &GuardCall) -> Option<Request<ProxyBody>> {
    let is_plain = call.is_repeatable && request.body().is_end_stream();
    is_plain.then(|| {
        let mut copy = Request::new(whole_body(Bytes::new()));
        *copy.method_mut() = request.method().clone();
        *copy.uri_mut() = request.uri().clone();
        *copy.headers_mut() = request.headers().clone();
        copy
    })
}

impl AdmittedRequest {
    /// Records that the server may receive the request from now on.
    ///
    /// # Errors
    ///
    /// Returns the reason why the request may not be sent.
    fn record_sent(
        &mut self,
        call: &GuardCall,
        stage: &mut SendStage,
    ) -> Result<(), RefusalReason> {
        self.permit.record_sent(call.fingerprint)?;
        if *stage != SendStage::Resent {
            *stage = SendStage::Sent;
        }
        self.set_claim(ClaimOutcome::Unknown);
        Ok(())
    }

    /// Records that no byte of the request was sent, unless a first copy was.
    fn record_unsent(&mut self, stage: &mut SendStage) {
        if *stage == SendStage::Resent {
            return;
        }
        *stage = SendStage::Waiting;
        self.permit.record_unsent();
        self.set_claim(ClaimOutcome::NotRun);
    }

    /// Sets the outcome of the claim, if the request has a key.
    fn set_claim(&mut self, outcome: ClaimOutcome) {
        if let Some(claim) = &mut self.claim {
            claim.set_outcome(outcome);
        }
    }
}

/// Refuses an admitted request that was not sent, and releases its slot and claim.
async fn refuse_unsent(admitted: AdmittedRequest, kind: RefusalKind) -> Response<ProxyBody> {
    release_unsent(admitted).await;
    refuse(kind)
}

/// Refuses an admitted request that may not be sent any more.
async fn refuse_before_send(
    server: &GuardedServer,
    call: &GuardCall,
    admitted: AdmittedRequest,
    reason: RefusalReason,
) -> Response<ProxyBody> {
    let refusal = server.gate.refuse(reason);
    release_unsent(admitted).await;
    refuse_admission(server, call.is_nested, refusal)
}

/// Releases the slot and the claim of an admitted request that was not sent.
async fn release_unsent(admitted: AdmittedRequest) {
    drop(admitted.permit);
    if let Some(claim) = admitted.claim {
        claim.release_unrun().await;
    }
}

/// Ends a request whose connection broke before the head of an answer.
fn end_broken(
    context: &Arc<GuardContext>,
    server: &Arc<GuardedServer>,
    call: &GuardCall,
    permit: &AdmitPermit,
    err: &hyper::Error,
) -> Response<ProxyBody> {
    // A failed request body is caused by the caller and says nothing about the server.
    if !err.is_user() {
        server.record_end(true);
        permit.record_broken();
        check_for_crash(context.quarantine.clone(), context.servers.clone(), server.clone());
    }
    let mut response = error_answer(RefusalKind::AnswerLost, RequestOutcome::Unknown);
    server.hints(call.is_nested).write(response.headers_mut());
    response
}

/// Streams a server's answer to the entry daemon, until a short time after its deadline. The slot is
/// free from the moment at which the answer has been read, if it can be read ahead.
async fn stream_answer(
    response: Response<Incoming>,
    exchange: OpenExchange,
    claim: Option<PendingClaim>,
    (service_time, deadline): (Duration, Instant),
) -> Response<ProxyBody> {
    if let Some(mut claim) = claim {
        claim.set_outcome(ClaimOutcome::Ran { status: response.status().as_u16() });
    }
    if response.status().is_informational() {
        log::warn!(
            "guard: server {} answered with an unrequested protocol switch.",
            exchange.delivery.server.id
        );
        return error_answer(RefusalKind::AnswerInvalid, RequestOutcome::Ran);
    }
    let (server, is_nested) = (exchange.delivery.server.clone(), exchange.delivery.is_nested);
    let (mut parts, body) = response.into_parts();
    let (began, size) = (Instant::now(), body.size_hint().exact());
    let body = match read_ahead(body, &server.read_ahead_limit, deadline).await {
        Ok(body) => body,
        Err((err, passed)) => {
            exchange.on_failure(&err, BodyProgress { passed, size, age: began.elapsed() });
            let mut response = error_answer(RefusalKind::AnswerLost, RequestOutcome::Unknown);
            server.hints(is_nested).write(response.headers_mut());
            return response;
        }
    };
    let (until, scheduler) = (deadline + BODY_GRACE, &server.answer_transfers);
    let body = match body {
        AheadBody::Whole(body) => {
            let body = ScheduledBody::kept(body, scheduler);
            ExpiringBody::new(TrackedBody::new(body, exchange.complete()), until).boxed_unsync()
        }
        AheadBody::Part(kept, rest) => {
            let body = ScheduledBody::new(PrefixedBody::new(kept, rest), scheduler);
            ExpiringBody::new(TrackedBody::new(body, exchange), until).boxed_unsync()
        }
        AheadBody::Unread(body) => {
            let body = ScheduledBody::new(body, scheduler);
            ExpiringBody::new(TrackedBody::new(body, exchange), until).boxed_unsync()
        }
    };
    let link_time = match is_large(&body) {
        true => scheduler.expected_time(),
        false => Duration::ZERO,
    };
    strip_answer(&mut parts.headers);
    RequestOutcome::Ran.write(&mut parts.headers);
    write_service_time(&mut parts.headers, service_time + link_time);
    server.hints(is_nested).write(&mut parts.headers);
    Response::from_parts(parts, body)
}

/// Returns the retry delay for a request that a server rejected although it had a free slot.
///
/// Such a server sheds load at random or by a count of its own, and the next attempt is as likely
/// to succeed as the first. With a delay of a second, callers waited as long as they could, and
/// what was then served was late.
fn shed_retry_delay(goal: Option<Duration>) -> Duration {
    let window = goal.map_or(MAX_SHED_RETRY_DELAY, |goal| goal / SHED_RETRY_DIVISOR);
    draw_between(Duration::ZERO, window.min(MAX_SHED_RETRY_DELAY), &mut rand::rng())
}

/// Ends an exchange whose answer must not reach the caller. Its connection is closed, because the
/// next bytes on it may belong to another request.
async fn reject_answer(
    verdict: AnswerVerdict,
    goal: Option<Duration>,
    mut exchange: OpenExchange,
    claim: Option<PendingClaim>,
) -> Response<ProxyBody> {
    let (server, is_nested) = (exchange.delivery.server.clone(), exchange.delivery.is_nested);
    let id = &server.id;
    let mut response = match verdict {
        AnswerVerdict::NotExecuted => {
            log::info!("guard: server {id} rejected a request without running it.");
            if let Some(running) = exchange.running.take() {
                running.end();
            }
            if let Some(claim) = claim {
                claim.release_unrun().await;
            }
            refuse_with_delay(RefusalKind::RejectedByServer, shed_retry_delay(goal))
        }
        verdict => {
            log::warn!("guard: server {id} sent an invalid answer to a request: {verdict:?}.");
            error_answer(RefusalKind::AnswerInvalid, RequestOutcome::Unknown)
        }
    };
    server.hints(is_nested).write(response.headers_mut());
    response
}

/// Removes headers that must not leave with an answer.
fn strip_answer(headers: &mut HeaderMap) {
    strip_hop_headers(headers);
    strip_own_headers(headers);
}

/// Returns the call's context with the time that remains now.
fn remaining_context(call: &GuardCall, deadline: Instant) -> CallContext {
    let remaining = deadline.saturating_duration_since(Instant::now());
    CallContext { remaining, ..call.context() }
}

/// Creates the request for the server: its path alone as target, and the caller's host.
fn server_request(mut request: Request<ProxyBody>, server: &GuardedServer) -> Request<ProxyBody> {
    let path = request.uri().path_and_query().cloned();
    *request.uri_mut() = path.map_or_else(http::Uri::default, http::Uri::from);
    *request.version_mut() = http::Version::HTTP_11;
    let headers = request.headers_mut();
    if !headers.contains_key(header::HOST) {
        headers.insert(header::HOST, server.host.clone());
    }
    request
}

/// Writes the platform's headers with the time that is left now, for each sending anew.
fn write_server_headers(
    context: &GuardContext,
    headers: &mut HeaderMap,
    server: &GuardedServer,
    call: &GuardCall,
    deadline: Instant,
) {
    let info = ServerRequestInfo {
        context: remaining_context(call, deadline),
        server: &server.name,
        from: call.from.as_deref(),
        workspace: call.workspace.as_deref(),
    };
    context.headers.write_request(headers, &info);
    if context.headers.passes_proofs() {
        write_proof(headers, context.proofs.make(info.context.remaining));
    }
}
