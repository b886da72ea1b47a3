//! Executes one switchover.

use std::time::Duration;
use std::time::Instant;

use magnoliahatch_client::admin::switchover_result::SwitchoverResult;
use magnoliahatch_core::ids::MemberId;
use magnoliahatch_core::ids::Term;
use tokio::time::timeout;

use crate::admin::hooks::SwitchoverError;
use crate::databases::database::Database;
use crate::election::Command;
use crate::peers::fleet::Fleet;
use crate::switchover::candidate;

/// Timeout for running transactions to finish. The whole switchover may take 6 s.
const FINISH_TIMEOUT: Duration = Duration::from_secs(3);
/// Timeout for the chosen replica to receive the rest of the log.
const CATCH_UP_TIMEOUT: Duration = Duration::from_secs(1);
/// Timeout from the election command until the new primary is known.
const ELECTION_TIMEOUT: Duration = Duration::from_secs(4);
/// Time for which an order is kept after the switchover, in which the peers find the new primary.
/// Their probes run every 20 ms meanwhile.
const ORDER_RETENTION: Duration = Duration::from_millis(300);
/// Interval at which reports of peers and positions of members are checked.
const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Replaces the primary by the preferred member or, if there is none, by the best candidate.
pub async fn run(
    fleet: &Fleet,
    database: &Database,
    preferred: Option<MemberId>,
) -> Result<SwitchoverResult, SwitchoverError> {
    // A daemon executes one switchover of a database at a time.
    let _lock = database.switchover_lock.lock().await;
    let Some((old, term)) = database.group.primary() else {
        return Err(SwitchoverError::NoMajority);
    };
    if preferred.as_ref() == Some(&old) {
        return Ok(SwitchoverResult { term, member: old });
    }
    let chosen = preferred.or_else(|| candidate::choose(database, &old, fleet));
    let chosen = chosen.ok_or(SwitchoverError::NoMajority)?;
    if !database.group.member(&chosen).is_some_and(|m| m.reachable) {
        return Err(SwitchoverError::Unreachable(chosen));
    }
    let name = &database.name;
    tracing::info!(
        event = 240,
        database = name,
        old,
        chosen,
        "switchover started"
    );
    let started = Instant::now();
    let order = fleet.orders.add(name.clone(), term);
    let drained = timeout(FINISH_TIMEOUT, until(|| is_drained(fleet, database, term))).await;
    if drained.is_err() {
        tracing::warn!(
            event = 241,
            database = name,
            "switchover continues although work at the old primary has not finished in time"
        );
    }
    let finished = started.elapsed();
    let since = fleet.start.elapsed();
    let caught_up = until(|| has_caught_up(database, &old, &chosen, since));
    if timeout(CATCH_UP_TIMEOUT, caught_up).await.is_err() {
        return Err(SwitchoverError::Behind(chosen));
    }
    let command = Command::Switchover {
        preferred: Some(chosen),
        replaces: term,
    };
    let sent = database.election.commands.send(command).await;
    sent.map_err(|_| SwitchoverError::TimedOut)?;
    let mut view = database.group.subscribe();
    let replaced = view.wait_for(|view| view.term > term && view.primary.is_some());
    let replaced = timeout(ELECTION_TIMEOUT, replaced).await;
    let (found, member) = match replaced {
        Ok(Ok(view)) => (view.term, view.primary.clone()),
        _ => return Err(SwitchoverError::TimedOut),
    };
    tracing::info!(
        event = 242,
        database = name,
        member,
        term = found,
        finished_ms = finished.as_millis(),
        whole_ms = started.elapsed().as_millis(),
        "switchover complete"
    );
    tokio::spawn(async move {
        tokio::time::sleep(ORDER_RETENTION).await;
        drop(order);
    });
    let member = member.ok_or(SwitchoverError::TimedOut)?;
    Ok(SwitchoverResult {
        term: found,
        member,
    })
}

/// Polls until a condition holds.
async fn until(condition: impl Fn() -> bool) {
    while !condition() {
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

/// Whether every live daemon has closed its gate to the primary and has no work left there.
fn is_drained(fleet: &Fleet, database: &Database, term: Term) -> bool {
    let own = database.gate.state();
    let reports = fleet.reports.borrow();
    let mut live = reports.values().filter(|report| Fleet::is_live(report));
    own.closed == Some(term)
        && own.active == 0
        && live.all(|report| {
            let closed = report.announcement.closed.get(&database.name);
            closed.is_some_and(|closed| closed.term == term && closed.active == 0)
        })
}

/// Whether the chosen member has received the log that the primary had at `since` or later.
fn has_caught_up(database: &Database, old: &MemberId, chosen: &MemberId, since: Duration) -> bool {
    let (old, chosen) = (database.group.member(old), database.group.member(chosen));
    old.zip(chosen).is_some_and(|(old, chosen)| {
        let current = old.observed_at >= since;
        current && (chosen.last_term, chosen.received) >= (old.last_term, old.received)
    })
}
