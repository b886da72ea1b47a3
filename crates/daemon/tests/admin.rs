//! Guards against administration changes that are lost, applied to the wrong version, refused
//! without a usable reason or accepted although they break the configuration.

mod store_support;

use std::sync::Arc;

use futures::FutureExt;
use futures::future::join_all;
use magnoliahatch_bench::store::fault::Answer;
use magnoliahatch_bench::store::fault::Fault;
use magnoliahatch_bench::store::server::StoreServer;
use magnoliahatch_client::admin::Accepted;
use magnoliahatch_client::admin::FleetStatus;
use magnoliahatch_client::admin::NewKey;
use magnoliahatch_client::admin::client::AdminClient;
use magnoliahatch_client::admin::client_error::AdminClientError;
use magnoliahatch_client::admin::contract_report::ContractReport;
use magnoliahatch_client::admin::problem::Problem;
use magnoliahatch_client::admin::problem::ProblemCode;
use magnoliahatch_client::admin::source::Source;
use magnoliahatch_client::admin::switchover_done::SwitchoverDone;
use magnoliahatch_client::admin::versioned::Versioned;
use magnoliahatch_client::config_view::ConfigView;
use magnoliahatch_client::objects::contract::Contract;
use magnoliahatch_client::objects::kind;
use magnoliahatch_client::objects::placement::Placement;
use magnoliahatch_client::store::StoreClient;
use magnoliahatch_daemon::admin::hooks::Hooks;
use magnoliahatch_daemon::admin::hooks::SwitchoverError;
use magnoliahatch_daemon::admin::rules;
use magnoliahatch_daemon::admin::server::AdminServer;
use magnoliahatch_daemon::config::handle::ConfigHandle;
use serde_json::Value;
use serde_json::json;
use store_support::put;
use store_support::store;
use store_support::until;

const DOWN: Fault = Fault::Down {
    answer: Answer::Refuse,
};

/// Two daemons' administration APIs on one store.
struct Fleet {
    server: StoreServer,
    store: StoreClient,
    daemons: Vec<(ConfigHandle, AdminServer)>,
}

impl Fleet {
    async fn start() -> Self {
        let (server, store) = store();
        let mut daemons = Vec::new();
        for _ in 0..2 {
            let config = ConfigHandle::spawn(store.clone());
            config.filled().await;
            let views = config.subscribe();
            let status = move || FleetStatus {
                revision: views.borrow().revision,
                hosts: Default::default(),
            };
            let hooks = Hooks {
                status: Arc::new(status),
                metrics: Arc::new(|| "statements 1\n".to_owned()),
                switchover: Arc::new(|_, order| {
                    let result = match order.member {
                        Some(member) => Ok(SwitchoverDone { term: 2, member }),
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

    fn operator(&self, index: usize) -> AdminClient {
        let (_, admin) = &self.daemons[index % self.daemons.len()];
        AdminClient::open(vec![admin.addr().to_string()]).unwrap()
    }

    async fn accept(&self, path: &str, version: u64, body: Value) -> u64 {
        let accepted = self.operator(0).put(path, Some(version), &body).await;
        accepted.map(|a: Accepted| a.version).unwrap()
    }

    async fn refuse(&self, path: &str, body: Value) -> Problem {
        let result = self.operator(0).put(path, Some(0), &body).await;
        problem(result.map(|a: Accepted| a.version))
    }

    /// The newest configuration as a daemon that starts now would load it.
    async fn newest(&self) -> Arc<ConfigView> {
        ConfigHandle::spawn(self.store.clone()).filled().await
    }
}

fn problem<T: std::fmt::Debug>(result: Result<T, AdminClientError>) -> Problem {
    match result {
        Err(AdminClientError::Problem(problem)) => problem,
        other => panic!("no problem: {other:?}"),
    }
}

fn database(prefix: &str, port: u16) -> Value {
    let member = |n: u16| {
        json!({"name": format!("{prefix}-{n}"), "address": format!("127.0.0.1:{}", port + n),
            "data_centre": format!("dc-{}", n.min(2))})
    };
    json!({"members": [member(1), member(2), member(3)], "connections": 16, "slots": 2})
}

fn terms(rate: f64) -> Value {
    json!({"rate": rate, "burst": 10, "max_age_ms": 100})
}

#[tokio::test]
async fn refused_changes_say_what_to_change() {
    let fleet = Fleet::start().await;
    let mut rated = database("hire", 100);
    rated["member_rate"] = json!(100);
    fleet.accept("/databases/hire", 0, rated).await;
    fleet.accept("/contracts/big", 0, terms(250.0)).await;
    let with = |mut value: Value, field: &str, new: Value| {
        value[field] = new;
        value
    };
    let mut two_members = database("ledger", 200);
    two_members["members"].as_array_mut().unwrap().pop();
    let route = |access: &str, database: &str| json!({"database": database, "access": access});
    let cases = [
        (
            "/contracts/a",
            terms(0.0),
            ProblemCode::InvalidField,
            "`rate`",
        ),
        (
            "/contracts/a",
            with(terms(1.0), "burst", json!(0.5)),
            ProblemCode::InvalidField,
            "`burst`",
        ),
        (
            "/contracts/a",
            with(terms(1.0), "weight", json!(0)),
            ProblemCode::InvalidField,
            "`weight`",
        ),
        (
            "/contracts/a",
            terms(51.0),
            ProblemCode::ContractNotMet,
            "lower a rate",
        ),
        (
            "/contracts/a%20b",
            terms(1.0),
            ProblemCode::InvalidName,
            "letters",
        ),
        (
            "/contracts/a",
            json!({"rate": 1}),
            ProblemCode::InvalidRequest,
            "burst",
        ),
        (
            "/routes/r",
            route("key", "none"),
            ProblemCode::UnknownDatabase,
            "create the database",
        ),
        (
            "/routes/r",
            route("open", "hire"),
            ProblemCode::OpenWithoutOrganisation,
            "name the one",
        ),
        (
            "/routes/r",
            with(route("open", "hire"), "organisation", json!("none")),
            ProblemCode::UnknownOrganisation,
            "create the contract",
        ),
        (
            "/routes/r",
            with(route("key", "hire"), "organisation", json!("big")),
            ProblemCode::InvalidField,
            "leave it out",
        ),
        (
            "/databases/ledger",
            two_members,
            ProblemCode::InvalidField,
            "at least 3",
        ),
        (
            "/databases/ledger",
            database("hire", 200),
            ProblemCode::DuplicateMember,
            "the name",
        ),
        (
            "/databases/ledger",
            database("ledger", 100),
            ProblemCode::DuplicateMember,
            "the address",
        ),
        (
            "/placements/endpoint/hire-9",
            json!({"state": "out"}),
            ProblemCode::UnknownSubject,
            "hire-9",
        ),
    ];
    for (path, body, code, hint) in cases {
        let problem = fleet.refuse(path, body.clone()).await;
        assert_eq!(problem.code, code, "{path} {body}: {problem}");
        assert!(problem.message.contains(hint), "{path} {body}: {problem}");
    }
    let host = json!({"incarnation": 1, "data_centre": "dc-3", "sql": "127.0.0.1:1",
        "admin": "127.0.0.1:2", "control": "127.0.0.1:3"});
    put(&fleet.store, kind::HOST, "h1", 0, host).await;
    for path in ["/placements/host/h1", "/placements/data-centre/dc-3"] {
        let problem = fleet.refuse(path, json!({"state": "out"})).await;
        assert_eq!(problem.code, ProblemCode::NothingLeft, "{path}: {problem}");
    }
    // Nothing but the accepted objects and the host was written.
    assert_eq!(fleet.newest().await.revision, 3);
}

#[tokio::test]
async fn object_in_use_is_not_withdrawn() {
    let fleet = Fleet::start().await;
    let base = fleet
        .accept("/databases/hire", 0, database("hire", 100))
        .await;
    let contract = fleet.accept("/contracts/a", 0, terms(5.0)).await;
    let open = json!({"database": "hire", "access": "open", "organisation": "a"});
    let route = fleet.accept("/routes/r", 0, open).await;
    let operator = fleet.operator(1);
    let delete = |path, version| operator.delete::<Accepted>(path, Some(version));
    let code = problem(delete("/databases/hire", base).await).code;
    assert_eq!(code, ProblemCode::UnknownDatabase);
    let code = problem(delete("/contracts/a", contract).await).code;
    assert_eq!(code, ProblemCode::UnknownOrganisation);
    delete("/routes/r", route).await.unwrap();
    delete("/contracts/a", contract).await.unwrap();
    let last = delete("/databases/hire", base).await.unwrap().version;
    assert_eq!(last, fleet.newest().await.revision);
    let gone = problem(delete("/databases/hire", base).await);
    assert_eq!(gone.code, ProblemCode::NotFound);
}

#[tokio::test]
async fn of_racing_operators_one_wins_and_the_others_learn_the_version() {
    let fleet = Fleet::start().await;
    let mut version = 0;
    for round in 0..10 {
        let operators: Vec<_> = (0..6).map(|index| fleet.operator(index)).collect();
        let calls = operators.iter().enumerate().map(|(index, operator)| {
            let body = terms(f64::from(round * 100 + index as u32 + 1));
            async move { operator.put("/contracts/a", Some(version), &body).await }
        });
        let results: Vec<Result<Accepted, _>> = join_all(calls).await;
        let winner = results.iter().position(Result::is_ok).unwrap();
        let mut conflicts = 0;
        for result in results {
            match result {
                Ok(accepted) => version = accepted.version,
                Err(error) => {
                    assert_eq!(error.exit_code(), 3, "{error}");
                    conflicts += 1;
                }
            }
        }
        assert_eq!(
            conflicts, 5,
            "more than one operator replaced the same version"
        );
        let shown: Versioned<ContractReport> = fleet.operator(1).get("/contracts/a").await.unwrap();
        assert_eq!(shown.version, version);
        assert_eq!(
            shown.value.terms.rate,
            f64::from(round * 100 + winner as u32 + 1)
        );
    }
    let stale = fleet
        .operator(0)
        .put("/contracts/a", Some(1), &terms(1.0))
        .await;
    let stale = problem(stale.map(|a: Accepted| a.version));
    assert_eq!(
        (stale.code, stale.current),
        (ProblemCode::Conflict, Some(version))
    );
}

#[tokio::test]
async fn concurrent_changes_never_break_the_configuration_together() {
    let fleet = Fleet::start().await;
    fleet
        .accept("/databases/hire", 0, database("hire", 100))
        .await;
    let (first, second) = (fleet.operator(0), fleet.operator(1));
    let mut undone = 0;
    for round in 0..20 {
        // Each data centre alone may be taken out, but not both.
        let out = json!({"state": "out"});
        let (a, b) = tokio::join!(
            first.put::<Accepted>("/placements/data-centre/dc-1", None, &out),
            second.put::<Accepted>("/placements/data-centre/dc-2", None, &out),
        );
        assert!(a.is_ok() != b.is_ok(), "round {round}: {a:?} {b:?}");
        let view = fleet.newest().await;
        assert_eq!(rules::broken(&view), [], "round {round}");
        for (result, name) in [(&a, "data-centre/dc-1"), (&b, "data-centre/dc-2")] {
            assert_eq!(result.is_ok(), !view.in_service(name), "round {round}");
        }
        let back = json!({"state": "in"});
        for name in ["dc-1", "dc-2"] {
            let path = format!("/placements/data-centre/{name}");
            first.put::<Accepted>(&path, None, &back).await.unwrap();
        }
        // A database is withdrawn while a route to it is created.
        let name = format!("/databases/d{round}");
        let version = fleet.accept(&name, 0, database("d", 200)).await;
        let route = json!({"database": format!("d{round}"), "access": "key"});
        let path = format!("/routes/r{round}");
        let (a, b) = tokio::join!(
            first.delete::<Accepted>(&name, Some(version)),
            second.put::<Accepted>(&path, Some(0), &route),
        );
        let accepted = (a.is_ok(), b.is_ok());
        assert!(accepted.0 != accepted.1, "round {round}: {a:?} {b:?}");
        let refused = a.err().or(b.err()).unwrap();
        undone += u32::from(refused.exit_code() == 3);
        let view = fleet.newest().await;
        assert_eq!(rules::broken(&view), [], "round {round}");
        let (database, route) = (format!("d{round}"), format!("r{round}"));
        let left = (
            !view.databases.contains_key(&database),
            view.routes.contains_key(&route),
        );
        assert_eq!(accepted, left, "round {round}");
        for (kind, name) in [(kind::ROUTE, route), (kind::DATABASE, database)] {
            if let Some(object) = view.object(kind, &name) {
                let deleted = fleet.store.delete(kind, &name, object.version).await;
                deleted.unwrap();
            }
        }
    }
    // Without a refusal of this kind, the changes did not overlap and the test shows nothing.
    assert!(undone > 0);
    println!("{undone} of 20 withdrawals or creations undone");
}

#[tokio::test]
async fn keys_survive_changes_of_the_contract_and_each_other() {
    let fleet = Fleet::start().await;
    let version = fleet.accept("/contracts/a", 0, terms(5.0)).await;
    let operators: Vec<_> = (0..4).map(|index| fleet.operator(index)).collect();
    let calls = operators
        .iter()
        .map(|operator| operator.post("/contracts/a/keys", None::<&()>));
    let keys: Vec<NewKey> = join_all(calls)
        .await
        .into_iter()
        .map(Result::unwrap)
        .collect();
    let stale = fleet
        .operator(0)
        .put::<Accepted>("/contracts/a", Some(version), &terms(6.0))
        .await;
    assert_eq!(stale.unwrap_err().exit_code(), 3);
    let last = keys.iter().map(|key| key.version).max().unwrap();
    fleet.accept("/contracts/a", last, terms(6.0)).await;
    let contract = || async { fleet.newest().await.contracts["a"].clone() };
    let found: Contract = contract().await;
    for key in &keys {
        assert_eq!(found.authenticate(&key.key), Some(&key.id));
    }
    let path = format!("/contracts/a/keys/{}", keys[1].id);
    let operator = fleet.operator(1);
    operator.delete::<Accepted>(&path, None).await.unwrap();
    let found: Contract = contract().await;
    assert_eq!(found.authenticate(&keys[1].key), None);
    assert_eq!(found.keys.len(), 3);
    let again = problem(operator.delete::<Accepted>(&path, None).await);
    assert_eq!(again.code, ProblemCode::NotFound);
}

#[tokio::test]
async fn lost_store_answers_neither_repeat_nor_deny_a_change() {
    let fleet = Fleet::start().await;
    fleet.server.set_fault(Fault::LostAnswer);
    let version = fleet.accept("/contracts/a", 0, terms(5.0)).await;
    let key: NewKey = fleet
        .operator(1)
        .post("/contracts/a/keys", None::<&()>)
        .await
        .unwrap();
    assert_eq!((version, key.version), (1, 2));
    // Of racing operators, the losers learn the newer version although no answer arrives.
    let operators: Vec<_> = (0..4).map(|index| fleet.operator(index)).collect();
    let body = terms(6.0);
    let calls = operators
        .iter()
        .map(|operator| operator.put::<Accepted>("/contracts/a", Some(2), &body));
    let results = join_all(calls).await;
    assert_eq!(results.iter().filter(|result| result.is_ok()).count(), 1);
    for error in results.into_iter().filter_map(Result::err) {
        assert_eq!(error.exit_code(), 3, "{error}");
    }
    let gone = fleet
        .operator(0)
        .delete::<Accepted>("/contracts/a", Some(3))
        .await;
    assert_eq!(gone.unwrap().version, 4);
    fleet.server.set_fault(Fault::None);
    assert_eq!(fleet.newest().await.revision, 4);
}

#[tokio::test]
async fn outage_refuses_changes_shows_the_view_and_allows_a_switchover() {
    let fleet = Fleet::start().await;
    put(
        &fleet.store,
        kind::DATABASE,
        "hire",
        0,
        database("hire", 100),
    )
    .await;
    let config = &fleet.daemons[1].0;
    until("database in force", || !config.view().databases.is_empty()).await;
    fleet.server.set_fault(DOWN);
    let problem_now = fleet.refuse("/contracts/a", terms(5.0)).await;
    assert_eq!(problem_now.code, ProblemCode::StoreUnavailable);
    assert_eq!(problem_now.exit_code(), 4);
    let operator = fleet.operator(1);
    let shown: Versioned<Value> = operator.get("/databases/hire").await.unwrap();
    assert_eq!((shown.version, shown.source), (1, Source::View));
    let listed: Vec<Versioned<Placement>> = operator.get("/placements").await.unwrap();
    assert!(listed.is_empty());
    let status: FleetStatus = operator.get("/status").await.unwrap();
    assert_eq!(status.revision, 1);
    let order = |member: &str| json!({"member": member});
    let path = "/databases/hire/switchover";
    let done: SwitchoverDone = operator.post(path, Some(&order("hire-2"))).await.unwrap();
    assert_eq!(done.member, "hire-2");
    let unknown = operator
        .post::<SwitchoverDone>(path, Some(&order("x")))
        .await;
    let unknown = problem(unknown);
    assert_eq!(unknown.code, ProblemCode::UnknownMember);
    assert!(
        unknown.message.contains("hire-1, hire-2, hire-3"),
        "{unknown}"
    );
    let failed = problem(
        operator
            .post::<SwitchoverDone>(path, Some(&json!({})))
            .await,
    );
    assert_eq!(failed.code, ProblemCode::SwitchoverFailed);
    fleet.server.set_fault(Fault::None);
    fleet.accept("/contracts/a", 0, terms(5.0)).await;
}

#[tokio::test]
async fn token_secret_is_created_once_and_not_shown() {
    let fleet = Fleet::start().await;
    let create = || async {
        fleet
            .operator(0)
            .post::<Value>("/secrets/token", None::<&()>)
            .await
    };
    assert_eq!(create().await.unwrap(), json!({"version": 1}));
    assert_eq!(problem(create().await).code, ProblemCode::Conflict);
    assert!(fleet.newest().await.secrets["token"].key.len() >= 43);
}
