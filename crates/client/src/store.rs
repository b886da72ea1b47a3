//! Client of the platform's object store.

use std::time::Duration;

use magnoliahatch_core::ids::Revision;
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

/// Handle to the store; clones share one connection pool.
#[derive(Debug, Clone)]
pub struct StoreClient {
    base: String,
    http: reqwest::Client,
}

impl StoreClient {
    /// Opens a client for a base URL such as `http://127.0.0.1:7000`.
    pub fn open(base: &str) -> Result<Self, StoreError> {
        let http = reqwest::Client::builder()
            .no_proxy()
            .connect_timeout(CALL_TIMEOUT)
            .build()
            .map_err(StoreError::Unavailable)?;
        Ok(Self {
            base: base.trim_end_matches('/').to_owned(),
            http,
        })
    }

    /// Reads one object.
    pub async fn get(&self, kind: &str, name: &str) -> Result<StoredObject, StoreError> {
        let request = self
            .http
            .get(self.object_url(kind, name))
            .timeout(CALL_TIMEOUT);
        let answer = request.send().await.map_err(StoreError::Unavailable)?;
        if answer.status() == StatusCode::NOT_FOUND {
            return Err(not_found(kind, name));
        }
        decode(answer).await
    }

    /// Lists all objects of a kind with the store's revision.
    pub async fn list(&self, kind: &str) -> Result<ObjectList, StoreError> {
        let url = format!("{}/objects/{kind}", self.base);
        let request = self.http.get(url).timeout(CALL_TIMEOUT);
        decode(request.send().await.map_err(StoreError::Unavailable)?).await
    }

    /// Writes an object if its version is still `expected` (0: must not exist).
    ///
    /// When the answer was lost, the object is read again: an object that carries this draft's
    /// change id shows that the change took effect.
    pub async fn put(
        &self,
        kind: &str,
        name: &str,
        expected: Revision,
        draft: &Draft,
    ) -> Result<StoredObject, StoreError> {
        match self.put_once(kind, name, expected, draft).await {
            Err(StoreError::Unavailable(cause)) => match self.get(kind, name).await {
                Ok(found) if found.change_id == draft.change_id => Ok(found),
                _ => Err(StoreError::Unavailable(cause)),
            },
            Err(StoreError::Conflict {
                kind,
                name,
                expected,
                current,
            }) => match self.get(&kind, &name).await {
                Ok(found) if found.change_id == draft.change_id => Ok(found),
                _ => Err(StoreError::Conflict {
                    kind,
                    name,
                    expected,
                    current,
                }),
            },
            other => other,
        }
    }

    async fn put_once(
        &self,
        kind: &str,
        name: &str,
        expected: Revision,
        draft: &Draft,
    ) -> Result<StoredObject, StoreError> {
        let request = self
            .http
            .put(self.object_url(kind, name))
            .query(&[("if_version", expected)])
            .json(draft)
            .timeout(CALL_TIMEOUT);
        let answer = request.send().await.map_err(StoreError::Unavailable)?;
        if answer.status() == StatusCode::CONFLICT {
            return Err(conflict(kind, name, expected, answer).await);
        }
        decode(answer).await
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
        let request = self
            .http
            .delete(self.object_url(kind, name))
            .query(&[("if_version", expected)])
            .timeout(CALL_TIMEOUT);
        let answer = request.send().await.map_err(StoreError::Unavailable)?;
        match answer.status() {
            StatusCode::NOT_FOUND => Err(not_found(kind, name)),
            StatusCode::CONFLICT => Err(conflict(kind, name, expected, answer).await),
            _ => success(answer).map(drop),
        }
    }

    /// Waits for changes after a revision; the list is empty when the wait ended first.
    pub async fn watch(&self, after: Revision, wait: Duration) -> Result<ChangeList, StoreError> {
        let wait_ms = u64::try_from(wait.as_millis()).unwrap_or(u64::MAX);
        let request = self
            .http
            .get(format!("{}/watch", self.base))
            .query(&[("after", after), ("wait_ms", wait_ms)])
            .timeout(wait + WATCH_SLACK);
        decode(request.send().await.map_err(StoreError::Unavailable)?).await
    }

    fn object_url(&self, kind: &str, name: &str) -> String {
        // A placement's name contains a slash, which must not become a path separator.
        format!("{}/objects/{kind}/{}", self.base, name.replace('/', "%2F"))
    }
}

async fn decode<T: DeserializeOwned>(answer: reqwest::Response) -> Result<T, StoreError> {
    let body = success(answer)?
        .bytes()
        .await
        .map_err(StoreError::Unavailable)?;
    Ok(serde_json::from_slice(&body)?)
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
