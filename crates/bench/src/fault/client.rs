//! HTTP client for the API of a fault proxy.

use std::net::SocketAddr;
use std::time::Duration;

use serde::de::DeserializeOwned;

use crate::fault::api::LinkChange;
use crate::fault::client_error::FaultClientError;
use crate::fault::link_report::LinkReport;
use crate::fault::link_settings::LinkSettings;
use crate::fault::source::Source;

/// Timeout of one API request.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(5);

/// HTTP client for the API of a fault proxy.
#[derive(Debug, Clone)]
pub struct FaultClient {
    base_url: String,
    http: reqwest::Client,
}

impl FaultClient {
    /// Creates a client for the API at the proxy's admin address.
    pub fn open(admin: SocketAddr) -> Result<Self, FaultClientError> {
        let http = reqwest::Client::builder()
            .no_proxy()
            .timeout(REQUEST_TIMEOUT)
            .build()?;
        Ok(Self {
            base_url: format!("http://{admin}"),
            http,
        })
    }

    /// Lists all links.
    pub async fn list(&self) -> Result<Vec<LinkReport>, FaultClientError> {
        decode(self.http.get(format!("{}/links", self.base_url))).await
    }

    /// Adds a link. The returned report contains the address it listens on.
    pub async fn add(&self, settings: &LinkSettings) -> Result<LinkReport, FaultClientError> {
        decode(
            self.http
                .post(format!("{}/links", self.base_url))
                .json(settings),
        )
        .await
    }

    /// Registers a process under a name, replacing any earlier entry of that name.
    pub async fn set_source(&self, name: &str, source: &Source) -> Result<(), FaultClientError> {
        let url = format!("{}/sources/{name}", self.base_url);
        send_checked(self.http.put(url).json(source)).await?;
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
                .put(format!("{}/links/{name}", self.base_url))
                .json(change),
        )
        .await
    }
}

async fn decode<T: DeserializeOwned>(
    request: reqwest::RequestBuilder,
) -> Result<T, FaultClientError> {
    Ok(send_checked(request).await?.json().await?)
}

/// Sends a request and turns an error status into an error.
async fn send_checked(
    request: reqwest::RequestBuilder,
) -> Result<reqwest::Response, FaultClientError> {
    let response = request.send().await?;
    if !response.status().is_success() {
        return Err(FaultClientError::Refused(response.text().await?));
    }
    Ok(response)
}
