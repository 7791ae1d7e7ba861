//! From another daemon to the local backend server, which only this daemon sends to.

use std::sync::Arc;

use http::{Request, Response, StatusCode, Uri};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use hyper_util::client::legacy::{Client, connect::HttpConnector};
use sk_member::EndpointStatus;

use crate::{
    body::{ProxyBody, own_answer},
    local::LocalServers,
    outcome::{RequestOutcome, SERVICE_HEADER},
};

/// What the guard needs.
pub struct GuardContext {
    /// Backend servers beside this daemon.
    pub servers: Arc<LocalServers>,
    /// Connections to them.
    pub client: Client<HttpConnector, Incoming>,
}

/// Passes one request to the local backend server, or refuses it as not run.
pub async fn guard(
    context: Arc<GuardContext>,
    mut request: Request<Incoming>,
) -> Response<ProxyBody> {
    let service = request.headers_mut().remove(SERVICE_HEADER);
    let service = service.as_ref().and_then(|service| service.to_str().ok()).unwrap_or("");
    let server = context.servers.find(service);
    let refusal = match &server {
        None => Some("no such backend server here"),
        Some(server) if server.endpoint.status == EndpointStatus::Draining => Some("draining"),
        Some(_) => None,
    };
    let (Some(server), None) = (server, refusal) else {
        let text = refusal.unwrap_or("refused");
        return own_answer(StatusCode::SERVICE_UNAVAILABLE, RequestOutcome::NotRun, text);
    };
    let path = request.uri().path_and_query().map_or("/", |path| path.as_str());
    let Ok(uri) = format!("http://{}{path}", server.address).parse::<Uri>() else {
        return own_answer(StatusCode::BAD_REQUEST, RequestOutcome::NotRun, "malformed target");
    };
    *request.uri_mut() = uri;
    match context.client.request(request).await {
        Ok(response) => response.map(BodyExt::boxed),
        Err(err) if err.is_connect() => {
            let status = StatusCode::SERVICE_UNAVAILABLE;
            own_answer(status, RequestOutcome::NotRun, "backend server does not accept")
        }
        Err(err) => {
            log::info!("proxy: the local server's answer was lost: {err}.");
            own_answer(StatusCode::BAD_GATEWAY, RequestOutcome::Unknown, "answer was lost")
        }
    }
}
