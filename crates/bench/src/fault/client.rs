//! Client of a fault proxy's API.

use std::net::SocketAddr;
use std::time::Duration;

use serde::de::DeserializeOwned;

use crate::fault::api::LinkChange;
use crate::fault::client_error::FaultClientError;
use crate::fault::link_report::LinkReport;
use crate::fault::link_settings::LinkSettings;
use crate::fault::source::Source;

/// Limit of one call.
const CALL_TIMEOUT: Duration = Duration::from_secs(5);

/// Client of a fault proxy's API.
#[derive(Debug, Clone)]
pub struct FaultClient {
    base: String,
    http: reqwest::Client,
}

impl FaultClient {
    /// Opens a client for the proxy's admin address.
    pub fn open(admin: SocketAddr) -> Result<Self, FaultClientError> {
        let http = reqwest::Client::builder()
            .no_proxy()
            .timeout(CALL_TIMEOUT)
            .build()?;
        Ok(Self {
            base: format!("http://{admin}"),
            http,
        })
    }

    /// Lists all links.
    pub async fn list(&self) -> Result<Vec<LinkReport>, FaultClientError> {
        decode(self.http.get(format!("{}/links", self.base))).await
    }

    /// Adds a link; the report contains its address.
    pub async fn add(&self, settings: &LinkSettings) -> Result<LinkReport, FaultClientError> {
        decode(
            self.http
                .post(format!("{}/links", self.base))
                .json(settings),
        )
        .await
    }

    /// Makes a process known, or replaces the one of this name.
    pub async fn set_source(&self, name: &str, source: &Source) -> Result<(), FaultClientError> {
        let url = format!("{}/sources/{name}", self.base);
        accepted(self.http.put(url).json(source)).await?;
        Ok(())
    }

    /// Changes one link.
    pub async fn change(
        &self,
        name: &str,
        change: &LinkChange,
    ) -> Result<LinkReport, FaultClientError> {
        decode(
            self.http
                .put(format!("{}/links/{name}", self.base))
                .json(change),
        )
        .await
    }
}

async fn decode<T: DeserializeOwned>(
    request: reqwest::RequestBuilder,
) -> Result<T, FaultClientError> {
    Ok(accepted(request).await?.json().await?)
}

async fn accepted(request: reqwest::RequestBuilder) -> Result<reqwest::Response, FaultClientError> {
    let answer = request.send().await?;
    if !answer.status().is_success() {
        return Err(FaultClientError::Refused(answer.text().await?));
    }
    Ok(answer)
}
