//! The HTTP server of the operators' interface, which checks tokens and bounds.

use std::net::SocketAddr;

use dropshot::{
    ApiDescription, ConfigDropshot, HttpResponseError, HttpResponseOk,
    HttpResponseUpdatedNoContent, HttpServer, Path, Query, RequestContext, ServerBuilder,
    TypedBody, UntypedBody, endpoint,
};
use http::header;
use schemars::JsonSchema;
use serde::Deserialize;
use sk_ledger::{MAX_CHANGE_ID_BYTES, MalformedChange};
use sk_model::{ChangeRecord, ChangeRequest, Version, check_team, is_content_hash};
use sk_report::{ChangeReport, FleetReport};

use crate::{
    HeartbeatAnswer, HeartbeatBody, LeaveBody, OpsError, ReadyView, ServerAnnouncement,
    SettingsView, SharedPort, StateDump, TeamRecord,
    access::is_token,
    announcement::{check_announcement, check_heartbeat, check_leave},
};

/// Largest request body, in bytes. A change holds at most one subtree, which fits one platform
/// value; JSON escapes may double its size.
const MAX_BODY_BYTES: usize = 2_000_000;
/// Largest number of history records in one answer.
const MAX_HISTORY_RECORDS: usize = 500;

type OpsRequest = RequestContext<SharedPort>;
type OpsResult<T> = Result<HttpResponseOk<T>, OpsError>;

/// A running operators' interface.
pub struct OpsHandle {
    server: HttpServer<SharedPort>,
}

/// Starts the operators' interface.
///
/// # Errors
///
/// Returns an error when the address cannot be bound.
pub fn start_ops(address: SocketAddr, port: SharedPort) -> Result<OpsHandle, OpsError> {
    let config = ConfigDropshot {
        bind_address: address,
        default_request_body_max_bytes: MAX_BODY_BYTES,
        ..ConfigDropshot::default()
    };
    let log = slog::Logger::root(slog::Discard, slog::o!());
    let failed = |err: &dyn ToString| OpsError::Internal { reason: err.to_string() };
    let api = register_endpoints().map_err(|err| failed(&err))?;
    let builder = ServerBuilder::new(api, port, log).config(config);
    Ok(OpsHandle { server: builder.start().map_err(|err| failed(&err))? })
}

impl OpsHandle {
    /// Returns the address that the interface listens on.
    pub fn address(&self) -> SocketAddr {
        self.server.local_addr()
    }

    /// Stops the interface after the calls in flight have ended.
    pub async fn stop(self) {
        if let Err(reason) = self.server.close().await {
            log::warn!("ops: the interface did not stop cleanly: {reason}.");
        }
    }
}

/// Registers all endpoints.
fn register_endpoints() -> Result<ApiDescription<SharedPort>, dropshot::ApiDescriptionRegisterError>
{
    let mut api = ApiDescription::new();
    api.register(post_change)?;
    api.register(get_change)?;
    api.register(get_settings)?;
    api.register(get_history)?;
    api.register(get_report)?;
    api.register(get_change_report)?;
    api.register(get_state)?;
    api.register(put_team)?;
    api.register(put_server)?;
    api.register(get_ready)?;
    api.register(post_beat)?;
    api.register(post_leave)?;
    Ok(api)
}

/// Returns the bearer token of a request.
fn bearer_token(request: &OpsRequest) -> Result<&str, OpsError> {
    let header = request.request.headers().get(header::AUTHORIZATION);
    let token = header.and_then(|value| value.to_str().ok()?.strip_prefix("Bearer "));
    token.ok_or(OpsError::Unauthorised)
}

/// Refuses a request that does not carry the managers' token.
fn require_manager(request: &OpsRequest) -> Result<(), OpsError> {
    match is_token(bearer_token(request)?, request.context().manager_sha256()) {
        true => Ok(()),
        false => Err(OpsError::Unauthorised),
    }
}

/// Checks a team's name, which becomes part of a key in the platform.
fn require_team_name(team: &str) -> Result<(), OpsError> {
    check_team(team).map_err(|err| OpsError::Malformed { reason: err.to_string() })
}

/// Checks the length of a change identifier before any call to the platform; the ledger checks its
/// characters.
fn require_change_id(id: &str) -> Result<(), OpsError> {
    match (1..=MAX_CHANGE_ID_BYTES).contains(&id.len()) {
        true => Ok(()),
        false => Err(OpsError::Malformed { reason: MalformedChange::ChangeId.to_string() }),
    }
}

/// Refuses a request that does not carry the token of `team`.
async fn require_team(request: &OpsRequest, team: &str) -> Result<(), OpsError> {
    let token = bearer_token(request)?;
    require_team_name(team)?;
    match request.context().team(team).await? {
        Some(record) if is_token(token, &record.token_sha256) => Ok(()),
        Some(_) => Err(OpsError::Forbidden { reason: format!("the token is not {team}'s") }),
        None => Err(OpsError::NotFound { what: format!("team {team}") }),
    }
}

#[derive(Deserialize, JsonSchema)]
struct ChangePath {
    id: String,
}

#[derive(Deserialize, JsonSchema)]
struct VersionPath {
    version: Version,
}

#[derive(Deserialize, JsonSchema)]
struct TeamPath {
    team: String,
}

#[derive(Deserialize, JsonSchema)]
struct TeamQuery {
    team: Option<String>,
}

#[derive(Deserialize, JsonSchema)]
struct HistoryQuery {
    from: Option<Version>,
}

/// Submits a change.
#[endpoint { method = POST, path = "/v1/changes" }]
async fn post_change(
    request: OpsRequest,
    body: TypedBody<ChangeRequest>,
) -> OpsResult<ChangeRecord> {
    let change = body.into_inner();
    require_change_id(&change.change_id)?;
    require_team(&request, &change.team).await?;
    let id = change.change_id.clone();
    let result = request.context().submit(change).await;
    if let Err(err) = &result {
        // Only the status is logged, because a reason may quote the content of the change.
        log::info!("ops: change {id:?} ended with status {}.", err.status_code().as_u16());
    }
    Ok(HttpResponseOk(result?))
}

/// Looks up a change.
#[endpoint { method = GET, path = "/v1/changes/{id}" }]
async fn get_change(request: OpsRequest, path: Path<ChangePath>) -> OpsResult<ChangeRecord> {
    bearer_token(&request)?;
    let id = path.into_inner().id;
    require_change_id(&id)?;
    let record = request.context().find_change(&id).await?;
    let record = record.ok_or(OpsError::NotFound { what: format!("change {id}") })?;
    // Without this check, a guessed identifier would show one team's paths and authors to another.
    if require_manager(&request).is_err() {
        require_team(&request, &record.team).await?;
    }
    Ok(HttpResponseOk(record))
}

/// Reads the settings of one team, or of all teams with the managers' token.
#[endpoint { method = GET, path = "/v1/settings" }]
async fn get_settings(request: OpsRequest, query: Query<TeamQuery>) -> OpsResult<SettingsView> {
    let team = query.into_inner().team;
    match &team {
        Some(team) if require_manager(&request).is_err() => require_team(&request, team).await?,
        Some(_) => (),
        None => require_manager(&request)?,
    }
    let mut settings = request.context().read_newest().await?;
    settings.teams.retain(|name, _| team.as_ref().is_none_or(|team| team == name));
    Ok(HttpResponseOk(settings))
}

/// Reads the history of changes.
#[endpoint { method = GET, path = "/v1/history" }]
async fn get_history(
    request: OpsRequest,
    query: Query<HistoryQuery>,
) -> OpsResult<Vec<ChangeRecord>> {
    require_manager(&request)?;
    let from = query.into_inner().from.unwrap_or(1);
    Ok(HttpResponseOk(request.context().history(from, MAX_HISTORY_RECORDS).await?))
}

/// Reports which version each daemon applies.
#[endpoint { method = GET, path = "/v1/report" }]
async fn get_report(request: OpsRequest) -> OpsResult<FleetReport> {
    require_manager(&request)?;
    Ok(HttpResponseOk(request.context().report().await?))
}

/// Reports how one change spread through the fleet.
#[endpoint { method = GET, path = "/v1/report/changes/{version}" }]
async fn get_change_report(
    request: OpsRequest,
    path: Path<VersionPath>,
) -> OpsResult<ChangeReport> {
    require_manager(&request)?;
    let version = path.into_inner().version;
    Ok(HttpResponseOk(request.context().change_report(version).await?))
}

/// Returns the daemon's state. It works without the platform and shows no secret.
#[endpoint { method = GET, path = "/v1/state" }]
async fn get_state(request: OpsRequest) -> OpsResult<StateDump> {
    Ok(HttpResponseOk(request.context().state()))
}

/// Creates a team or replaces its token.
#[endpoint { method = PUT, path = "/v1/teams/{team}" }]
async fn put_team(
    request: OpsRequest,
    path: Path<TeamPath>,
    body: TypedBody<TeamRecord>,
) -> Result<HttpResponseUpdatedNoContent, OpsError> {
    require_manager(&request)?;
    let team = path.into_inner().team;
    require_team_name(&team)?;
    let record = body.into_inner();
    if !is_content_hash(&record.token_sha256) {
        let reason = "`token_sha256`; allowed: 64 hexadecimal digits in lower case".to_owned();
        return Err(OpsError::Malformed { reason });
    }
    request.context().put_team(&team, record).await?;
    log::info!("ops: the token of team {team} was set.");
    Ok(HttpResponseUpdatedNoContent())
}

/// Handles an announcement of the local backend server.
#[endpoint { method = PUT, path = "/v1/server" }]
async fn put_server(
    request: OpsRequest,
    body: TypedBody<ServerAnnouncement>,
) -> Result<HttpResponseUpdatedNoContent, OpsError> {
    let announcement = body.into_inner();
    let sender = request.request.remote_addr().ip();
    let address = check_announcement(&announcement, sender, &request.context().own_ips())?;
    request.context().announce_server(announcement, address)?;
    Ok(HttpResponseUpdatedNoContent())
}

#[derive(Deserialize, JsonSchema)]
struct ServerPath {
    id: String,
}

/// Returns whether the daemon accepts callers' requests: a configuration is in force and the daemon
/// is not stopping.
#[endpoint { method = GET, path = "/v1/ready" }]
async fn get_ready(request: OpsRequest) -> OpsResult<ReadyView> {
    match request.context().ready() {
        Some(version) => Ok(HttpResponseOk(ReadyView { version })),
        None => Err(OpsError::NotReady),
    }
}

/// Handles a heartbeat of the local backend server.
#[endpoint { method = POST, path = "/v1/servers/{id}/heartbeat" }]
async fn post_beat(
    request: OpsRequest,
    path: Path<ServerPath>,
    body: UntypedBody,
) -> OpsResult<HeartbeatAnswer> {
    let id = path.into_inner().id;
    let heartbeat: HeartbeatBody = serde_json::from_slice(body.as_bytes()).map_err(|err| {
        // A heartbeat of an unknown form changes no server; accepted heartbeats stay valid.
        log::warn!("ops: cannot decode a heartbeat of server {id:?}: {err}.");
        OpsError::Malformed { reason: err.to_string() }
    })?;
    let sender = request.request.remote_addr().ip();
    let address = check_heartbeat(&id, &heartbeat, sender, &request.context().own_ips())?;
    request.context().handle_heartbeat(&id, heartbeat, address).await?;
    Ok(HttpResponseOk(HeartbeatAnswer::default()))
}

/// Handles the deregistration of the local backend server. The body may be empty.
#[endpoint { method = POST, path = "/v1/servers/{id}/leave" }]
async fn post_leave(
    request: OpsRequest,
    path: Path<ServerPath>,
    body: UntypedBody,
) -> OpsResult<HeartbeatAnswer> {
    let id = path.into_inner().id;
    let leave = match body.as_bytes() {
        [] => LeaveBody::default(),
        bytes => serde_json::from_slice(bytes).map_err(|err| {
            log::warn!("ops: cannot decode the leave of server {id:?}: {err}.");
            OpsError::Malformed { reason: err.to_string() }
        })?,
    };
    check_leave(&id, request.request.remote_addr().ip(), &request.context().own_ips())?;
    request.context().deregister_server(&id, leave).await?;
    Ok(HttpResponseOk(HeartbeatAnswer::default()))
}
