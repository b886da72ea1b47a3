//! Orders one planned change of primary.

use std::time::Duration;
use std::time::Instant;

use magnoliahatch_client::admin::switchover_done::SwitchoverDone;
use magnoliahatch_core::ids::MemberId;
use magnoliahatch_core::ids::Term;
use tokio::time::timeout;

use crate::admin::hooks::SwitchoverError;
use crate::databases::database::Database;
use crate::election::Command;
use crate::peers::fleet::Fleet;
use crate::switchover::candidate;

/// Time for running transactions to finish. A change of primary may take 6 s in all.
const FINISH_LIMIT: Duration = Duration::from_secs(3);
/// Time for the chosen replica to receive the rest of the log.
const CATCH_UP_LIMIT: Duration = Duration::from_secs(1);
/// Time from the order to fence to the new primary.
const ELECTION_LIMIT: Duration = Duration::from_secs(4);
/// Time that an order stays after its change, in which the peers find the new primary. Their
/// probes run every 20 ms meanwhile.
const LINGER: Duration = Duration::from_millis(300);
/// Interval at which reports of peers and positions of members are looked at.
const POLL: Duration = Duration::from_millis(5);

/// Replaces the primary, by the preferred member or by the best one.
pub async fn run(
    fleet: &Fleet,
    database: &Database,
    preferred: Option<MemberId>,
) -> Result<SwitchoverDone, SwitchoverError> {
    // Orders of one daemon for one database follow each other.
    let _turn = database.changing.lock().await;
    let Some((old, term)) = database.group.primary() else {
        return Err(SwitchoverError::NoMajority);
    };
    if preferred.as_ref() == Some(&old) {
        return Ok(SwitchoverDone { term, member: old });
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
        "planned change of primary"
    );
    let begun = Instant::now();
    let ordered = fleet.orders.add(name.clone(), term);
    let quiet = timeout(FINISH_LIMIT, until(|| is_quiet(fleet, database, term))).await;
    if quiet.is_err() {
        tracing::warn!(
            event = 241,
            database = name,
            "work at the old primary exceeds the limit of a planned change"
        );
    }
    let finished = begun.elapsed();
    let since = fleet.start.elapsed();
    let caught_up = until(|| has_all(database, &old, &chosen, since));
    if timeout(CATCH_UP_LIMIT, caught_up).await.is_err() {
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
    let replaced = timeout(ELECTION_LIMIT, replaced).await;
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
        whole_ms = begun.elapsed().as_millis(),
        "planned change of primary done"
    );
    tokio::spawn(async move {
        tokio::time::sleep(LINGER).await;
        drop(ordered);
    });
    let member = member.ok_or(SwitchoverError::TimedOut)?;
    Ok(SwitchoverDone {
        term: found,
        member,
    })
}

async fn until(check: impl Fn() -> bool) {
    while !check() {
        tokio::time::sleep(POLL).await;
    }
}

/// Whether no live daemon has work at the primary or gives it any.
fn is_quiet(fleet: &Fleet, database: &Database, term: Term) -> bool {
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

/// Whether the chosen member has received what the primary had at `since` or later.
fn has_all(database: &Database, old: &MemberId, chosen: &MemberId, since: Duration) -> bool {
    let (old, chosen) = (database.group.member(old), database.group.member(chosen));
    old.zip(chosen).is_some_and(|(old, chosen)| {
        let current = old.heard >= since;
        current && (chosen.last_term, chosen.received) >= (old.last_term, old.received)
    })
}
