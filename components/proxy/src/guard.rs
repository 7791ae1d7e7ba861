//! From another daemon to the local backend server, which only this daemon sends to.

use std::{sync::Arc, time::Duration};

use http::{HeaderMap, Request, Response, StatusCode, header};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use sk_decide::{
    admitting::{GuardRequest, Refusal},
    deadline::{BODY_GRACE, CallContext, GUARD_GRACE},
    quarantine::QuarantineVerdict,
};
use tokio::time::Instant;

use crate::{
    answer::{OwnAnswer, lost_answer, own_answer, refuse, refuse_until},
    body::{CheckedBody, ProxyBody},
    call::{GuardCall, GuardToken},
    claim::{ClaimGate, ClaimHold, ClaimKey, ClaimOutcome, ClaimVerdict},
    clock::process_now,
    counters::ProxyCounters,
    gate::AdmitPermit,
    headers::{strip_hop_headers, strip_own_headers},
    local::{GuardedServer, LocalServers},
    outcome::{EARLIER_STATUS_HEADER, RefusalKind, RequestOutcome},
    quarantine::{QuarantineBoard, examine},
    served::{ServedBody, ServerExchange},
    times::TimeStage,
    words::{AnswerVerdict, RequestNote, RequestWords},
};

/// Header by which a caller says that a request must not run twice.
pub(crate) const KEY_HEADER: &str = "idempotency-key";
/// Header with the microseconds from admission to the head of the answer, between daemons.
pub(crate) const RAN_HEADER: &str = "x-sapphirekeel-ran-us";
/// Header with the guard's load in percent when it answered: a hint for placing, since each entry
/// counts only its own requests at an endpoint. It is the guard's count and not the server's word,
/// so that it cannot mislead, but it lags by the way back.
pub(crate) const LOAD_HEADER: &str = "x-sapphirekeel-load";

/// Header with the microseconds that a request would wait for a slot, between daemons.
pub(crate) const WAIT_HEADER: &str = "x-sapphirekeel-wait-us";

/// Header with the part of failures among the server's last requests, in thousandths, between
/// daemons. The guard sees all of them; each entry would have to lose some of its own to find out.
pub(crate) const FAILING_HEADER: &str = "x-sapphirekeel-failing";

/// What the guard needs.
pub struct GuardContext {
    /// Backend servers beside this daemon.
    pub servers: Arc<LocalServers>,
    /// What daemons of the fleet show.
    pub token: GuardToken,
    /// Requests that crash servers.
    pub quarantine: Arc<QuarantineBoard>,
    /// Where keyed requests are claimed. Without one they are refused as not run, since nothing
    /// could tell a second copy from the first.
    pub claims: Option<Arc<dyn ClaimGate>>,
    /// Counts.
    pub counters: Arc<ProxyCounters>,
    /// Headers that the server speaks.
    pub words: Arc<dyn RequestWords>,
}

/// How far a request has come, for the answer at its deadline.
enum PassStage {
    /// The server has been sent nothing.
    Waiting,
    /// The server may have it, by this permit.
    Sent,
}

/// Takes one request from another daemon.
pub async fn guard(context: Arc<GuardContext>, request: Request<Incoming>) -> Response<ProxyBody> {
    let call = match GuardCall::read(request.headers()) {
        _ if !context.token.is_in(request.headers()) => {
            let kind = RefusalKind::Unauthorized;
            context.counters.count_refusal(kind);
            return own_answer(StatusCode::FORBIDDEN, RequestOutcome::NotRun, kind);
        }
        None => {
            let kind = RefusalKind::Malformed;
            return own_answer(StatusCode::BAD_REQUEST, RequestOutcome::NotRun, kind);
        }
        Some(call) => call,
    };
    let version = request.version();
    let request = request.map(|body| CheckedBody::new(body, version).boxed_unsync());
    pass(context, request, call).await
}

/// Passes one request to the local backend server, or refuses it as not run.
///
/// Also the way of a request whose endpoint is beside the very daemon that it entered by.
pub(crate) async fn pass(
    context: Arc<GuardContext>,
    mut request: Request<ProxyBody>,
    call: GuardCall,
) -> Response<ProxyBody> {
    strip_hop_headers(request.headers_mut());
    strip_own_headers(request.headers_mut());
    let deadline = Instant::now() + call.context().remaining;
    let mut stage = PassStage::Waiting;
    let passed = pass_admitted(&context, request, &call, deadline, &mut stage);
    let response = match tokio::time::timeout_at(deadline + GUARD_GRACE, passed).await {
        Ok(response) => response,
        // Dropping the exchange has closed its connection, which tells the server to give up, and
        // a late answer has no way left to any caller.
        Err(_) => match stage {
            PassStage::Waiting => refuse(RefusalKind::DeadlineTooNear),
            PassStage::Sent => lost_answer(RefusalKind::DeadlinePassed, RequestOutcome::Unknown),
        },
    };
    if let Some(kind) = RefusalKind::read(response.headers()) {
        context.counters.count_refusal(kind);
    }
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
    let alone = match context.quarantine.judge(call.fingerprint) {
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
        Err(Refusal { reason, retry_after }) => {
            let mut response = refuse_until(server.refusal_kind(reason), retry_after);
            write_load(response.headers_mut(), &server);
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
        may_queue: call.may_queue,
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

/// A request that may be sent now, with all that must be given back when it ends.
struct AdmittedRequest {
    permit: AdmitPermit,
    hold: Option<ClaimHold>,
    admitted_at: Instant,
    deadline: Instant,
}

async fn send(
    context: &Arc<GuardContext>,
    server: &Arc<GuardedServer>,
    request: Request<ProxyBody>,
    call: &GuardCall,
    mut admitted: AdmittedRequest,
    stage: &mut PassStage,
) -> Response<ProxyBody> {
    let attempt = context.words.attempt(request.headers()).cloned();
    let mut request = to_server(context, request, server, call, admitted.deadline);
    loop {
        let mut sender = match server.pool.acquire().await {
            Ok(sender) => sender,
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
                let span = (admitted.admitted_at, admitted.deadline);
                let (status, headers) = (response.status(), response.headers());
                let note = context.words.read_answer(status, headers, attempt.as_ref());
                let took = admitted.admitted_at.elapsed();
                let outcome = if status.is_server_error() { "failed" } else { "answered" };
                let times = context.counters.times();
                times.observe(&call.service, outcome, TimeStage::Server, took);
                server.note_end(status.is_server_error());
                return match note.verdict {
                    AnswerVerdict::Sound => answer(response, exchange, admitted.hold, span),
                    verdict => reject(verdict, exchange, admitted.hold).await,
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
                    log::info!("guard: {} lost an answer: {err}.", server.id);
                    return lost(context, server, &admitted.permit, &err);
                }
            },
        }
    }
}

impl AdmittedRequest {
    fn note_sent(&mut self, call: &GuardCall, stage: &mut PassStage) {
        *stage = PassStage::Sent;
        self.permit.note_sent(call.fingerprint);
        self.set_claim(ClaimOutcome::Unknown);
    }

    fn note_unsent(&mut self, stage: &mut PassStage) {
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
    write_load(response.headers_mut(), server);
    response
}

fn answer(
    mut response: Response<Incoming>,
    exchange: ServerExchange,
    hold: Option<ClaimHold>,
    (admitted_at, deadline): (Instant, Instant),
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
    let took = u64::try_from(admitted_at.elapsed().as_micros()).unwrap_or(u64::MAX);
    headers.insert(RAN_HEADER, took.into());
    write_load(headers, &exchange.server);
    response.map(|body| ServedBody::new(body, exchange, deadline + BODY_GRACE).boxed_unsync())
}

/// Ends an exchange whose answer must not reach the caller. Its connection is closed, since what
/// comes next on it may belong to another request.
async fn reject(
    verdict: AnswerVerdict,
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
            refuse(RefusalKind::TurnedAway)
        }
        verdict => {
            log::warn!("guard: {id} gave an answer that is not its own: {verdict:?}.");
            exchange.server.note_end(true);
            lost_answer(RefusalKind::AnswerUnsound, RequestOutcome::Unknown)
        }
    };
    write_load(response.headers_mut(), &exchange.server);
    response
}

/// Tells the daemon of entry how loaded the server is.
fn write_load(headers: &mut HeaderMap, server: &GuardedServer) {
    let wait = u64::try_from(server.gate.wait_hint().as_micros()).unwrap_or(u64::MAX);
    headers.insert(LOAD_HEADER, server.gate.load_percent().into());
    headers.insert(WAIT_HEADER, wait.into());
    headers.insert(FAILING_HEADER, server.failing_permille().into());
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
