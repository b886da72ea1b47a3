//! Tests of the tasks that wait for a slot at a member.

use std::rc::Rc;
use std::time::Duration;

use magnoliahatch_gateway::clock;
use magnoliahatch_gateway::member::slot_queue::SlotQueue;
use magnoliahatch_gateway::metrics::Metrics;
use magnoliahatch_gateway::model::error_code::ErrorCode;
use magnoliahatch_gateway::model::outcome::Cause;
use magnoliahatch_gateway::model::outcome::failure;
use magnoliahatch_gateway::model::statement_kind::StatementKind;
use magnoliahatch_gateway::policy::admission_request::Request;
use tokio::task::LocalSet;
use tokio::task::spawn_local;

/// Time limit of statements that are expected to get a slot.
const AMPLE: Duration = Duration::from_secs(30);

fn read(limit: Duration) -> Request {
    Request {
        organisation: "org".to_owned(),
        weight: 1.0,
        priority: 0,
        kind: StatementKind::Read,
        deadline: clock::now() + limit,
        in_transaction: false,
    }
}

fn queue(capacity: u32) -> (Rc<SlotQueue>, Rc<Metrics>) {
    let queue = SlotQueue::new("member".to_owned(), capacity);
    (queue, Rc::new(Metrics::open()))
}

async fn run_local(test: impl Future<Output = ()>) {
    LocalSet::new().run_until(test).await;
}

/// Guards against a waiting statement that is not woken when a slot is free, by the end of another
/// statement or by a larger capacity.
#[tokio::test]
async fn waiting_statements_get_free_slots() {
    run_local(async {
        let (queue, metrics) = queue(1);
        let slot = queue.acquire(read(AMPLE), &metrics).await.expect("free");
        let mut waiting = Vec::new();
        for _ in 0..2 {
            let (queue, metrics) = (queue.clone(), metrics.clone());
            waiting.push(spawn_local(async move {
                queue.acquire(read(AMPLE), &metrics).await
            }));
        }
        tokio::task::yield_now().await;
        assert!(!waiting[0].is_finished());
        slot.finish(Duration::from_millis(1));
        let first = waiting.remove(0).await.expect("no panic").expect("a slot");
        tokio::task::yield_now().await;
        assert!(!waiting[0].is_finished());
        queue.set_capacity(2);
        let second = waiting.remove(0).await.expect("no panic").expect("a slot");
        drop((first, second));
        let text = metrics.registry().text();
        assert!(
            text.contains("magnoliahatch_admission_wait_micros_count{class=\"1\"} 2"),
            "{text}"
        );
    })
    .await;
}

/// Guards against a slot that is lost when its caller ends while it waits, or after the slot was
/// granted and before the caller ran again.
#[tokio::test]
async fn slots_of_callers_that_ended_are_not_lost() {
    run_local(async {
        let (queue, metrics) = queue(1);
        let slot = queue.acquire(read(AMPLE), &metrics).await.expect("free");
        let mut waiting = Vec::new();
        for _ in 0..2 {
            let (queue, metrics) = (queue.clone(), metrics.clone());
            waiting.push(spawn_local(async move {
                queue.acquire(read(AMPLE), &metrics).await
            }));
        }
        tokio::task::yield_now().await;
        waiting[0].abort();
        tokio::task::yield_now().await;
        // The first waiting caller is gone, so the second one gets the slot, and ends with it.
        drop(slot);
        waiting[1].abort();
        let ended = waiting.remove(1).await;
        assert!(ended.is_err_and(|e| e.is_cancelled()));
        let slot = queue.acquire(read(AMPLE), &metrics).await;
        assert!(slot.is_ok(), "the slot was lost");
    })
    .await;
}

/// Guards against a statement that waits beyond its deadline at a member that answers nothing, and
/// against a refusal that leaves its place taken.
#[tokio::test]
async fn statement_is_refused_at_its_deadline_without_any_answer() {
    run_local(async {
        let (queue, metrics) = queue(1);
        let slot = queue.acquire(read(AMPLE), &metrics).await.expect("free");
        let refused = queue.acquire(read(Duration::from_millis(30)), &metrics);
        let refused = refused.await.err();
        assert_eq!(refused, Some(failure(ErrorCode::Busy, Cause::Queue)));
        let text = metrics.registry().text();
        let counted =
            text.contains("magnoliahatch_admission_refusals{class=\"1\",cause=\"deadline\"} 1");
        assert!(counted, "{text}");
        drop(slot);
        let slot = queue.acquire(read(AMPLE), &metrics).await;
        assert!(slot.is_ok(), "the slot is still taken");
    })
    .await;
}

/// Guards against slots of statements that the member did not run, which would make it look fast.
#[tokio::test]
async fn statements_that_did_not_run_are_not_measured() {
    run_local(async {
        let (queue, metrics) = queue(1);
        for _ in 0..30 {
            let slot = queue.acquire(read(AMPLE), &metrics).await.expect("free");
            slot.finish(Duration::from_secs(1));
        }
        for _ in 0..30 {
            drop(queue.acquire(read(AMPLE), &metrics).await.expect("free"));
        }
        let _slot = queue.acquire(read(AMPLE), &metrics).await.expect("free");
        // One second each, so this one would be answered after more than 0.5 s.
        let refused = queue.acquire(read(Duration::from_millis(200)), &metrics);
        assert!(refused.await.is_err());
        let text = metrics.registry().text();
        let at_once = "magnoliahatch_admission_refusals{class=\"1\",cause=\"expected_wait\"} 1";
        assert!(text.contains(at_once), "{text}");
    })
    .await;
}
