//! The HTTP server of the operators' interface.

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
use sk_model::{ChangeRecord, ChangeRequest, Version, check_team, is_hash};
use sk_report::{ChangeReport, FleetReport};

use crate::{
    BeatAnswer, HeldView, OpsError, ReadyView, ServerAnnouncement, ServerBeat, SharedPort,
    StateDump, TeamRecord,
    access::is_token,
    announcement::{check_announcement, check_beat},
};

/// A change holds at most one subtree, which fits a platform value; JSON escapes may double it.
const MAX_BODY_BYTES: usize = 2_000_000;
/// Records of history given at once.
const MAX_HISTORY: usize = 500;

type OpsRequest = RequestContext<SharedPort>;
type OpsResult<T> = Result<HttpResponseOk<T>, OpsError>;

/// A running interface.
pub struct OpsHandle {
    server: HttpServer<SharedPort>,
}

/// Starts the interface.
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
    let api = describe_api().map_err(|err| failed(&err))?;
    let builder = ServerBuilder::new(api, port, log).config(config);
    Ok(OpsHandle { server: builder.start().map_err(|err| failed(&err))? })
}

impl OpsHandle {
    /// Gives the address it listens at.
    pub fn address(&self) -> SocketAddr {
        self.server.local_addr()
    }

    /// Stops the interface after the calls in flight.
    pub async fn stop(self) {
        if let Err(reason) = self.server.close().await {
            log::warn!("ops: stopped badly: {reason}.");
        }
    }
}

fn describe_api() -> Result<ApiDescription<SharedPort>, dropshot::ApiDescriptionRegisterError> {
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

fn bearer(request: &OpsRequest) -> Result<&str, OpsError> {
    let header = request.request.headers().get(header::AUTHORIZATION);
    let token = header.and_then(|value| value.to_str().ok()?.strip_prefix("Bearer "));
    token.ok_or(OpsError::Unauthorised)
}

fn require_manager(request: &OpsRequest) -> Result<(), OpsError> {
    match is_token(bearer(request)?, request.context().manager_sha256()) {
        true => Ok(()),
        false => Err(OpsError::Unauthorised),
    }
}

/// Checks a team's name, which becomes part of a key in the platform.
fn require_team_name(team: &str) -> Result<(), OpsError> {
    check_team(team).map_err(|err| OpsError::Malformed { reason: err.to_string() })
}

/// Bounds a change id before anything is asked of the platform; its shape is the ledger's to check.
fn require_change_id(id: &str) -> Result<(), OpsError> {
    match (1..=MAX_CHANGE_ID_BYTES).contains(&id.len()) {
        true => Ok(()),
        false => Err(OpsError::Malformed { reason: MalformedChange::ChangeId.to_string() }),
    }
}

async fn require_team(request: &OpsRequest, team: &str) -> Result<(), OpsError> {
    let token = bearer(request)?;
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
        // The status only: a reason may quote what the change holds.
        log::info!("ops: change {id:?} ended with status {}.", err.status_code().as_u16());
    }
    Ok(HttpResponseOk(result?))
}

/// Looks a change up.
#[endpoint { method = GET, path = "/v1/changes/{id}" }]
async fn get_change(request: OpsRequest, path: Path<ChangePath>) -> OpsResult<ChangeRecord> {
    bearer(&request)?;
    let id = path.into_inner().id;
    require_change_id(&id)?;
    let record = request.context().outcome(&id).await?;
    let record = record.ok_or(OpsError::NotFound { what: format!("change {id}") })?;
    // Without this, a guessed id would show one team's paths and authors to another.
    if require_manager(&request).is_err() {
        require_team(&request, &record.team).await?;
    }
    Ok(HttpResponseOk(record))
}

/// Reads the settings of one team, or of all with the managers' token.
#[endpoint { method = GET, path = "/v1/settings" }]
async fn get_settings(request: OpsRequest, query: Query<TeamQuery>) -> OpsResult<HeldView> {
    let team = query.into_inner().team;
    match &team {
        Some(team) if require_manager(&request).is_err() => require_team(&request, team).await?,
        Some(_) => (),
        None => require_manager(&request)?,
    }
    let mut view = request.context().newest().await?;
    view.teams.retain(|name, _| team.as_ref().is_none_or(|team| team == name));
    Ok(HttpResponseOk(view))
}

/// Reads history.
#[endpoint { method = GET, path = "/v1/history" }]
async fn get_history(
    request: OpsRequest,
    query: Query<HistoryQuery>,
) -> OpsResult<Vec<ChangeRecord>> {
    require_manager(&request)?;
    let from = query.into_inner().from.unwrap_or(1);
    Ok(HttpResponseOk(request.context().history(from, MAX_HISTORY).await?))
}

/// Reports who holds what.
#[endpoint { method = GET, path = "/v1/report" }]
async fn get_report(request: OpsRequest) -> OpsResult<FleetReport> {
    require_manager(&request)?;
    Ok(HttpResponseOk(request.context().report().await?))
}

/// Reports how one change went through the fleet.
#[endpoint { method = GET, path = "/v1/report/changes/{version}" }]
async fn get_change_report(
    request: OpsRequest,
    path: Path<VersionPath>,
) -> OpsResult<ChangeReport> {
    require_manager(&request)?;
    let version = path.into_inner().version;
    Ok(HttpResponseOk(request.context().change_report(version).await?))
}

/// Dumps the daemon's state; it works without the platform and shows no secret.
#[endpoint { method = GET, path = "/v1/state" }]
async fn get_state(request: OpsRequest) -> OpsResult<StateDump> {
    Ok(HttpResponseOk(request.context().state()))
}

/// Creates a team or gives it another token.
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
    if !is_hash(&record.token_sha256) {
        let reason = "`token_sha256`; allowed: 64 hexadecimal digits in lower case".to_owned();
        return Err(OpsError::Malformed { reason });
    }
    request.context().put_team(&team, record).await?;
    log::info!("ops: team {team} has another token.");
    Ok(HttpResponseUpdatedNoContent())
}

/// Takes an announcement of the local backend server.
#[endpoint { method = PUT, path = "/v1/server" }]
async fn put_server(
    request: OpsRequest,
    body: TypedBody<ServerAnnouncement>,
) -> Result<HttpResponseUpdatedNoContent, OpsError> {
    let announcement = body.into_inner();
    let sender = request.request.remote_addr().ip();
    let address = check_announcement(&announcement, sender, &request.context().own_ips())?;
    request.context().announce(announcement, address)?;
    Ok(HttpResponseUpdatedNoContent())
}

#[derive(Deserialize, JsonSchema)]
struct ServerPath {
    id: String,
}

/// Tells whether callers may be sent here: a configuration is in force and the daemon stays.
#[endpoint { method = GET, path = "/v1/ready" }]
async fn get_ready(request: OpsRequest) -> OpsResult<ReadyView> {
    match request.context().ready() {
        Some(version) => Ok(HttpResponseOk(ReadyView { version })),
        None => Err(OpsError::NotReady),
    }
}

/// Takes a heartbeat of the local backend server.
#[endpoint { method = POST, path = "/v1/servers/{id}/heartbeat" }]
async fn post_beat(
    request: OpsRequest,
    path: Path<ServerPath>,
    body: UntypedBody,
) -> OpsResult<BeatAnswer> {
    let id = path.into_inner().id;
    let beat: ServerBeat = serde_json::from_slice(body.as_bytes()).map_err(|err| {
        // Another writer's heartbeat: it names no server, and the others hold.
        log::warn!("ops: a heartbeat of {id:?} cannot be read: {err}.");
        OpsError::Malformed { reason: err.to_string() }
    })?;
    let sender = request.request.remote_addr().ip();
    let address = check_beat(&id, &beat, sender, &request.context().own_ips())?;
    request.context().beat(&id, beat, address)?;
    Ok(HttpResponseOk(BeatAnswer::default()))
}

/// Takes the good-bye of the local backend server.
#[endpoint { method = POST, path = "/v1/servers/{id}/leave" }]
async fn post_leave(request: OpsRequest, path: Path<ServerPath>) -> OpsResult<BeatAnswer> {
    request.context().leave(&path.into_inner().id)?;
    Ok(HttpResponseOk(BeatAnswer::default()))
}
