//! Client of the platform's object store.

use std::sync::Arc;
use std::sync::PoisonError;
use std::sync::RwLock;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use magnoliahatch_core::ids::Revision;
use reqwest::RequestBuilder;
use reqwest::StatusCode;
use serde::de::DeserializeOwned;

use crate::objects::change_list::ChangeList;
use crate::objects::conflict::Conflict;
use crate::objects::lenient;
use crate::objects::object_list::ObjectList;
use crate::objects::stored_object::StoredObject;
use crate::objects::write_request::WriteRequest;
use crate::store_error::StoreError;

/// Timeout of all calls but `watch`; the store normally responds within milliseconds.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);
/// Added to the wait time of a watch to allow for the response to arrive.
const WATCH_MARGIN: Duration = Duration::from_secs(2);

/// Calls made by a client and its clones since it was created.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct StoreTraffic {
    /// Each watch counts as one call.
    pub calls: u64,
    /// Bytes of URLs and bodies, without HTTP headers.
    pub sent_bytes: u64,
    pub received_bytes: u64,
}

#[derive(Debug, Default)]
struct Counters {
    calls: AtomicU64,
    sent_bytes: AtomicU64,
    received_bytes: AtomicU64,
}

/// Handle to the store; clones share one connection pool.
#[derive(Debug, Clone)]
pub struct StoreClient {
    base_url: String,
    /// Replaced when a call fails. Otherwise, if the network drops packets silently, each pooled
    /// connection would cost one call timeout before a new connection is opened.
    http: Arc<RwLock<reqwest::Client>>,
    counters: Arc<Counters>,
}

impl StoreClient {
    /// Creates a client for a base URL such as `http://127.0.0.1:7000`.
    pub fn open(base_url: &str) -> Result<Self, StoreError> {
        Ok(Self {
            base_url: base_url.trim_end_matches('/').to_owned(),
            http: Arc::new(RwLock::new(
                build_http_client().map_err(StoreError::Unavailable)?,
            )),
            counters: Arc::default(),
        })
    }

    /// Returns the traffic of the client and its clones so far.
    pub fn traffic(&self) -> StoreTraffic {
        let read = |counter: &AtomicU64| counter.load(Ordering::Relaxed);
        StoreTraffic {
            calls: read(&self.counters.calls),
            sent_bytes: read(&self.counters.sent_bytes),
            received_bytes: read(&self.counters.received_bytes),
        }
    }

    /// Reads one object.
    pub async fn get(&self, kind: &str, name: &str) -> Result<StoredObject, StoreError> {
        let url = self.object_url(kind, name);
        let response = self
            .send(|http| http.get(url).timeout(CALL_TIMEOUT))
            .await?;
        if response.status() == StatusCode::NOT_FOUND {
            return Err(not_found_error(kind, name));
        }
        self.decode(response).await
    }

    /// Lists all objects of a kind, with the store's revision.
    pub async fn list(&self, kind: &str) -> Result<ObjectList, StoreError> {
        let url = format!("{}/objects/{kind}", self.base_url);
        let response = self
            .send(|http| http.get(url).timeout(CALL_TIMEOUT))
            .await?;
        Ok(lenient::object_list(&self.text(response).await?)?)
    }

    /// Writes an object if its version is still `expected`; 0 means that it must not exist yet.
    ///
    /// If the response was lost, the object is read again: if it has this request's change id, the
    /// write took effect. If the object has been replaced since, the change history is searched.
    /// `Unavailable` means that the write may have taken effect, `Conflict` that it never will.
    pub async fn put(
        &self,
        kind: &str,
        name: &str,
        expected: Revision,
        write_request: &WriteRequest,
    ) -> Result<StoredObject, StoreError> {
        let error = match self.put_once(kind, name, expected, write_request).await {
            Err(error @ (StoreError::Unavailable(_) | StoreError::Conflict { .. })) => error,
            other => return other,
        };
        let current = match self.get(kind, name).await {
            Ok(found) if found.change_id == write_request.change_id => return Ok(found),
            Ok(found) => found.version,
            Err(StoreError::NotFound { .. }) => 0,
            Err(_) => return Err(error),
        };
        // The object does not carry this request's change id, so the conflict is not the result of
        // this request having arrived twice.
        if matches!(error, StoreError::Conflict { .. }) {
            return Err(error);
        }
        // While the object has the expected version, the request may still arrive. A creation
        // cannot be resolved, since it is unknown how far back the history must be searched.
        if current == expected || expected == 0 {
            return Err(error);
        }
        let Ok(history) = self.watch(expected, Duration::ZERO).await else {
            return Err(error);
        };
        let mut objects = history.changes.into_iter().filter_map(|c| c.object);
        match objects.find(|object| object.change_id == write_request.change_id) {
            Some(written) => Ok(written),
            None => Err(StoreError::Conflict {
                kind: kind.to_owned(),
                name: name.to_owned(),
                expected,
                current,
            }),
        }
    }

    async fn put_once(
        &self,
        kind: &str,
        name: &str,
        expected: Revision,
        write_request: &WriteRequest,
    ) -> Result<StoredObject, StoreError> {
        let url = self.object_url(kind, name);
        let request = |http: &reqwest::Client| {
            http.put(url)
                .query(&[("if_version", expected)])
                .json(write_request)
                .timeout(CALL_TIMEOUT)
        };
        let response = self.send(request).await?;
        if response.status() == StatusCode::CONFLICT {
            return Err(conflict_error(kind, name, expected, response).await);
        }
        self.decode(response).await
    }

    /// Deletes an object if its version is still `expected`.
    ///
    /// If the response was lost and the object no longer exists, the deletion counts as successful,
    /// even if another writer performed it.
    pub async fn delete(
        &self,
        kind: &str,
        name: &str,
        expected: Revision,
    ) -> Result<(), StoreError> {
        match self.delete_once(kind, name, expected).await {
            Err(StoreError::Unavailable(error)) => match self.get(kind, name).await {
                Err(StoreError::NotFound { .. }) => Ok(()),
                _ => Err(StoreError::Unavailable(error)),
            },
            other => other,
        }
    }

    async fn delete_once(
        &self,
        kind: &str,
        name: &str,
        expected: Revision,
    ) -> Result<(), StoreError> {
        let url = self.object_url(kind, name);
        let request = |http: &reqwest::Client| {
            http.delete(url)
                .query(&[("if_version", expected)])
                .timeout(CALL_TIMEOUT)
        };
        let response = self.send(request).await?;
        match response.status() {
            StatusCode::NOT_FOUND => Err(not_found_error(kind, name)),
            StatusCode::CONFLICT => Err(conflict_error(kind, name, expected, response).await),
            _ => check_status(response).map(drop),
        }
    }

    /// Waits for changes after a revision. The list is empty if none occurs within `wait`.
    pub async fn watch(&self, after: Revision, wait: Duration) -> Result<ChangeList, StoreError> {
        let wait_ms = u64::try_from(wait.as_millis()).unwrap_or(u64::MAX);
        let url = format!("{}/watch", self.base_url);
        let request = |http: &reqwest::Client| {
            http.get(url)
                .query(&[("after", after), ("wait_ms", wait_ms)])
                .timeout(wait + WATCH_MARGIN)
        };
        let response = self.send(request).await?;
        Ok(lenient::change_list(&self.text(response).await?)?)
    }

    async fn send(
        &self,
        request: impl FnOnce(&reqwest::Client) -> RequestBuilder,
    ) -> Result<reqwest::Response, StoreError> {
        let http = self
            .http
            .read()
            .unwrap_or_else(PoisonError::into_inner)
            .clone();
        let request = request(&http).build().map_err(StoreError::Unavailable)?;
        let body = request.body().and_then(|body| body.as_bytes());
        let sent_bytes = request.url().as_str().len() + body.map_or(0, <[u8]>::len);
        self.counters.calls.fetch_add(1, Ordering::Relaxed);
        self.counters
            .sent_bytes
            .fetch_add(sent_bytes as u64, Ordering::Relaxed);
        let error = match http.execute(request).await {
            Ok(response) => return Ok(response),
            Err(error) => error,
        };
        if let Ok(new_client) = build_http_client() {
            *self.http.write().unwrap_or_else(PoisonError::into_inner) = new_client;
        }
        Err(StoreError::Unavailable(error))
    }

    async fn decode<T: DeserializeOwned>(
        &self,
        response: reqwest::Response,
    ) -> Result<T, StoreError> {
        Ok(serde_json::from_str(&self.text(response).await?)?)
    }

    /// Reads the body. Bytes that are no UTF-8 are replaced, since they may belong to one object of
    /// many.
    async fn text(&self, response: reqwest::Response) -> Result<String, StoreError> {
        let body = check_status(response)?
            .bytes()
            .await
            .map_err(StoreError::Unavailable)?;
        self.counters
            .received_bytes
            .fetch_add(body.len() as u64, Ordering::Relaxed);
        Ok(String::from_utf8_lossy(&body).into_owned())
    }

    fn object_url(&self, kind: &str, name: &str) -> String {
        // Names of placements contain a slash, which must not act as a path separator.
        format!(
            "{}/objects/{kind}/{}",
            self.base_url,
            name.replace('/', "%2F")
        )
    }
}

fn build_http_client() -> Result<reqwest::Client, reqwest::Error> {
    reqwest::Client::builder()
        .no_proxy()
        .connect_timeout(CALL_TIMEOUT)
        .build()
}

/// Checks the status. 5xx counts as unavailable, since the store has not decided on the request.
fn check_status(response: reqwest::Response) -> Result<reqwest::Response, StoreError> {
    let status = response.status();
    if status.is_success() {
        Ok(response)
    } else if status.is_server_error() {
        response.error_for_status().map_err(StoreError::Unavailable)
    } else {
        Err(StoreError::Status(status.as_u16()))
    }
}

async fn conflict_error(
    kind: &str,
    name: &str,
    expected: Revision,
    response: reqwest::Response,
) -> StoreError {
    match response.json::<Conflict>().await {
        Ok(found) => StoreError::Conflict {
            kind: kind.to_owned(),
            name: name.to_owned(),
            expected,
            current: found.current,
        },
        Err(error) => StoreError::Unavailable(error),
    }
}

fn not_found_error(kind: &str, name: &str) -> StoreError {
    StoreError::NotFound {
        kind: kind.to_owned(),
        name: name.to_owned(),
    }
}
