//! Guards against administration changes that are lost, applied to the wrong version, or accepted
//! although they break a rule in combination with concurrent changes.

mod admin_fleet;
mod store_support;

use admin_fleet::Fleet;
use admin_fleet::database;
use admin_fleet::problem;
use admin_fleet::terms;
use futures::future::join_all;
use magnoliahatch_bench::store::fault::StoreFault;
use magnoliahatch_client::admin::Accepted;
use magnoliahatch_client::admin::NewKey;
use magnoliahatch_client::admin::contract_report::ContractReport;
use magnoliahatch_client::admin::problem::ProblemCode;
use magnoliahatch_client::admin::versioned::Versioned;
use magnoliahatch_client::objects::contract::Contract;
use magnoliahatch_client::objects::kind;
use magnoliahatch_daemon::admin::rules;
use serde_json::json;

#[tokio::test]
async fn one_of_several_concurrent_operators_wins_and_the_others_get_the_version() {
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
        .put_accepted("/databases/hire", 0, database("hire", 100))
        .await;
    let (first, second) = (fleet.operator(0), fleet.operator(1));
    let mut undone = 0;
    for round in 0..20 {
        // Either data centre may be taken out of service, but not both.
        let out = json!({"state": "out"});
        let (a, b) = tokio::join!(
            first.put::<Accepted>("/placements/data-centre/dc-1", None, &out),
            second.put::<Accepted>("/placements/data-centre/dc-2", None, &out),
        );
        assert!(a.is_ok() != b.is_ok(), "round {round}: {a:?} {b:?}");
        let view = fleet.latest().await;
        assert_eq!(rules::violations(&view), [], "round {round}");
        for (result, name) in [(&a, "data-centre/dc-1"), (&b, "data-centre/dc-2")] {
            assert_eq!(result.is_ok(), !view.in_service(name), "round {round}");
        }
        let back = json!({"state": "in"});
        for name in ["dc-1", "dc-2"] {
            let path = format!("/placements/data-centre/{name}");
            first.put::<Accepted>(&path, None, &back).await.unwrap();
        }
        // Deletes a database while a route to it is created.
        let name = format!("/databases/d{round}");
        let version = fleet.put_accepted(&name, 0, database("d", 200)).await;
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
        let view = fleet.latest().await;
        assert_eq!(rules::violations(&view), [], "round {round}");
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
    // If no change was undone, the changes did not overlap and the test proves nothing.
    assert!(undone > 0);
    println!("{undone} of 20 withdrawals or creations undone");
}

#[tokio::test]
async fn keys_survive_changes_of_the_contract_and_each_other() {
    let fleet = Fleet::start().await;
    let version = fleet.put_accepted("/contracts/a", 0, terms(5.0)).await;
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
    fleet.put_accepted("/contracts/a", last, terms(6.0)).await;
    let contract = || async { fleet.latest().await.contracts["a"].clone() };
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
async fn change_whose_store_answer_is_lost_is_applied_once_and_reported() {
    let fleet = Fleet::start().await;
    fleet.server.set_fault(StoreFault::LostAnswer);
    let version = fleet.put_accepted("/contracts/a", 0, terms(5.0)).await;
    let key: NewKey = fleet
        .operator(1)
        .post("/contracts/a/keys", None::<&()>)
        .await
        .unwrap();
    assert_eq!((version, key.version), (1, 2));
    // The operators that lose the race get a conflict although the store's answers are lost.
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
    fleet.server.set_fault(StoreFault::None);
    assert_eq!(fleet.latest().await.revision, 4);
}
