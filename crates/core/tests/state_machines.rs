//! Guards against wrong decisions on confirmations, outcomes, session state and the reuse of pooled
//! connections.

use std::collections::BTreeMap;
use std::time::Duration;

use magnoliahatch_core::confirm::ConfirmationStatus;
use magnoliahatch_core::confirm::PendingConfirmations;
use magnoliahatch_core::connection_state::ConnectionState;
use magnoliahatch_core::outcome::Outcome;
use magnoliahatch_core::outcome::Progress;
use magnoliahatch_core::outcome::Resolution;
use magnoliahatch_core::position::LogPosition;
use magnoliahatch_core::primary_wait::PrimaryWaitLimit;
use magnoliahatch_core::session::Session;
use magnoliahatch_core::session::TxStatus;
use magnoliahatch_core::statement_class::StatementClass;
use magnoliahatch_core::variable::SetVariable;
use proptest::prelude::*;

proptest! {
    /// An answer is released as confirmed only by a confirmation of its own term that covers its
    /// position. That confirmation or a newer term releases every answer.
    #[test]
    fn answers_are_confirmed_only_by_their_own_term(
        events in prop::collection::vec((any::<bool>(), 1..4u64, 0..20u64), 1..60),
    ) {
        let mut confirmations = PendingConfirmations::default();
        let mut waiting = BTreeMap::new();
        let mut confirmed_index: BTreeMap<u64, u64> = BTreeMap::new();
        let mut term = 0;
        for (add, event_term, index) in events {
            let position = LogPosition { term: event_term, index };
            if add {
                match confirmations.add(position) {
                    Ok(id) => drop(waiting.insert(id, position)),
                    Err(ConfirmationStatus::Confirmed) => {
                        prop_assert!(
                            confirmed_index.get(&event_term).is_some_and(|known| *known >= index)
                        );
                    }
                    Err(ConfirmationStatus::Unknown) => prop_assert!(event_term < term),
                }
            } else {
                term = term.max(event_term);
                let known = confirmed_index.entry(event_term).or_default();
                *known = index.max(*known);
                for (id, verdict) in confirmations.on_confirmed(event_term, index) {
                    let position: LogPosition = waiting.remove(&id).expect("answer was waiting");
                    if verdict == ConfirmationStatus::Confirmed {
                        prop_assert!(confirmed_index[&position.term] >= position.index);
                        prop_assert_eq!(position.term, event_term);
                    } else {
                        prop_assert!(position.term < term);
                    }
                }
                for position in waiting.values() {
                    prop_assert!(position.term >= term);
                    prop_assert!(position.term > term || position.index > confirmed_index[&term]);
                }
            }
            prop_assert_eq!(confirmations.next_awaited_position(), waiting.values().min().copied());
        }
    }

    /// A request that may have had an effect is never retried, nor reported as not run.
    #[test]
    fn requests_with_an_effect_are_never_repeated(bits in 0..64u8) {
        let bit = |at: u8| bits & (1 << at) != 0;
        let progress = Progress {
            sent: bit(0),
            inside: bit(1),
            read: bit(2),
            refused: bit(3),
            complete: bit(4),
            relayed: bit(5),
        };
        let no_effect = !progress.sent || progress.refused;
        if progress.resolve() == Resolution::Retry {
            prop_assert!(no_effect || progress.read);
            prop_assert!(!progress.relayed && !progress.inside);
        }
        if progress.outcome() == Outcome::NotRun {
            prop_assert!(no_effect || progress.inside);
        }
    }

    /// After its set-up statements, a connection has exactly the session's organisation and
    /// variables, whatever its state was before.
    #[test]
    fn setup_sets_exactly_the_variables_of_the_session(
        steps in prop::collection::vec(
            ("[ab]", prop::collection::btree_map("[x-z]", "[0-9]", 0..3), any::<bool>()),
            1..12,
        ),
    ) {
        let mut link = ConnectionState::fresh();
        let mut connection_state: (String, BTreeMap<String, String>) =
            ("proxy".to_owned(), BTreeMap::new());
        for (organisation, variables, fails) in steps {
            let mut session = Session::default();
            for (name, value) in &variables {
                session.set_variable(name.clone(), value.clone());
            }
            let needs = link.setup_statements(&organisation, &session);
            if !needs.is_empty() {
                link.on_setup_sent();
            }
            // If the set-up fails, some of its statements may have taken effect.
            let done = if fails { needs.len() / 2 } else { needs.len() };
            for need in needs.iter().take(done) {
                apply_to_connection(&mut connection_state, need);
            }
            if done == needs.len() {
                link.on_ready(&organisation, &session);
                prop_assert_eq!(&connection_state.0, &organisation);
                prop_assert_eq!(&connection_state.1, &variables);
            }
        }
    }

    /// The session's variables after each transaction equal those of a database that runs the same
    /// statements.
    #[test]
    fn variables_follow_transactions(
        steps in prop::collection::vec((0..6u8, 0..3u8), 1..30),
    ) {
        let mut session = Session::default();
        let mut committed: BTreeMap<String, String> = BTreeMap::new();
        let mut open: Option<Vec<(String, BTreeMap<String, String>)>> = None;
        let mut current = committed.clone();
        for (step, argument) in steps {
            let name = format!("v{argument}");
            let class = match step {
                0 if open.is_none() => {
                    open = Some(Vec::new());
                    StatementClass::Begin { read_only: false }
                }
                1 => {
                    current.insert(name.clone(), step.to_string());
                    set(&name, Some("1"))
                }
                2 => {
                    current.remove(&name);
                    set(&name, None)
                }
                3 if open.is_some() => {
                    let savepoints = open.as_mut().expect("open");
                    savepoints.push((name.clone(), current.clone()));
                    StatementClass::Savepoint(name)
                }
                4 if open.as_ref().is_some_and(|o| o.iter().any(|(n, _)| *n == name)) => {
                    let savepoints = open.as_mut().expect("open");
                    let at = savepoints.iter().rposition(|(n, _)| *n == name).expect("found");
                    savepoints.truncate(at + 1);
                    current = savepoints[at].1.clone();
                    StatementClass::RollbackTo(name)
                }
                5 if open.is_some() => {
                    open = None;
                    if argument == 0 {
                        current = committed.clone();
                        StatementClass::Rollback
                    } else {
                        StatementClass::Commit
                    }
                }
                _ => continue,
            };
            if open.is_none() {
                committed = current.clone();
            }
            session.on_complete(&class);
            let status = if open.is_some() { TxStatus::Open } else { TxStatus::Idle };
            session.on_ready(status, false);
            prop_assert_eq!(session.variables(), &committed);
        }
    }
}

fn set(name: &str, value: Option<&str>) -> StatementClass {
    StatementClass::Set(SetVariable {
        name: name.to_owned(),
        value: value.map(str::to_owned),
        local: false,
    })
}

fn apply_to_connection(connection_state: &mut (String, BTreeMap<String, String>), sql: &str) {
    let words: Vec<&str> = sql.split(' ').collect();
    match words.as_slice() {
        ["RESET", "ALL"] => connection_state.1.clear(),
        ["RESET", name] => drop(connection_state.1.remove(*name)),
        ["SET", "SESSION", "AUTHORIZATION", name] => {
            connection_state.0 = name.trim_matches('"').to_owned()
        }
        ["SET", name, "=", value] => drop(
            connection_state
                .1
                .insert((*name).to_owned(), (*value).to_owned()),
        ),
        other => panic!("unexpected {other:?}"),
    }
}

#[test]
fn tainted_or_busy_connection_is_not_reused() {
    let mut link = ConnectionState::fresh();
    assert!(link.reusable(TxStatus::Idle));
    assert!(!link.reusable(TxStatus::Open));
    assert!(!link.reusable(TxStatus::Failed));
    link.mark_unusable();
    assert!(!link.reusable(TxStatus::Idle));
}

#[test]
fn statements_on_a_connection_are_bounded() {
    let mut link = ConnectionState::fresh();
    let closed: Vec<_> = (0..300)
        .filter_map(|at| link.add_statement(&at.to_string()))
        .collect();
    assert_eq!(closed.len(), 300 - 256);
    assert!(!link.has_statement(&closed[0]) && link.has_statement("299"));
}

#[test]
fn waiting_statements_are_limited_in_number_and_time() {
    let second = Duration::from_secs(1);
    let mut hold = PrimaryWaitLimit::new(2, 5 * second);
    assert_eq!(hold.on_wait(second, 3 * second), Some(3 * second));
    assert_eq!(hold.on_wait(second, 60 * second), Some(6 * second));
    assert_eq!(hold.on_wait(second, 60 * second), None);
    hold.on_wait_end();
    assert!(hold.on_wait(second, 60 * second).is_some());
    assert_eq!(hold.waiting(), 2);
}
