//! Tests of the steps of a change of primary.

use std::collections::VecDeque;
use std::time::Duration;

use magnoliahatch_gateway::policy::promotion::Holding;
use magnoliahatch_gateway::policy::promotion::OrderAnswer;
use magnoliahatch_gateway::policy::promotion::Promotion;
use magnoliahatch_gateway::policy::promotion::Step;
use proptest::prelude::*;
use proptest::test_runner::Config;
use proptest::test_runner::RngSeed;

const SEED: u64 = 20_261_205;
/// Members of the simulated service, including the old primary.
const MEMBERS: usize = 3;

fn member(name: &str) -> String {
    name.to_owned()
}

/// Guards against a service that stays without a primary after an order that promoted nobody.
#[test]
fn old_primary_is_used_again_if_the_only_order_promoted_nobody() {
    let (mut promotion, step) = Promotion::start(None, false);
    assert_eq!(step, Step::Choose);
    let step = promotion.on_choice(Some(member("m2")));
    assert_eq!(step, Step::Order(member("m2")));
    let step = promotion.on_answer(member("m2"), OrderAnswer::Refused);
    assert_eq!(step, Step::Repeat(member("m2")));
    let step = promotion.on_answer(member("m2"), OrderAnswer::NotRunning);
    assert_eq!(step, Step::Restore);
}

/// Guards against a service that stays without a primary if no member can be promoted.
#[test]
fn old_primary_is_used_again_if_no_order_was_sent() {
    let (mut promotion, _) = Promotion::start(None, false);
    assert_eq!(promotion.on_choice(None), Step::Restore);
}

/// Guards against an old primary that is used again although an order whose answer was lost may
/// have been accepted.
#[test]
fn old_primary_is_not_used_again_after_an_order_without_an_answer() {
    let (mut promotion, _) = Promotion::start(None, false);
    promotion.on_choice(Some(member("m2")));
    let step = promotion.on_answer(member("m2"), OrderAnswer::Unknown);
    assert_eq!(step, Step::Repeat(member("m2")));
    let step = promotion.on_answer(member("m2"), OrderAnswer::NotRunning);
    assert_ne!(step, Step::Restore);
}

/// Guards against acknowledged writes that are lost because the old primary is used again although
/// the candidate may have been promoted before it ended (review/1: an accepted order, then a 409 to
/// the order of the next attempt).
#[test]
fn old_primary_is_not_used_again_after_an_order_of_an_earlier_attempt() {
    let (mut promotion, step) = Promotion::start(Some(member("m2")), false);
    assert_eq!(step, Step::Order(member("m2")));
    let step = promotion.on_answer(member("m2"), OrderAnswer::NotRunning);
    assert_eq!(step, Step::Choose);
    let step = promotion.on_choice(Some(member("m3")));
    assert_eq!(step, Step::Order(member("m3")));
    let step = promotion.on_answer(member("m3"), OrderAnswer::NotRunning);
    assert_eq!(step, Step::Choose);
    assert_eq!(promotion.on_choice(None), Step::Suspend);
}

/// Guards against an old primary that is used again although a promotion was ordered of which no host
/// knows, since the store has forgotten its record.
#[test]
fn old_primary_is_not_restored_after_a_forgotten_order() {
    let (mut promotion, step) = Promotion::start(None, true);
    assert_eq!(step, Step::Choose);
    assert_eq!(promotion.on_choice(None), Step::Suspend);
    let (mut promotion, _) = Promotion::start(None, true);
    promotion.on_choice(Some(member("m2")));
    let step = promotion.on_answer(member("m2"), OrderAnswer::NotRunning);
    assert_eq!(step, Step::Choose);
}

/// Guards against an accepted order that is forgotten while the attempt waits for its effect.
#[test]
fn old_primary_is_not_used_again_after_an_accepted_order() {
    let (mut promotion, _) = Promotion::start(None, false);
    promotion.on_choice(Some(member("m2")));
    let step = promotion.on_answer(member("m2"), OrderAnswer::Accepted);
    assert_eq!(step, Step::AwaitEffect(member("m2")));
    assert_eq!(
        promotion.on_no_effect(member("m2")),
        Step::Repeat(member("m2"))
    );
    let step = promotion.on_answer(member("m2"), OrderAnswer::NotRunning);
    assert_eq!(step, Step::Choose);
}

/// Guards against a holder whose order arrives after another host has taken the change over and may
/// have chosen another member.
#[test]
fn holder_orders_nothing_once_another_host_may_order() {
    const MAX_AGE: Duration = Duration::from_secs(3);
    let holding = Holding {
        written: 7,
        newest: 7,
        confirmed: Duration::from_secs(10),
    };
    let end = Duration::from_secs(13);
    for now in [Duration::from_secs(10), end] {
        assert_eq!(holding.order_deadline(now, MAX_AGE), Some(end));
    }
    let too_old = Duration::from_millis(13_001);
    assert_eq!(holding.order_deadline(too_old, MAX_AGE), None);
    let taken_over = Holding {
        newest: 8,
        ..holding
    };
    let now = Duration::from_secs(10);
    assert_eq!(taken_over.order_deadline(now, MAX_AGE), None);
}

/// What happens next in a simulated change of primary.
#[derive(Debug, Clone)]
enum Event {
    /// The host carries out its next step. Choices prefer this member; an order gets this answer.
    Advance {
        prefer: usize,
        order: Delivery,
    },
    /// The host's process ends, and another one continues the change.
    EndHost,
    Crash(usize),
    Run(usize),
    /// The oldest accepted order takes effect.
    TakeEffect,
}

/// How an order reaches the platform.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Delivery {
    Answered,
    AnswerLost,
    OrderLost,
    PlatformDown,
}

/// A service whose primary is member 0 at first, the platform, and the record of the change.
#[derive(Debug)]
struct World {
    running: [bool; MEMBERS],
    primary: usize,
    /// Members whose promotion is accepted and not in effect yet.
    accepted: VecDeque<usize>,
    recorded: usize,
    candidate: Option<usize>,
    changing: bool,
}

impl World {
    fn order(&mut self, member: usize, delivery: Delivery) -> OrderAnswer {
        match delivery {
            Delivery::PlatformDown => return OrderAnswer::Refused,
            Delivery::OrderLost => return OrderAnswer::Unknown,
            Delivery::Answered | Delivery::AnswerLost => {}
        }
        let answer = if self.running[member] {
            self.accepted.push_back(member);
            OrderAnswer::Accepted
        } else {
            OrderAnswer::NotRunning
        };
        if delivery == Delivery::AnswerLost {
            return OrderAnswer::Unknown;
        }
        answer
    }

    /// Carries out a step and returns the next one, or `None` if the attempt has ended.
    fn advance(
        &mut self,
        promotion: &mut Promotion,
        step: Step,
        prefer: usize,
        delivery: Delivery,
    ) -> Option<Step> {
        match step {
            Step::Choose => {
                let mut others = (1..MEMBERS).map(|n| 1 + (n + prefer) % (MEMBERS - 1));
                let chosen = others.find(|m| self.running[*m]);
                Some(promotion.on_choice(chosen.map(|m| m.to_string())))
            }
            Step::Order(member) | Step::Repeat(member) => {
                let index = member.parse().expect("an index");
                self.candidate = Some(index);
                let answer = self.order(index, delivery);
                Some(promotion.on_answer(member, answer))
            }
            Step::AwaitEffect(member) => {
                let index: usize = member.parse().expect("an index");
                if self.primary != index || !self.running[index] {
                    return Some(promotion.on_no_effect(member));
                }
                self.finish(index);
                None
            }
            Step::Restore => {
                self.finish(0);
                None
            }
            Step::Suspend => None,
        }
    }

    fn finish(&mut self, recorded: usize) {
        assert_eq!(recorded, self.primary, "a former primary is recorded");
        let other = self.accepted.iter().find(|m| **m != recorded);
        assert_eq!(other, None, "another member is about to be promoted");
        self.recorded = recorded;
        self.changing = false;
    }
}

fn event() -> impl Strategy<Value = Event> {
    let delivery = prop_oneof![
        6 => Just(Delivery::Answered),
        1 => Just(Delivery::AnswerLost),
        1 => Just(Delivery::OrderLost),
        1 => Just(Delivery::PlatformDown),
    ];
    prop_oneof![
        6 => (0..MEMBERS, delivery).prop_map(|(prefer, order)| Event::Advance { prefer, order }),
        1 => Just(Event::EndHost),
        2 => (1..MEMBERS).prop_map(Event::Crash),
        2 => (1..MEMBERS).prop_map(Event::Run),
        3 => Just(Event::TakeEffect),
    ]
}

proptest! {
    #![proptest_config(Config {
        cases: 5000,
        rng_seed: RngSeed::Fixed(SEED),
        failure_persistence: None,
        ..Config::default()
    })]

    /// Guards against a record that names another member than the one that leads, with members and
    /// hosts that end at any step, and against a change that never ends once they run again.
    #[test]
    fn recorded_primary_is_the_one_that_leads(
        events in proptest::collection::vec(event(), 1..60),
    ) {
        let mut world = World {
            running: [true; MEMBERS],
            primary: 0,
            accepted: VecDeque::new(),
            recorded: 0,
            candidate: None,
            changing: true,
        };
        let mut attempt = None;
        let settle = (0..12).flat_map(|_| {
            let order = Delivery::Answered;
            [Event::TakeEffect, Event::Advance { prefer: 0, order }]
        });
        let recovery = (1..MEMBERS).map(Event::Run).chain(settle);
        for event in events.into_iter().chain(recovery) {
            match event {
                Event::Advance { prefer, order } if world.changing => {
                    let (mut promotion, step) = attempt.take().unwrap_or_else(|| {
                        Promotion::start(world.candidate.map(|m| m.to_string()), false)
                    });
                    let next = world.advance(&mut promotion, step, prefer, order);
                    attempt = next.map(|step| (promotion, step));
                }
                Event::Advance { .. } => {}
                Event::EndHost => attempt = None,
                Event::Crash(member) => {
                    world.running[member] = false;
                    world.accepted.retain(|m| *m != member);
                }
                Event::Run(member) => world.running[member] = true,
                Event::TakeEffect => {
                    if let Some(member) = world.accepted.pop_front() {
                        world.primary = member;
                    }
                }
            }
        }
        prop_assert!(!world.changing, "the change has not ended: {world:?}");
    }
}
