//! Guards against administration calls that are rejected without a usable reason or accepted
//! although they break a rule, and against a store outage that blocks more than changes.

mod admin_fleet;
mod store_support;

use admin_fleet::Fleet;
use admin_fleet::database;
use admin_fleet::problem;
use admin_fleet::terms;
use magnoliahatch_bench::store::fault::OutageAnswer;
use magnoliahatch_bench::store::fault::StoreFault;
use magnoliahatch_client::admin::Accepted;
use magnoliahatch_client::admin::FleetStatus;
use magnoliahatch_client::admin::problem::ProblemCode;
use magnoliahatch_client::admin::source::Source;
use magnoliahatch_client::admin::switchover_result::SwitchoverResult;
use magnoliahatch_client::admin::versioned::Versioned;
use magnoliahatch_client::objects::kind;
use magnoliahatch_client::objects::placement::Placement;
use serde_json::Value;
use serde_json::json;
use store_support::put;
use store_support::wait_until;

const DOWN: StoreFault = StoreFault::Down {
    answer: OutageAnswer::Refuse,
};

#[tokio::test]
async fn rejected_changes_say_what_to_change() {
    let fleet = Fleet::start().await;
    let mut rated = database("hire", 100);
    rated["member_rate"] = json!(100);
    fleet.put_accepted("/databases/hire", 0, rated).await;
    fleet.put_accepted("/contracts/big", 0, terms(250.0)).await;
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
        let problem = fleet.put_rejected(path, body.clone()).await;
        assert_eq!(problem.code, code, "{path} {body}: {problem}");
        assert!(problem.message.contains(hint), "{path} {body}: {problem}");
    }
    let host = json!({"incarnation": 1, "data_centre": "dc-3", "sql": "127.0.0.1:1",
        "admin": "127.0.0.1:2", "control": "127.0.0.1:3"});
    put(&fleet.store, kind::HOST, "h1", 0, host).await;
    for path in ["/placements/host/h1", "/placements/data-centre/dc-3"] {
        let problem = fleet.put_rejected(path, json!({"state": "out"})).await;
        assert_eq!(problem.code, ProblemCode::NothingLeft, "{path}: {problem}");
    }
    // Only the accepted objects and the host were written.
    assert_eq!(fleet.latest().await.revision, 3);
}

#[tokio::test]
async fn object_in_use_is_not_withdrawn() {
    let fleet = Fleet::start().await;
    let base = fleet
        .put_accepted("/databases/hire", 0, database("hire", 100))
        .await;
    let contract = fleet.put_accepted("/contracts/a", 0, terms(5.0)).await;
    let open = json!({"database": "hire", "access": "open", "organisation": "a"});
    let route = fleet.put_accepted("/routes/r", 0, open).await;
    let operator = fleet.operator(1);
    let delete = |path, version| operator.delete::<Accepted>(path, Some(version));
    let code = problem(delete("/databases/hire", base).await).code;
    assert_eq!(code, ProblemCode::UnknownDatabase);
    let code = problem(delete("/contracts/a", contract).await).code;
    assert_eq!(code, ProblemCode::UnknownOrganisation);
    delete("/routes/r", route).await.unwrap();
    delete("/contracts/a", contract).await.unwrap();
    let last = delete("/databases/hire", base).await.unwrap().version;
    assert_eq!(last, fleet.latest().await.revision);
    let gone = problem(delete("/databases/hire", base).await);
    assert_eq!(gone.code, ProblemCode::NotFound);
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
    wait_until("database in force", || !config.view().databases.is_empty()).await;
    fleet.server.set_fault(DOWN);
    let outage = fleet.put_rejected("/contracts/a", terms(5.0)).await;
    assert_eq!(outage.code, ProblemCode::StoreUnavailable);
    assert_eq!(outage.exit_code(), 4);
    let operator = fleet.operator(1);
    let shown: Versioned<Value> = operator.get("/databases/hire").await.unwrap();
    assert_eq!((shown.version, shown.source), (1, Source::View));
    let listed: Vec<Versioned<Placement>> = operator.get("/placements").await.unwrap();
    assert!(listed.is_empty());
    let status: FleetStatus = operator.get("/status").await.unwrap();
    assert_eq!(status.revision, 1);
    let order = |member: &str| json!({"member": member});
    let path = "/databases/hire/switchover";
    let done: SwitchoverResult = operator.post(path, Some(&order("hire-2"))).await.unwrap();
    assert_eq!(done.member, "hire-2");
    let unknown = operator
        .post::<SwitchoverResult>(path, Some(&order("x")))
        .await;
    let unknown = problem(unknown);
    assert_eq!(unknown.code, ProblemCode::UnknownMember);
    assert!(
        unknown.message.contains("hire-1, hire-2, hire-3"),
        "{unknown}"
    );
    let failed = problem(
        operator
            .post::<SwitchoverResult>(path, Some(&json!({})))
            .await,
    );
    assert_eq!(failed.code, ProblemCode::SwitchoverFailed);
    fleet.server.set_fault(StoreFault::None);
    fleet.put_accepted("/contracts/a", 0, terms(5.0)).await;
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
    assert!(fleet.latest().await.secrets["token"].key.len() >= 43);
}
