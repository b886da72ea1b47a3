//! Test fixture: two administration APIs on one store, and request bodies.
#![allow(dead_code)]

use std::sync::Arc;

use futures::FutureExt;
use magnoliahatch_bench::store::server::StoreServer;
use magnoliahatch_client::admin::Accepted;
use magnoliahatch_client::admin::FleetStatus;
use magnoliahatch_client::admin::client::AdminClient;
use magnoliahatch_client::admin::client_error::AdminClientError;
use magnoliahatch_client::admin::problem::Problem;
use magnoliahatch_client::admin::switchover_result::SwitchoverResult;
use magnoliahatch_client::config_view::ConfigView;
use magnoliahatch_client::store::StoreClient;
use magnoliahatch_daemon::admin::hooks::Hooks;
use magnoliahatch_daemon::admin::hooks::SwitchoverError;
use magnoliahatch_daemon::admin::server::AdminServer;
use magnoliahatch_daemon::config::handle::ConfigHandle;
use serde_json::Value;
use serde_json::json;

use crate::store_support::store;

/// Two administration APIs with their own configuration views on one store.
pub(crate) struct Fleet {
    pub(crate) server: StoreServer,
    pub(crate) store: StoreClient,
    pub(crate) daemons: Vec<(ConfigHandle, AdminServer)>,
}

impl Fleet {
    pub(crate) async fn start() -> Self {
        let (server, store) = store();
        let mut daemons = Vec::new();
        for _ in 0..2 {
            let config = ConfigHandle::spawn(store.clone());
            config.wait_loaded().await;
            let views = config.subscribe();
            let status = move || FleetStatus {
                revision: views.borrow().revision,
                hosts: Default::default(),
                leaving: Default::default(),
            };
            let hooks = Hooks {
                status: Arc::new(status),
                metrics: Arc::new(|| "statements 1\n".to_owned()),
                switchover: Arc::new(|_, order| {
                    let result = match order.member {
                        Some(member) => Ok(SwitchoverResult { term: 2, member }),
                        None => Err(SwitchoverError::NoMajority),
                    };
                    async { result }.boxed()
                }),
            };
            let any = "127.0.0.1:0".parse().unwrap();
            let admin = AdminServer::bind(any, store.clone(), config.subscribe(), hooks).unwrap();
            daemons.push((config, admin));
        }
        Self {
            server,
            store,
            daemons,
        }
    }

    pub(crate) fn operator(&self, index: usize) -> AdminClient {
        let (_, admin) = &self.daemons[index % self.daemons.len()];
        AdminClient::open(vec![admin.addr().to_string()]).unwrap()
    }

    pub(crate) async fn put_accepted(&self, path: &str, version: u64, body: Value) -> u64 {
        let accepted = self.operator(0).put(path, Some(version), &body).await;
        accepted.map(|a: Accepted| a.version).unwrap()
    }

    pub(crate) async fn put_rejected(&self, path: &str, body: Value) -> Problem {
        let result = self.operator(0).put(path, Some(0), &body).await;
        problem(result.map(|a: Accepted| a.version))
    }

    /// The latest configuration, as loaded by a newly started daemon.
    pub(crate) async fn latest(&self) -> Arc<ConfigView> {
        ConfigHandle::spawn(self.store.clone()).wait_loaded().await
    }
}

pub(crate) fn problem<T: std::fmt::Debug>(result: Result<T, AdminClientError>) -> Problem {
    match result {
        Err(AdminClientError::Problem(problem)) => problem,
        other => panic!("expected a problem, got {other:?}"),
    }
}

pub(crate) fn database(prefix: &str, port: u16) -> Value {
    let member = |n: u16| {
        json!({"name": format!("{prefix}-{n}"), "address": format!("127.0.0.1:{}", port + n),
            "data_centre": format!("dc-{}", n.min(2))})
    };
    json!({"members": [member(1), member(2), member(3)], "connections": 16, "slots": 2})
}

pub(crate) fn terms(rate: f64) -> Value {
    json!({"rate": rate, "burst": 10, "max_age_ms": 100})
}
