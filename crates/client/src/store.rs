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
use crate::objects::draft::Draft;
use crate::objects::object_list::ObjectList;
use crate::objects::stored_object::StoredObject;
use crate::store_error::StoreError;

/// Limit for calls other than a watch; the store normally answers in milliseconds.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);
/// Added to a watch's own waiting time for the answer to arrive.
const WATCH_SLACK: Duration = Duration::from_secs(2);

/// Calls of a client and its clones since it was opened.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct StoreTraffic {
    /// A watch counts once.
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
    base: String,
    /// Replaced when a call fails. When a link goes silent, every pooled connection would otherwise
    /// cost one call limit before a new one is opened.
    http: Arc<RwLock<reqwest::Client>>,
    counters: Arc<Counters>,
}

impl StoreClient {
    /// Opens a client for a base URL such as `http://127.0.0.1:7000`.
    pub fn open(base: &str) -> Result<Self, StoreError> {
        Ok(Self {
            base: base.trim_end_matches('/').to_owned(),
            http: Arc::new(RwLock::new(pool().map_err(StoreError::Unavailable)?)),
            counters: Arc::default(),
        })
    }

    /// What the client and its clones have called so far.
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
        let answer = self
            .send(|http| http.get(url).timeout(CALL_TIMEOUT))
            .await?;
        if answer.status() == StatusCode::NOT_FOUND {
            return Err(not_found(kind, name));
        }
        self.decode(answer).await
    }

    /// Lists all objects of a kind with the store's revision.
    pub async fn list(&self, kind: &str) -> Result<ObjectList, StoreError> {
        let url = format!("{}/objects/{kind}", self.base);
        self.decode(
            self.send(|http| http.get(url).timeout(CALL_TIMEOUT))
                .await?,
        )
        .await
    }

    /// Writes an object if its version is still `expected` (0: must not exist).
    ///
    /// When the answer was lost, the object is read again: an object that carries this draft's
    /// change id shows that the change took effect. If it was already replaced, the history tells.
    /// `Unavailable` means that the change may have taken effect; `Conflict`, that it never will.
    pub async fn put(
        &self,
        kind: &str,
        name: &str,
        expected: Revision,
        draft: &Draft,
    ) -> Result<StoredObject, StoreError> {
        let failure = match self.put_once(kind, name, expected, draft).await {
            Err(error @ (StoreError::Unavailable(_) | StoreError::Conflict { .. })) => error,
            other => return other,
        };
        let current = match self.get(kind, name).await {
            Ok(found) if found.change_id == draft.change_id => return Ok(found),
            Ok(found) => found.version,
            Err(StoreError::NotFound { .. }) => 0,
            Err(_) => return Err(failure),
        };
        // A conflict is certain unless the object carries this draft's change id, which it does if
        // the request arrived twice.
        if matches!(failure, StoreError::Conflict { .. }) {
            return Err(failure);
        }
        // At the expected version the request may still arrive. For a creation, the history since
        // an unknown time would be needed.
        if current == expected || expected == 0 {
            return Err(failure);
        }
        let Ok(history) = self.watch(expected, Duration::ZERO).await else {
            return Err(failure);
        };
        let mut objects = history.changes.into_iter().filter_map(|c| c.object);
        match objects.find(|object| object.change_id == draft.change_id) {
            Some(mine) => Ok(mine),
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
        draft: &Draft,
    ) -> Result<StoredObject, StoreError> {
        let url = self.object_url(kind, name);
        let request = |http: &reqwest::Client| {
            http.put(url)
                .query(&[("if_version", expected)])
                .json(draft)
                .timeout(CALL_TIMEOUT)
        };
        let answer = self.send(request).await?;
        if answer.status() == StatusCode::CONFLICT {
            return Err(conflict(kind, name, expected, answer).await);
        }
        self.decode(answer).await
    }

    /// Deletes an object if its version is still `expected`.
    ///
    /// When the answer was lost and the object no longer exists, the deletion is complete,
    /// whoever performed it.
    pub async fn delete(
        &self,
        kind: &str,
        name: &str,
        expected: Revision,
    ) -> Result<(), StoreError> {
        match self.delete_once(kind, name, expected).await {
            Err(StoreError::Unavailable(cause)) => match self.get(kind, name).await {
                Err(StoreError::NotFound { .. }) => Ok(()),
                _ => Err(StoreError::Unavailable(cause)),
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
        let answer = self.send(request).await?;
        match answer.status() {
            StatusCode::NOT_FOUND => Err(not_found(kind, name)),
            StatusCode::CONFLICT => Err(conflict(kind, name, expected, answer).await),
            _ => success(answer).map(drop),
        }
    }

    /// Waits for changes after a revision; the list is empty when the wait ended first.
    pub async fn watch(&self, after: Revision, wait: Duration) -> Result<ChangeList, StoreError> {
        let wait_ms = u64::try_from(wait.as_millis()).unwrap_or(u64::MAX);
        let url = format!("{}/watch", self.base);
        let request = |http: &reqwest::Client| {
            http.get(url)
                .query(&[("after", after), ("wait_ms", wait_ms)])
                .timeout(wait + WATCH_SLACK)
        };
        self.decode(self.send(request).await?).await
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
        let sent = request.url().as_str().len() + body.map_or(0, <[u8]>::len);
        self.counters.calls.fetch_add(1, Ordering::Relaxed);
        self.counters
            .sent_bytes
            .fetch_add(sent as u64, Ordering::Relaxed);
        let failure = match http.execute(request).await {
            Ok(answer) => return Ok(answer),
            Err(failure) => failure,
        };
        if let Ok(fresh) = pool() {
            *self.http.write().unwrap_or_else(PoisonError::into_inner) = fresh;
        }
        Err(StoreError::Unavailable(failure))
    }

    async fn decode<T: DeserializeOwned>(
        &self,
        answer: reqwest::Response,
    ) -> Result<T, StoreError> {
        let body = success(answer)?
            .bytes()
            .await
            .map_err(StoreError::Unavailable)?;
        self.counters
            .received_bytes
            .fetch_add(body.len() as u64, Ordering::Relaxed);
        Ok(serde_json::from_slice(&body)?)
    }

    fn object_url(&self, kind: &str, name: &str) -> String {
        // A placement's name contains a slash, which must not become a path separator.
        format!("{}/objects/{kind}/{}", self.base, name.replace('/', "%2F"))
    }
}

fn pool() -> Result<reqwest::Client, reqwest::Error> {
    reqwest::Client::builder()
        .no_proxy()
        .connect_timeout(CALL_TIMEOUT)
        .build()
}

/// Status 5xx counts as unavailable: the store has not judged the request.
fn success(answer: reqwest::Response) -> Result<reqwest::Response, StoreError> {
    let status = answer.status();
    if status.is_success() {
        Ok(answer)
    } else if status.is_server_error() {
        answer.error_for_status().map_err(StoreError::Unavailable)
    } else {
        Err(StoreError::Status(status.as_u16()))
    }
}

async fn conflict(
    kind: &str,
    name: &str,
    expected: Revision,
    answer: reqwest::Response,
) -> StoreError {
    match answer.json::<Conflict>().await {
        Ok(found) => StoreError::Conflict {
            kind: kind.to_owned(),
            name: name.to_owned(),
            expected,
            current: found.current,
        },
        Err(cause) => StoreError::Unavailable(cause),
    }
}

fn not_found(kind: &str, name: &str) -> StoreError {
    StoreError::NotFound {
        kind: kind.to_owned(),
        name: name.to_owned(),
    }
}
