//! Writes objects to the store.

use magnoliahatch_client::change_id;
use magnoliahatch_client::objects::stored_object::StoredObject;
use magnoliahatch_client::objects::write_request::WriteRequest;
use magnoliahatch_client::store::StoreClient;
use magnoliahatch_client::store_error::StoreError;
use magnoliahatch_core::ids::Revision;
use serde::Serialize;

use crate::harness::error::HarnessError;

/// Writes an object over whatever version the store holds.
pub async fn put(
    store: &StoreClient,
    kind: &str,
    name: &str,
    value: &impl Serialize,
) -> Result<StoredObject, HarnessError> {
    let write_request = WriteRequest {
        change_id: change_id::generate(),
        value: serde_json::to_value(value)?,
    };
    let mut version: Revision = match store.get(kind, name).await {
        Ok(object) => object.version,
        Err(StoreError::NotFound { .. }) => 0,
        Err(error) => return Err(error.into()),
    };
    loop {
        match store.put(kind, name, version, &write_request).await {
            Err(StoreError::Conflict { current, .. }) if current != version => version = current,
            other => return Ok(other?),
        }
    }
}
