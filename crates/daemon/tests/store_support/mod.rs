//! Test fixture: stand-in for the store, and helpers that write to it.
#![allow(dead_code)]

use std::net::SocketAddr;
use std::time::Duration;

use magnoliahatch_bench::store::server::StoreServer;
use magnoliahatch_bench::store::settings::StoreSettings;
use magnoliahatch_client::change_id;
use magnoliahatch_client::objects::stored_object::StoredObject;
use magnoliahatch_client::objects::write_request::WriteRequest;
use magnoliahatch_client::store::StoreClient;
use serde_json::Value;
use serde_json::json;

/// Timeout of every wait; far longer than needed, so that tests pass on a busy machine.
pub(crate) const TIMEOUT: Duration = Duration::from_secs(30);

pub(crate) fn store() -> (StoreServer, StoreClient) {
    store_at("127.0.0.1:0".parse().unwrap())
}

pub(crate) fn store_at(listen: SocketAddr) -> (StoreServer, StoreClient) {
    let settings: StoreSettings = serde_json::from_value(json!({"listen": listen})).unwrap();
    let server = StoreServer::bind(&settings).unwrap();
    let client = StoreClient::open(&server.url()).unwrap();
    (server, client)
}

pub(crate) async fn put(
    store: &StoreClient,
    kind: &str,
    name: &str,
    version: u64,
    value: Value,
) -> StoredObject {
    let write_request = WriteRequest {
        change_id: change_id::generate(),
        value,
    };
    store
        .put(kind, name, version, &write_request)
        .await
        .unwrap()
}

pub(crate) fn contract(rate: f64) -> Value {
    json!({"rate": rate, "burst": 10, "max_age_ms": 0})
}

/// Polls until the condition holds; panics after [`TIMEOUT`].
pub(crate) async fn wait_until(what: &str, mut condition: impl FnMut() -> bool) {
    let poll = async {
        while !condition() {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    };
    let done = tokio::time::timeout(TIMEOUT, poll).await;
    assert!(done.is_ok(), "not reached: {what}");
}
