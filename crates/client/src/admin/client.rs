//! Client of the administration API.

use std::time::Duration;

use magnoliahatch_core::ids::Revision;
use reqwest::Method;
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::admin::client_error::AdminClientError;
use crate::admin::problem::Problem;

const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);
/// A change makes up to four store calls of 2 s each; a switchover has its own time limit.
const CALL_TIMEOUT: Duration = Duration::from_secs(30);

/// HTTP client that calls any one of several daemons, since each serves the whole API.
#[derive(Debug, Clone)]
pub struct AdminClient {
    addresses: Vec<String>,
    http: reqwest::Client,
}

impl AdminClient {
    /// Creates a client for addresses such as `127.0.0.1:4101`, which are tried in the given order.
    pub fn open(addresses: Vec<String>) -> Result<Self, AdminClientError> {
        let address_list = addresses.join(", ");
        let http = reqwest::Client::builder()
            .no_proxy()
            .connect_timeout(CONNECT_TIMEOUT)
            .timeout(CALL_TIMEOUT)
            .build()
            .map_err(|source| AdminClientError::Unreachable {
                addresses: address_list,
                source,
            })?;
        Ok(Self { addresses, http })
    }

    /// Sends a GET request to a path such as `/contracts/northwind`.
    pub async fn get<T: DeserializeOwned>(&self, path: &str) -> Result<T, AdminClientError> {
        self.call(Method::GET, path, None, None::<&()>).await
    }

    /// Creates or changes an object. `version` is the version that the change replaces.
    pub async fn put<T: DeserializeOwned>(
        &self,
        path: &str,
        version: Option<Revision>,
        body: &impl Serialize,
    ) -> Result<T, AdminClientError> {
        self.call(Method::PUT, path, version, Some(body)).await
    }

    /// Sends a POST request, which performs an action.
    pub async fn post<T: DeserializeOwned>(
        &self,
        path: &str,
        body: Option<&impl Serialize>,
    ) -> Result<T, AdminClientError> {
        self.call(Method::POST, path, None, body).await
    }

    /// Withdraws an object. `version` is the version to withdraw.
    pub async fn delete<T: DeserializeOwned>(
        &self,
        path: &str,
        version: Option<Revision>,
    ) -> Result<T, AdminClientError> {
        self.call(Method::DELETE, path, version, None::<&()>).await
    }

    async fn call<T: DeserializeOwned>(
        &self,
        method: Method,
        path: &str,
        version: Option<Revision>,
        body: Option<&impl Serialize>,
    ) -> Result<T, AdminClientError> {
        let mut last_error = None;
        for address in &self.addresses {
            let url = format!("http://{address}{path}");
            let mut request = self.http.request(method.clone(), url);
            if let Some(version) = version {
                request = request.query(&[("if_version", version)]);
            }
            if let Some(body) = body {
                request = request.json(body);
            }
            match request.send().await {
                Ok(response) => return decode(address, response).await,
                // No connection means that nothing was sent, so the next daemon can be tried.
                Err(source) if source.is_connect() => last_error = Some(source),
                // Reads are idempotent, so they can always be retried.
                Err(source) if method == Method::GET => last_error = Some(source),
                Err(source) => return Err(response_lost(address, source)),
            }
        }
        Err(match last_error {
            Some(source) => AdminClientError::Unreachable {
                addresses: self.addresses.join(", "),
                source,
            },
            None => AdminClientError::NoAddress,
        })
    }
}

async fn decode<T: DeserializeOwned>(
    address: &str,
    response: reqwest::Response,
) -> Result<T, AdminClientError> {
    let status = response.status();
    let body = response.bytes().await;
    let body = body.map_err(|source| response_lost(address, source))?;
    let unexpected = || AdminClientError::UnexpectedResponse {
        address: address.to_owned(),
        status: status.as_u16(),
    };
    if status.is_success() {
        return serde_json::from_slice(&body).map_err(|_| unexpected());
    }
    match serde_json::from_slice::<Problem>(&body) {
        Ok(problem) => Err(AdminClientError::Problem(problem)),
        Err(_) => Err(unexpected()),
    }
}

fn response_lost(address: &str, source: reqwest::Error) -> AdminClientError {
    AdminClientError::ResponseLost {
        address: address.to_owned(),
        source,
    }
}
