//! Draws series of faults that overlap each other.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use magnoliahatch_client::objects::placement::Placement;
use rand::Rng;
use rand::rngs::StdRng;
use rand::seq::IndexedRandom;

use crate::fault::api::LinkChange;
use crate::fault::mode::LinkMode;
use crate::harness::links;
use crate::harness::plan::FleetPlan;
use crate::load::fault_plan::FaultAction;
use crate::load::fault_plan::FaultPlan;
use crate::soak::case::Case;
use crate::soak::draw::CALM_MS;
use crate::store::fault::OutageAnswer;
use crate::store::fault::StoreFault;

/// Average time between the starts of two series. Series last a few seconds, so two or three
/// overlap.
const BETWEEN_MS: u64 = 1_500;
/// Most faults of a series.
const REPEATS: u32 = 3;
/// Shortest and longest fault. The longest exceeds a lease of 4 s, after which a seat is lost.
const FAULT_MS: (u64, u64) = (300, 5_000);
/// Shortest and longest time between two faults of a series.
const GAP_MS: (u64, u64) = (50, 1_500);
/// Added one-way delay of a slow link.
const DELAY_US: (u64, u64) = (20_000, 300_000);
/// Time before the end of the faults at which processes stop to be taken down, so that a graceful
/// shutdown and the start after it are over by then.
const STOP_MS: u64 = 2_500;

/// A kind of fault, by what it hits.
#[derive(Debug, Clone, Copy)]
enum Kind {
    Kill,
    Stop,
    Pause,
    Link,
    CutSource,
    Store,
    Switchover,
    Placement,
}

const KINDS: [Kind; 8] = [
    Kind::Kill,
    Kind::Stop,
    Kind::Pause,
    Kind::Link,
    Kind::CutSource,
    Kind::Store,
    Kind::Switchover,
    Kind::Placement,
];

/// Names of what faults can hit.
struct Targets {
    hosts: Vec<String>,
    members: Vec<String>,
    databases: Vec<String>,
    links: Vec<String>,
    subjects: Vec<String>,
}

/// Faults between the calm start and the end of the case's faults, when all of them have ended.
pub(crate) fn draw(fleet: &FleetPlan, case: &Case, random: &mut StdRng) -> Vec<FaultPlan> {
    let targets = targets(fleet);
    let mut drawing = Drawing {
        faults: Vec::new(),
        busy: BTreeMap::new(),
        end: CALM_MS + case.faults_ms,
    };
    let mut at = CALM_MS;
    while at < drawing.end {
        if let Some(kind) = KINDS.choose(random) {
            drawing.add_series(*kind, at, &targets, random);
        }
        at += random.random_range(1..2 * BETWEEN_MS);
    }
    drawing.faults.sort_by_key(|fault| fault.at_ms);
    drawing.faults
}

fn targets(fleet: &FleetPlan) -> Targets {
    let names = |names: Vec<&String>| names.into_iter().cloned().collect::<Vec<_>>();
    let hosts = names(fleet.hosts.iter().map(|host| &host.name).collect());
    let members = fleet.databases.iter().flat_map(|d| &d.members);
    let members = names(members.map(|member| &member.name).collect());
    let places = fleet.data_centres.iter().map(|place| &place.name);
    let subjects = hosts.iter().map(|host| format!("host/{host}"));
    let subjects = subjects.chain(members.iter().map(|member| format!("endpoint/{member}")));
    let subjects = subjects.chain(places.map(|place| format!("data-centre/{place}")));
    Targets {
        subjects: subjects.collect(),
        databases: names(fleet.databases.iter().map(|d| &d.name).collect()),
        links: links::all(fleet)
            .into_iter()
            .map(|link| link.name)
            .collect(),
        hosts,
        members,
    }
}

/// Faults drawn so far. Two faults never use the same process, link or subject at a time, since
/// the end of the first would end the second.
struct Drawing {
    faults: Vec<FaultPlan>,
    /// When each target is free again.
    busy: BTreeMap<String, u64>,
    end: u64,
}

impl Drawing {
    fn add_series(&mut self, kind: Kind, from: u64, targets: &Targets, random: &mut StdRng) {
        let Some(target) = target(kind, targets, random) else {
            return;
        };
        let mut at = from.max(self.busy.get(&target).copied().unwrap_or(0));
        for _ in 0..random.random_range(1..=REPEATS) {
            let until = at + random.random_range(FAULT_MS.0..FAULT_MS.1);
            let last = match kind {
                Kind::Stop => self.end.saturating_sub(STOP_MS),
                _ => self.end,
            };
            if until > last {
                break;
            }
            let free = self.add(kind, &target, at, until, targets, random);
            at = free + random.random_range(GAP_MS.0..GAP_MS.1);
            self.busy.insert(target.clone(), at);
        }
    }

    /// Adds one fault and returns when its target is free again.
    fn add(
        &mut self,
        kind: Kind,
        target: &str,
        at: u64,
        until: u64,
        targets: &Targets,
        random: &mut StdRng,
    ) -> u64 {
        let process = target.to_owned();
        match kind {
            Kind::Kill => {
                self.push(
                    at,
                    FaultAction::Kill {
                        process: process.clone(),
                    },
                );
                self.push(until, FaultAction::Restart { process });
            }
            Kind::Stop => {
                self.push(
                    at,
                    FaultAction::Stop {
                        process: process.clone(),
                    },
                );
                // A stop may wait for open transactions.
                self.push(until + STOP_MS, FaultAction::Restart { process });
                return until + STOP_MS;
            }
            Kind::Pause => {
                let for_ms = until - at;
                self.push(at, FaultAction::Pause { process, for_ms });
            }
            Kind::Link => {
                self.change_link(at, target, disturbance(random));
                self.change_link(until, target, restored());
            }
            Kind::CutSource => {
                let sources = targets.hosts.choose(random).cloned();
                let change = |sources: BTreeSet<String>| LinkChange {
                    cut_sources: Some(sources),
                    ..LinkChange::default()
                };
                self.change_link(at, target, change(sources.into_iter().collect()));
                self.change_link(until, target, change(BTreeSet::new()));
            }
            Kind::Store => {
                let fault = store_fault(random);
                self.push(at, FaultAction::Store { fault });
                let fault = StoreFault::None;
                self.push(until, FaultAction::Store { fault });
            }
            Kind::Switchover => {
                let database = target.to_owned();
                self.push(at, FaultAction::Switchover { database });
            }
            Kind::Placement => {
                for (at, state) in [(at, Placement::Out), (until, Placement::In)] {
                    let subject = target.to_owned();
                    self.push(at, FaultAction::Placement { subject, state });
                }
                // An operator repeats an order that failed while the store was away.
                let (subject, state) = (target.to_owned(), Placement::In);
                self.push(self.end, FaultAction::Placement { subject, state });
            }
        }
        until
    }

    fn change_link(&mut self, at: u64, link: &str, change: LinkChange) {
        let link = link.to_owned();
        self.push(at, FaultAction::Link { link, change });
    }

    fn push(&mut self, at_ms: u64, action: FaultAction) {
        self.faults.push(FaultPlan { at_ms, action });
    }
}

fn target(kind: Kind, targets: &Targets, random: &mut StdRng) -> Option<String> {
    let names = match kind {
        Kind::Kill | Kind::Pause if random.random_bool(0.5) => &targets.members,
        Kind::Kill | Kind::Pause | Kind::Stop => &targets.hosts,
        Kind::Link => &targets.links,
        Kind::CutSource => {
            let member = targets.members.choose(random)?;
            return Some(links::member(member));
        }
        Kind::Store => return Some("store".to_owned()),
        Kind::Switchover => &targets.databases,
        Kind::Placement => &targets.subjects,
    };
    names.choose(random).cloned()
}

/// A change of a link that [`restored`] takes back.
fn disturbance(random: &mut StdRng) -> LinkChange {
    let mode = [
        LinkMode::Cut,
        LinkMode::CutForward,
        LinkMode::CutBack,
        LinkMode::Freeze,
    ];
    let mut change = LinkChange::default();
    match random.random_range(0..4) {
        0 => change.mode = mode.choose(random).copied(),
        1 => change.delay_us = Some(random.random_range(DELAY_US.0..DELAY_US.1)),
        2 => change.reset = true,
        _ => change.freeze_open = true,
    }
    change
}

fn restored() -> LinkChange {
    LinkChange {
        mode: Some(LinkMode::Pass),
        delay_us: Some(0),
        ..LinkChange::default()
    }
}

fn store_fault(random: &mut StdRng) -> StoreFault {
    match random.random_range(0..4) {
        0 => StoreFault::Down {
            answer: OutageAnswer::Refuse,
        },
        1 => StoreFault::Down {
            answer: OutageAnswer::Silent,
        },
        2 => StoreFault::Slow {
            delay_ms: random.random_range(50..1_000),
        },
        _ => StoreFault::LostAnswer,
    }
}
