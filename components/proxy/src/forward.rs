//! From a caller to the daemon beside a backend server.

use std::sync::Arc;

use http::{HeaderValue, Request, Response, StatusCode, Uri, header};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use hyper_util::client::legacy::{Client, connect::HttpConnector};
use rand::seq::IndexedRandom;

use crate::{
    body::{ProxyBody, own_answer},
    outcome::{RequestOutcome, SERVICE_HEADER},
    table::SharedTable,
};

/// What forwarding needs.
pub struct ForwardContext {
    /// The table in force.
    pub table: SharedTable,
    /// Connections to other daemons' guards.
    pub client: Client<HttpConnector, Incoming>,
}

/// Forwards one request and streams its answer back.
pub async fn forward(
    context: Arc<ForwardContext>,
    mut request: Request<Incoming>,
) -> Response<ProxyBody> {
    let table = context.table.load_full();
    let host = request.headers().get(header::HOST).and_then(|host| host.to_str().ok());
    let Some(route) = table.find(host, request.uri().path()) else {
        let text = if table.version() == 0 { "no configuration yet" } else { "no route" };
        let status = match table.version() {
            0 => StatusCode::SERVICE_UNAVAILABLE,
            _ => StatusCode::NOT_FOUND,
        };
        return own_answer(status, RequestOutcome::NotRun, text);
    };
    let Some(endpoint) = route.service.endpoints.choose(&mut rand::rng()) else {
        let status = StatusCode::SERVICE_UNAVAILABLE;
        return own_answer(status, RequestOutcome::NotRun, "no backend server takes work");
    };
    let path = request.uri().path_and_query().map_or("/", |path| path.as_str());
    let uri = format!("http://{}{path}", endpoint.guard);
    let (Ok(uri), Ok(service)) = (uri.parse::<Uri>(), HeaderValue::from_str(&route.service.name))
    else {
        return own_answer(StatusCode::BAD_REQUEST, RequestOutcome::NotRun, "malformed target");
    };
    *request.uri_mut() = uri;
    request.headers_mut().insert(SERVICE_HEADER, service);
    match context.client.request(request).await {
        Ok(response) => response.map(BodyExt::boxed),
        Err(err) if err.is_connect() => {
            log::info!("proxy: {} cannot be reached.", endpoint.proxy);
            let status = StatusCode::SERVICE_UNAVAILABLE;
            own_answer(status, RequestOutcome::NotRun, "backend server cannot be reached")
        }
        Err(err) => {
            log::info!("proxy: lost the answer of {}: {err}.", endpoint.proxy);
            own_answer(StatusCode::BAD_GATEWAY, RequestOutcome::Unknown, "answer was lost")
        }
    }
}
