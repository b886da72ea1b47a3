//! HTTP API of the fault proxy.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use dropshot::ApiDescription;
use dropshot::ConfigDropshot;
use dropshot::HttpError;
use dropshot::HttpResponseCreated;
use dropshot::HttpResponseOk;
use dropshot::HttpResponseUpdatedNoContent;
use dropshot::HttpServer;
use dropshot::Path;
use dropshot::RequestContext;
use dropshot::ServerBuilder;
use dropshot::TypedBody;
use dropshot::endpoint;
use schemars::JsonSchema;
use serde::Deserialize;
use serde::Serialize;

use crate::fault::error::FaultError;
use crate::fault::link::Link;
use crate::fault::link_report::LinkReport;
use crate::fault::link_settings::LinkSettings;
use crate::fault::mode::LinkMode;
use crate::fault::proxy::FaultProxy;
use crate::fault::source::Source;

/// Request to change one link. Absent fields leave the link as it is.
#[derive(Debug, Clone, Default, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct LinkChange {
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub mode: Option<LinkMode>,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub delay_us: Option<u64>,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    #[schemars(with = "Option<String>")]
    pub target: Option<SocketAddr>,
    /// Names of the registered processes whose traffic is cut. Replaces the previous set.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub cut_sources: Option<BTreeSet<String>>,
    /// Permanently stops traffic on the connections open now. New connections work.
    #[serde(default)]
    pub freeze_open: bool,
    /// Resets all open connections.
    #[serde(default)]
    pub reset: bool,
}

#[derive(Debug, Deserialize, JsonSchema)]
struct NamePath {
    name: String,
}

/// Starts the HTTP server on the given address.
pub fn serve(listen: SocketAddr, proxy: FaultProxy) -> Result<HttpServer<FaultProxy>, FaultError> {
    let api_error = |error: &dyn std::fmt::Display| FaultError::Api(error.to_string());
    let mut api = ApiDescription::new();
    api.register(list_links).map_err(|e| api_error(&e))?;
    api.register(add_link).map_err(|e| api_error(&e))?;
    api.register(change_link).map_err(|e| api_error(&e))?;
    api.register(set_source).map_err(|e| api_error(&e))?;
    let config = ConfigDropshot {
        bind_address: listen,
        ..Default::default()
    };
    ServerBuilder::new(api, proxy, slog::Logger::root(slog::Discard, slog::o!()))
        .config(config)
        .start()
        .map_err(|e| api_error(&e))
}

/// Lists all links.
#[endpoint { method = GET, path = "/links" }]
async fn list_links(
    context: RequestContext<FaultProxy>,
) -> Result<HttpResponseOk<Vec<LinkReport>>, HttpError> {
    Ok(HttpResponseOk(
        context.context().map_links(Link::report).await,
    ))
}

/// Adds a link.
#[endpoint { method = POST, path = "/links" }]
async fn add_link(
    context: RequestContext<FaultProxy>,
    body: TypedBody<LinkSettings>,
) -> Result<HttpResponseCreated<LinkReport>, HttpError> {
    let settings = body.into_inner();
    let proxy = context.context();
    proxy.add(&settings).await.map_err(to_http_error)?;
    let report = proxy.with_link(&settings.name, Link::report).await;
    Ok(HttpResponseCreated(report.map_err(to_http_error)?))
}

/// Changes one link.
#[endpoint { method = PUT, path = "/links/{name}" }]
async fn change_link(
    context: RequestContext<FaultProxy>,
    path: Path<NamePath>,
    body: TypedBody<LinkChange>,
) -> Result<HttpResponseOk<LinkReport>, HttpError> {
    let change = body.into_inner();
    let report = context
        .context()
        .with_link(&path.into_inner().name, |link| apply(link, &change))
        .await
        .map_err(to_http_error)?;
    tracing::info!(event = 500, link = report.name, mode = ?report.mode, "link changed");
    Ok(HttpResponseOk(report))
}

/// Registers a process under a name, replacing any earlier entry of that name.
#[endpoint { method = PUT, path = "/sources/{name}" }]
async fn set_source(
    context: RequestContext<FaultProxy>,
    path: Path<NamePath>,
    body: TypedBody<Source>,
) -> Result<HttpResponseUpdatedNoContent, HttpError> {
    let name = path.into_inner().name;
    context.context().set_source(name, body.into_inner());
    Ok(HttpResponseUpdatedNoContent())
}

fn apply(link: &Link, change: &LinkChange) -> LinkReport {
    if let Some(mode) = change.mode {
        link.set_mode(mode);
    }
    if let Some(delay) = change.delay_us {
        link.set_delay(Duration::from_micros(delay));
    }
    if let Some(target) = change.target {
        link.set_target(target);
    }
    if let Some(sources) = &change.cut_sources {
        link.set_cut_sources(sources.clone());
    }
    if change.freeze_open {
        link.freeze_open();
    }
    if change.reset {
        link.reset();
    }
    link.report()
}

fn to_http_error(error: FaultError) -> HttpError {
    let code = Some("refused".to_owned());
    match error {
        FaultError::UnknownLink(_) => HttpError::for_not_found(code, error.to_string()),
        _ => HttpError::for_bad_request(code, error.to_string()),
    }
}
