//! Client of the administration API.

use std::time::Duration;

use magnoliahatch_core::ids::Revision;
use reqwest::Method;
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::admin::client_error::AdminClientError;
use crate::admin::problem::Problem;

const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);
/// A change takes up to four store calls of 2 s each; a switchover takes up to its own limit.
const CALL_TIMEOUT: Duration = Duration::from_secs(30);

/// Calls any of several daemons, since each serves the whole API.
#[derive(Debug, Clone)]
pub struct AdminClient {
    addresses: Vec<String>,
    http: reqwest::Client,
}

impl AdminClient {
    /// Opens a client for addresses such as `127.0.0.1:4101`, tried in this order.
    pub fn open(addresses: Vec<String>) -> Result<Self, AdminClientError> {
        let tried = addresses.join(", ");
        let http = reqwest::Client::builder()
            .no_proxy()
            .connect_timeout(CONNECT_TIMEOUT)
            .timeout(CALL_TIMEOUT)
            .build()
            .map_err(|source| AdminClientError::Unreachable { tried, source })?;
        Ok(Self { addresses, http })
    }

    /// Reads from a path such as `/contracts/northwind`.
    pub async fn get<T: DeserializeOwned>(&self, path: &str) -> Result<T, AdminClientError> {
        self.call(Method::GET, path, None, None::<&()>).await
    }

    /// Creates or changes; the version is that which the change replaces.
    pub async fn put<T: DeserializeOwned>(
        &self,
        path: &str,
        version: Option<Revision>,
        body: &impl Serialize,
    ) -> Result<T, AdminClientError> {
        self.call(Method::PUT, path, version, Some(body)).await
    }

    /// Performs an action.
    pub async fn post<T: DeserializeOwned>(
        &self,
        path: &str,
        body: Option<&impl Serialize>,
    ) -> Result<T, AdminClientError> {
        self.call(Method::POST, path, None, body).await
    }

    /// Withdraws; the version is that which the change replaces.
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
        let mut failure = None;
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
                Ok(answer) => return decode(address, answer).await,
                // Without a connection nothing was sent, so the next daemon may be asked.
                Err(source) if source.is_connect() => failure = Some(source),
                // A read may be repeated in any case.
                Err(source) if method == Method::GET => failure = Some(source),
                Err(source) => return Err(lost(address, source)),
            }
        }
        Err(match failure {
            Some(source) => AdminClientError::Unreachable {
                tried: self.addresses.join(", "),
                source,
            },
            None => AdminClientError::NoAddress,
        })
    }
}

async fn decode<T: DeserializeOwned>(
    address: &str,
    answer: reqwest::Response,
) -> Result<T, AdminClientError> {
    let status = answer.status();
    let body = answer.bytes().await;
    let body = body.map_err(|source| lost(address, source))?;
    let form = || AdminClientError::Form {
        address: address.to_owned(),
        status: status.as_u16(),
    };
    if status.is_success() {
        return serde_json::from_slice(&body).map_err(|_| form());
    }
    match serde_json::from_slice::<Problem>(&body) {
        Ok(problem) => Err(AdminClientError::Problem(problem)),
        Err(_) => Err(form()),
    }
}

fn lost(address: &str, source: reqwest::Error) -> AdminClientError {
    AdminClientError::Lost {
        address: address.to_owned(),
        source,
    }
}
