//! Endpoints for the fleet as a whole.

use dropshot::ApiDescription;
use dropshot::ApiDescriptionRegisterError;
use dropshot::Body;
use dropshot::HttpError;
use dropshot::HttpResponseOk;
use dropshot::RequestContext;
use dropshot::endpoint;
use http::Response;
use http::header::CONTENT_TYPE;
use magnoliahatch_client::admin::FleetStatus;

use crate::admin::context::Admin;
use crate::admin::error_response::ErrorResponse;

pub(super) fn register(api: &mut ApiDescription<Admin>) -> Result<(), ApiDescriptionRegisterError> {
    api.register(status_get)?;
    api.register(metrics_get)
}

/// Show what is in force on each seated host
#[endpoint { method = GET, path = "/status" }]
async fn status_get(
    context: RequestContext<Admin>,
) -> Result<HttpResponseOk<FleetStatus>, ErrorResponse> {
    Ok(HttpResponseOk((context.context().hooks.status)()))
}

/// Show this daemon's metrics as text
#[endpoint { method = GET, path = "/metrics" }]
async fn metrics_get(context: RequestContext<Admin>) -> Result<Response<Body>, HttpError> {
    let text = (context.context().hooks.metrics)();
    Response::builder()
        .header(CONTENT_TYPE, "text/plain; charset=utf-8")
        .body(text.into())
        .map_err(|error| HttpError::for_internal_error(error.to_string()))
}
