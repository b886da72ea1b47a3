//! Tests of the memory for clients, without sockets.

use std::collections::BTreeMap;
use std::time::Duration;

use magnoliahatch_gateway::policy::client_budget::BudgetStep;
use magnoliahatch_gateway::policy::client_budget::ClientBudget;
use magnoliahatch_gateway::policy::client_budget::HolderId;
use magnoliahatch_gateway::policy::client_budget::PAUSE_LIMIT;
use magnoliahatch_gateway::policy::client_budget::Reservation;
use proptest::prelude::Strategy;
use proptest::prelude::prop;
use proptest::prop_assert;
use proptest::prop_assert_eq;
use proptest::prop_oneof;
use proptest::proptest;
use proptest::test_runner::Config;
use proptest::test_runner::RngSeed;

/// Fixed so that CI runs are reproducible; proptest prints it on a failure.
const SEED: u64 = 20_261_206;
/// Limit of these budgets, in bytes.
const LIMIT: u64 = 1000;
/// Number of clients in the generated runs.
const CLIENTS: usize = 6;
/// Size of the largest message of these clients, in bytes.
const LARGEST: u64 = 600;
/// Bytes that a client reserves at once.
const STEP: u64 = 100;

fn millis(count: u64) -> Duration {
    Duration::from_millis(count)
}

/// A budget in which a slow client holds `slow` bytes and a fast one `fast`, and a third one waits.
fn short_budget(slow: u64, fast: u64) -> (ClientBudget, [HolderId; 3]) {
    let mut budget = ClientBudget::new(LIMIT);
    let ids = [0; 3].map(|_| budget.open(millis(0)));
    budget.add(ids[0], slow);
    budget.add(ids[1], fast);
    let wanted = LIMIT - slow - fast + 1;
    let reserved = budget.reserve(ids[2], wanted, millis(10_000));
    assert_eq!(reserved, Reservation::Waiting);
    budget.on_progress(ids[1], millis(10_000));
    (budget, ids)
}

/// Guards against clients that are closed although a pause of the others suffices.
#[test]
fn waiting_client_is_served_when_another_is_done() {
    let (mut budget, ids) = short_budget(500, 400);
    assert_eq!(budget.advance(millis(10_100)), []);
    budget.release(ids[1], 400);
    assert_eq!(budget.advance(millis(10_100)), [BudgetStep::Grant(ids[2])]);
}

/// Guards against a fast or small client that is closed in place of a slow or large one.
#[test]
fn largest_and_slowest_client_is_closed_first() {
    let after_pause = millis(10_000) + PAUSE_LIMIT;
    let (mut budget, ids) = short_budget(400, 500);
    assert_eq!(budget.advance(after_pause), [BudgetStep::Close(ids[0])]);
    // It is told once.
    assert_eq!(budget.advance(after_pause), []);
    let (mut budget, ids) = short_budget(10, 900);
    assert_eq!(budget.advance(after_pause), [BudgetStep::Close(ids[1])]);
}

/// Guards against a statement that runs and whose outcome is never told.
#[test]
fn pinned_client_is_not_closed() {
    let (mut budget, ids) = short_budget(500, 400);
    budget.set_pinned(ids[0], true);
    let after_pause = millis(10_000) + PAUSE_LIMIT;
    assert_eq!(budget.advance(after_pause), [BudgetStep::Close(ids[1])]);
}

/// Guards against a message within the limits of the protocol that is never served since it exceeds
/// the budget.
#[test]
fn single_client_is_always_served() {
    let mut budget = ClientBudget::new(LIMIT);
    let id = budget.open(millis(0));
    let other = budget.open(millis(0));
    assert_eq!(
        budget.reserve(id, LIMIT * 2, millis(0)),
        Reservation::Granted
    );
    assert_eq!(budget.reserve(id, LIMIT, millis(0)), Reservation::Granted);
    assert_eq!(budget.reserve(other, 1, millis(0)), Reservation::Waiting);
}

/// Guards against a small request that overtakes the first one, which would then wait without end.
#[test]
fn requests_are_served_in_order() {
    let (mut budget, ids) = short_budget(500, 400);
    let late = budget.open(millis(10_000));
    assert_eq!(
        budget.reserve(late, 1, millis(10_000)),
        Reservation::Waiting
    );
    assert!(!budget.try_reserve(ids[0], 1));
    budget.release(ids[0], 500);
    let steps = budget.advance(millis(10_000));
    assert_eq!(steps, [BudgetStep::Grant(ids[2]), BudgetStep::Grant(late)]);
}

/// What a client does next.
#[derive(Debug, Clone, Copy)]
enum Action {
    /// Sends the next bytes of its message.
    Send,
    /// Sends nothing more, but stays connected.
    Stop,
    /// Ends the message here; what it held is released.
    HalfClose,
    /// Closes the connection.
    Reset,
}

fn action() -> impl Strategy<Value = Action> {
    prop_oneof![
        12 => prop::strategy::Just(Action::Send),
        1 => prop::strategy::Just(Action::Stop),
        1 => prop::strategy::Just(Action::HalfClose),
        1 => prop::strategy::Just(Action::Reset),
    ]
}

/// Clients that send messages, stop, close one side or reset at any byte.
#[derive(Debug, Default)]
struct Clients {
    /// Bytes that each open connection holds.
    held: BTreeMap<HolderId, u64>,
    waiting: BTreeMap<HolderId, Duration>,
    stopped: Vec<HolderId>,
}

impl Clients {
    fn act(&mut self, budget: &mut ClientBudget, id: HolderId, action: Action, now: Duration) {
        if self.waiting.contains_key(&id) && !matches!(action, Action::Reset) {
            return;
        }
        match action {
            Action::Send if self.stopped.contains(&id) => {}
            Action::Send if self.held[&id] >= LARGEST => {
                // The message is complete and was run.
                budget.release(id, self.held[&id]);
                self.held.insert(id, 0);
            }
            Action::Send => match budget.reserve(id, STEP, now) {
                Reservation::Granted => self.on_granted(budget, id, now),
                Reservation::Waiting => {
                    self.waiting.insert(id, now);
                }
            },
            Action::Stop => self.stopped.push(id),
            Action::HalfClose => {
                budget.release(id, self.held[&id]);
                self.held.insert(id, 0);
            }
            Action::Reset => self.remove(budget, id),
        }
    }

    fn on_granted(&mut self, budget: &mut ClientBudget, id: HolderId, now: Duration) {
        self.waiting.remove(&id);
        *self.held.entry(id).or_default() += STEP;
        budget.on_progress(id, now);
    }

    fn remove(&mut self, budget: &mut ClientBudget, id: HolderId) {
        budget.remove(id);
        self.held.remove(&id);
        self.waiting.remove(&id);
        self.stopped.retain(|s| *s != id);
    }

    fn apply(&mut self, budget: &mut ClientBudget, steps: Vec<BudgetStep>, now: Duration) {
        for step in steps {
            match step {
                BudgetStep::Grant(id) => self.on_granted(budget, id, now),
                BudgetStep::Close(id) => self.remove(budget, id),
            }
        }
    }
}

proptest! {
    #![proptest_config(Config {
        cases: 300,
        rng_seed: RngSeed::Fixed(SEED),
        failure_persistence: None,
        ..Config::default()
    })]

    /// Guards against bytes that are counted twice or not released, more bytes than the limit, and
    /// clients that wait for each other without end.
    #[test]
    fn bytes_are_bounded_and_no_client_waits_without_end(
        actions in prop::collection::vec((0..CLIENTS, action(), 0_u64..40), 1..600)
    ) {
        let mut budget = ClientBudget::new(LIMIT);
        let mut clients = Clients::default();
        let mut now = Duration::ZERO;
        for (index, action, wait) in actions {
            now += millis(wait);
            while clients.held.len() < CLIENTS {
                clients.held.insert(budget.open(now), 0);
            }
            let id = *clients.held.keys().nth(index).expect("as many as clients");
            clients.act(&mut budget, id, action, now);
            let steps = budget.advance(now);
            clients.apply(&mut budget, steps, now);
            let steps = budget.advance(now);
            clients.apply(&mut budget, steps, now);
            prop_assert_eq!(budget.used(), clients.held.values().sum::<u64>());
            prop_assert!(budget.used() <= LIMIT);
            let longest = clients.waiting.values().map(|since| now - *since).max();
            prop_assert!(longest.unwrap_or_default() < PAUSE_LIMIT * CLIENTS as u32);
        }
        let left: Vec<HolderId> = clients.held.keys().copied().collect();
        for id in left {
            clients.remove(&mut budget, id);
        }
        prop_assert_eq!(budget.used(), 0);
        prop_assert!(!budget.is_short());
    }
}
