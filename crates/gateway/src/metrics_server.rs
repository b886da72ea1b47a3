//! The HTTP server of the metrics.

use std::net::SocketAddr;
use std::sync::Arc;

use dropshot::ApiDescription;
use dropshot::Body;
use dropshot::ConfigDropshot;
use dropshot::HttpError;
use dropshot::HttpServer;
use dropshot::RequestContext;
use dropshot::ServerBuilder;
use dropshot::endpoint;
use http::Response;

use crate::metrics::Registry;
use crate::start_error::StartError;

/// Starts the server on the metrics address of the settings.
pub fn bind(
    address: SocketAddr,
    registry: Arc<Registry>,
) -> Result<HttpServer<Arc<Registry>>, StartError> {
    let mut api = ApiDescription::new();
    api.register(metrics)
        .map_err(|e| StartError::Status(e.to_string()))?;
    let config = ConfigDropshot {
        bind_address: address,
        ..Default::default()
    };
    let log = slog::Logger::root(slog::Discard, slog::o!());
    ServerBuilder::new(api, registry, log)
        .config(config)
        .start()
        .map_err(|e| StartError::Status(e.to_string()))
}

/// Counters and histograms in the text exposition format.
#[endpoint { method = GET, path = "/metrics" }]
async fn metrics(context: RequestContext<Arc<Registry>>) -> Result<Response<Body>, HttpError> {
    let body = Body::from(context.context().text());
    Ok(Response::builder()
        .header("Content-Type", "text/plain; version=0.0.4")
        .body(body)?)
}
