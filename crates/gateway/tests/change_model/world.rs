//! The state of the model and its events.

use std::collections::BTreeSet;
use std::time::Duration;

use magnoliahatch_core::ids::HostId;
use magnoliahatch_core::ids::MemberId;
use magnoliahatch_core::ids::Revision;
use magnoliahatch_core::ids::Term;
use magnoliahatch_core::position::LogPosition;
use magnoliahatch_gateway::model::kind::ObjectKind;
use magnoliahatch_gateway::model::primary_record::PrimaryChange;
use magnoliahatch_gateway::model::primary_record::PrimaryRecord;
use magnoliahatch_gateway::model::store_revision;
use magnoliahatch_gateway::policy::promotion::OrderAnswer;
use magnoliahatch_gateway::policy::promotion::Promotion;
use magnoliahatch_gateway::policy::promotion::Step;
use magnoliahatch_gateway::policy::record_repair;
use magnoliahatch_gateway::policy::record_repair::MemberReport;
use magnoliahatch_gateway::policy::record_repair::Repair;
use magnoliahatch_gateway::policy::record_repair::Situation;
use magnoliahatch_gateway::policy::successor;
use magnoliahatch_gateway::policy::successor::PromotionCandidate;
use magnoliahatch_gateway::policy::successor::PromotionRequirements;
use magnoliahatch_gateway::policy::successor::Successor;

use crate::host::Host;
use crate::host::Task;
use crate::store::Contents;
use crate::store::Store;

pub(crate) const HOSTS: usize = 3;
const MEMBERS: usize = 3;
pub(crate) const SERVICE: &str = "s";
/// Times of the model, whose unit is one `Tick`.
pub(crate) const MAX_RECORD_AGE: Duration = Duration::from_secs(2);
pub(crate) const MAX_HOSTS_AGE: Duration = Duration::from_secs(4);
pub(crate) const EFFECT_TIME: Duration = Duration::from_secs(1);
const TAKEOVER_TIME: Duration = Duration::from_secs(3);
const TICK: Duration = Duration::from_secs(1);
/// A write counts as later than the lists of the same tick.
const AFTER_LISTS: Duration = Duration::from_millis(500);
/// Rounds in which a primary must be in use again once no fault happens any more.
const CALM_ROUNDS: usize = 24;

/// Faults that may still happen.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Faults {
    pub(crate) ends: u8,
    pub(crate) starts: u8,
    pub(crate) cuts: u8,
    pub(crate) crashes: u8,
    pub(crate) restores: u8,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Event {
    Tick,
    /// A host lists the records and the hosts in the store.
    List(usize),
    /// A host takes over the copies of another one.
    Follow(usize, usize),
    /// A host registers, or registers again.
    Register(usize),
    /// A host begins a change of primary or takes one over, and asks the others to stop.
    Begin(usize),
    /// A host asks those again that have not confirmed, and carries out the next step of its change
    /// if it need not wait for them.
    Continue(usize),
    /// The same, and the answer to its order is lost.
    LoseAnswer(usize),
    /// The first order takes effect.
    Effect,
    /// A host repairs a record that came back from a copy.
    Repair(usize),
    EndHost(usize),
    StartHost(usize),
    /// A host is cut off from the store, or reaches it again.
    CutStore(usize),
    /// A host is cut off from the other hosts, or reaches them again.
    CutHosts(usize),
    Crash(usize),
    Return(usize),
    /// The store is copied.
    Copy,
    /// The store comes back from the copy.
    Restore,
}

#[derive(Debug, Clone, Copy)]
struct Member {
    running: bool,
    primary: bool,
    term: Term,
}

#[derive(Debug, Clone)]
pub(crate) struct World {
    now: Duration,
    store: Store,
    hosts: [Option<Host>; HOSTS],
    processes: u64,
    without_store: [bool; HOSTS],
    without_hosts: [bool; HOSTS],
    members: [Member; MEMBERS],
    /// Members whose promotion was accepted and has not taken effect.
    orders: Vec<usize>,
    last_order: Option<(Revision, usize)>,
    faults: Faults,
    pub(crate) broken: Option<String>,
}

pub(crate) fn host_name(host: usize) -> HostId {
    format!("h{host}")
}

pub(crate) fn host_index(name: &str) -> usize {
    name[1..].parse().expect("a name of the model")
}

fn member_name(member: usize) -> MemberId {
    format!("m{member}")
}

fn member_index(name: &str) -> usize {
    name[1..].parse().expect("a name of the model")
}

impl World {
    /// Three hosts that use the first member.
    pub(crate) fn start(faults: Faults) -> Self {
        let record = PrimaryRecord {
            primary: member_name(0),
            change: None,
            members: Vec::new(),
            era: 0,
            term: 1,
        };
        let contents = Contents {
            revision: 4,
            record: (record, 4),
            hosts: [Some((1, 1)), Some((2, 2)), Some((3, 3))],
        };
        let store = Store {
            era: 0,
            now: contents.clone(),
            copy: contents,
        };
        let now = Duration::from_secs(100);
        let mut world = Self {
            now,
            store,
            hosts: [0, 1, 2].map(|h| Some(Host::start(h, h as u64 + 1, now))),
            processes: HOSTS as u64,
            without_store: [false; HOSTS],
            without_hosts: [false; HOSTS],
            members: [0, 1, 2].map(|m| Member {
                running: true,
                primary: m == 0,
                term: 1,
            }),
            orders: Vec::new(),
            last_order: None,
            faults,
            broken: None,
        };
        for host in 0..HOSTS {
            world.list(host);
        }
        world
    }

    pub(crate) fn events(&self) -> Vec<Event> {
        let mut events = vec![Event::Effect, Event::Tick];
        for h in 0..HOSTS {
            let others = (0..HOSTS).filter(|o| *o != h).map(|o| Event::Follow(h, o));
            events.extend(others);
            events.extend([
                Event::List(h),
                Event::Register(h),
                Event::Begin(h),
                Event::Continue(h),
                Event::Repair(h),
            ]);
        }
        events.extend(self.fault_events());
        events
    }

    fn fault_events(&self) -> Vec<Event> {
        let mut events = Vec::new();
        let faults = self.faults;
        for h in 0..HOSTS {
            events.push(Event::StartHost(h));
            if faults.ends > 0 {
                events.push(Event::EndHost(h));
            }
            if faults.cuts > 0 {
                events.extend([Event::CutStore(h), Event::CutHosts(h), Event::LoseAnswer(h)]);
            }
        }
        if faults.crashes > 0 {
            events.extend((0..MEMBERS).map(Event::Crash));
        }
        events.extend((0..MEMBERS).map(Event::Return));
        if faults.restores > 0 {
            events.extend([Event::Copy, Event::Restore]);
        }
        events
    }

    /// Applies an event. Returns whether it could happen.
    pub(crate) fn apply(&mut self, event: Event) -> bool {
        match event {
            Event::Tick => {
                self.now += TICK;
                true
            }
            Event::List(h) => self.list(h),
            Event::Follow(h, source) => self.follow(h, source),
            Event::Register(h) => self.register(h),
            Event::Begin(h) => self.begin(h),
            Event::Continue(h) => self.advance(h, false),
            Event::LoseAnswer(h) => take(&mut self.faults.cuts) && self.advance(h, true),
            Event::Effect => self.effect(),
            Event::Repair(h) => self.repair(h),
            Event::EndHost(h) => take(&mut self.faults.ends) && self.hosts[h].take().is_some(),
            Event::StartHost(h) => {
                let starts = self.hosts[h].is_none() && take(&mut self.faults.starts);
                if starts {
                    self.processes += 1;
                    self.hosts[h] = Some(Host::start(h, self.processes, self.now));
                    self.register(h);
                }
                starts
            }
            Event::CutStore(h) => toggle(&mut self.without_store[h], &mut self.faults.cuts),
            Event::CutHosts(h) => toggle(&mut self.without_hosts[h], &mut self.faults.cuts),
            Event::Crash(m) => {
                let crashes = self.members[m].running && take(&mut self.faults.crashes);
                self.members[m].running &= !crashes;
                crashes
            }
            Event::Return(m) => self.return_member(m),
            Event::Copy => {
                self.store.copy = self.store.now.clone();
                true
            }
            Event::Restore => {
                self.store.restore();
                take(&mut self.faults.restores)
            }
        }
    }

    /// A member comes back as a replica if another one was promoted meanwhile.
    fn return_member(&mut self, m: usize) -> bool {
        if self.members[m].running {
            return false;
        }
        let highest = self.members.iter().map(|m| m.term).max().unwrap_or(0);
        let member = &mut self.members[m];
        member.running = true;
        member.primary &= member.term == highest;
        true
    }

    fn reaches_store(&self, h: usize) -> bool {
        self.hosts[h].is_some() && !self.without_store[h]
    }

    fn reaches(&self, h: usize, other: usize) -> bool {
        !self.without_hosts[h] && !self.without_hosts[other] && self.hosts[other].is_some()
    }

    fn list(&mut self, h: usize) -> bool {
        if !self.reaches_store(h) {
            return false;
        }
        let (records, hosts) = (self.store.list_records(), self.store.list_hosts());
        let now = self.now;
        if let Some(host) = &mut self.hosts[h] {
            host.view.on_listing(ObjectKind::Hosts, hosts, now, now);
            host.view
                .on_listing(ObjectKind::Primaries, records, now, now);
            note_change(host, now);
        }
        true
    }

    fn follow(&mut self, h: usize, source: usize) -> bool {
        if self.hosts[h].is_none() || !self.reaches(h, source) {
            return false;
        }
        let now = self.now;
        let (Some(from), Some(host)) = (self.hosts[source].clone(), &mut self.hosts[h]) else {
            return false;
        };
        for kind in [ObjectKind::Hosts, ObjectKind::Primaries] {
            let known = host.view.kind(kind).map_or(0, |k| k.content_revision);
            let report = from
                .view
                .kind(kind)
                .and_then(|k| k.report(kind, known, now));
            if let Some(report) = report {
                let at = now - report.age;
                host.view.on_report(report, at, now);
            }
        }
        note_change(host, now);
        true
    }

    fn register(&mut self, h: usize) -> bool {
        if !self.reaches_store(h) {
            return false;
        }
        let now = self.now;
        let Some(host) = &mut self.hosts[h] else {
            return false;
        };
        if host
            .view
            .processes()
            .since(&host_name(h), host.incarnation)
            .is_some()
        {
            return false;
        }
        let object = self.store.register(h, host.incarnation);
        host.view
            .on_written(ObjectKind::Hosts, object, now + AFTER_LISTS);
        true
    }

    fn begin(&mut self, h: usize) -> bool {
        let now = self.now;
        if !self.reaches_store(h) {
            return false;
        }
        let Some(host) = &mut self.hosts[h] else {
            return false;
        };
        if host.task.is_some() || !host.is_current(now) || host.view.is_primary_restored(SERVICE) {
            return false;
        }
        let Some((record, revision)) = host.view.primary(SERVICE) else {
            return false;
        };
        let (record, revision) = (record.clone(), revision);
        let mut takeover = false;
        if let Some(change) = &record.change {
            let holder = host.view.host(&change.holder);
            let ended = change.holder == host_name(h)
                || holder.is_some_and(|h| h.incarnation != change.incarnation);
            let since = host.seen_change.map_or(now, |(_, at)| at);
            if !ended && now < since + MAX_RECORD_AGE + TAKEOVER_TIME {
                return false;
            }
            takeover = !ended;
        }
        self.begin_with(h, record, revision, takeover)
    }

    /// Writes the record of a change and asks the other hosts to stop using the primary.
    fn begin_with(
        &mut self,
        h: usize,
        mut record: PrimaryRecord,
        revision: Revision,
        takeover: bool,
    ) -> bool {
        let now = self.now;
        let Some(host) = &mut self.hosts[h] else {
            return false;
        };
        let change = record.change.as_ref();
        let candidate = change.and_then(|c| c.candidate.clone());
        let forgotten = change.is_some_and(|c| c.forgotten);
        record.era = store_revision::era(revision);
        record.change = Some(PrimaryChange {
            holder: host_name(h),
            incarnation: host.incarnation,
            candidate,
            forgotten,
        });
        let Some(object) = self.store.put_record(&record, revision) else {
            return false;
        };
        let written = object.revision;
        let mut pending = host.processes();
        host.view.on_written(ObjectKind::Primaries, object, now);
        host.blocked = host.blocked.max(written);
        let hosts = self.store.list_hosts();
        host.view.on_listing(ObjectKind::Hosts, hosts, now, now);
        pending.extend(host.processes());
        let expiry = now + AFTER_LISTS + MAX_RECORD_AGE;
        let removed = host.view.processes().last_unexpected_removal();
        let mut earliest = removed.map_or(now, |at| expiry.min(at + MAX_HOSTS_AGE));
        if takeover {
            earliest = earliest.max(expiry);
        }
        if forgotten {
            earliest = earliest.max(host.settles_at());
        }
        host.task = Some(Task {
            record,
            revision: written,
            forgotten,
            written: now,
            expiry,
            earliest,
            pending,
            step: None,
        });
        self.ask(h);
        true
    }

    fn ask(&mut self, h: usize) -> bool {
        let Some(task) = self.hosts[h].as_ref().and_then(|h| h.task.clone()) else {
            return false;
        };
        let mut pending = BTreeSet::new();
        for (other, incarnation) in &task.pending {
            if !self.reaches(h, *other) {
                pending.insert((*other, *incarnation));
                continue;
            }
            // Another process answers if the registered one has ended.
            if let Some(asked) = &mut self.hosts[*other]
                && asked.incarnation == *incarnation
            {
                asked.blocked = asked.blocked.max(task.revision);
            }
        }
        let changed = pending != task.pending;
        if let Some(task) = self.hosts[h].as_mut().and_then(|h| h.task.as_mut()) {
            task.pending = pending;
        }
        changed
    }

    /// Carries out the next step of a change.
    fn advance(&mut self, h: usize, lose: bool) -> bool {
        let now = self.now;
        let asked = self.ask(h);
        let Some(mut host) = self.hosts[h].clone() else {
            return false;
        };
        let Some(mut task) = host.task.take() else {
            return false;
        };
        let confirmed = task.pending.is_empty() || now >= task.expiry;
        if !confirmed || now < task.earliest {
            return asked;
        }
        let change = task.record.change.as_ref();
        let candidate = change.and_then(|c| c.candidate.clone());
        let forgotten = task.forgotten;
        let (mut promotion, step) = task
            .step
            .take()
            .unwrap_or_else(|| Promotion::start(candidate, forgotten));
        let old = member_index(&task.record.primary);
        let step = match step {
            Step::Choose => promotion.on_choice(self.choose(old)),
            step => step,
        };
        let next = match step {
            Step::Choose => Some(Step::Choose),
            Step::Order(member) => {
                if !self.write(&mut host, &mut task, Some(&member), true) {
                    self.hosts[h] = Some(host);
                    return true;
                }
                self.order(&host, &task, &member, lose)
                    .map(|answer| promotion.on_answer(member, answer))
            }
            Step::Repeat(member) => self
                .order(&host, &task, &member, lose)
                .map(|answer| promotion.on_answer(member, answer)),
            Step::AwaitEffect(member) => {
                let status = self.members[member_index(&member)];
                if status.running && status.primary {
                    task.record.primary = member;
                    task.record.term = status.term;
                    self.write(&mut host, &mut task, None, false);
                    None
                } else if self.orders.contains(&member_index(&member)) {
                    return false;
                } else {
                    Some(promotion.on_no_effect(member))
                }
            }
            Step::Restore => {
                self.write(&mut host, &mut task, None, false);
                None
            }
            Step::Suspend => None,
        };
        host.task = next.map(|step| Task {
            step: Some((promotion, step)),
            ..task
        });
        self.hosts[h] = Some(host);
        true
    }

    fn choose(&self, old: usize) -> Option<MemberId> {
        let others = (0..MEMBERS).filter(|m| *m != old);
        let candidates: Vec<PromotionCandidate> = others
            .map(|m| PromotionCandidate {
                member: member_name(m),
                eligible: self.members[m].running,
                received: self.members[m].running.then(|| LogPosition {
                    term: self.members[m].term,
                    index: 0,
                }),
            })
            .collect();
        match successor::choose(&candidates, &PromotionRequirements::default()) {
            Successor::Ready(member) | Successor::Behind(member) => Some(member),
            Successor::Unsafe => None,
        }
    }

    /// Writes the record of a change. Returns false if another host has written it, which ends the
    /// change here.
    fn write(
        &mut self,
        host: &mut Host,
        task: &mut Task,
        candidate: Option<&MemberId>,
        changing: bool,
    ) -> bool {
        if !self.reaches_store(host.index) {
            return false;
        }
        task.record.change = changing.then(|| PrimaryChange {
            holder: host_name(host.index),
            incarnation: host.incarnation,
            candidate: candidate.cloned(),
            forgotten: task.forgotten,
        });
        let Some(object) = self.store.put_record(&task.record, task.revision) else {
            return false;
        };
        task.revision = object.revision;
        task.written = self.now;
        host.view
            .on_written(ObjectKind::Primaries, object, self.now);
        true
    }

    /// Sends an order. Returns `None` if the host may have lost the change.
    fn order(&mut self, host: &Host, task: &Task, member: &str, lose: bool) -> Option<OrderAnswer> {
        host.holding(task)
            .order_deadline(self.now, MAX_RECORD_AGE)?;
        let token = task.revision;
        if let Some((last, holder)) = self.last_order
            && (token < last || (token == last && holder != host.index))
        {
            self.broken = Some(format!("order of {member} with token {token} after {last}"));
        }
        self.last_order = Some((token, host.index));
        let index = member_index(member);
        if !self.members[index].running {
            return Some(OrderAnswer::NotRunning);
        }
        self.orders.push(index);
        Some(if lose {
            OrderAnswer::Unknown
        } else {
            OrderAnswer::Accepted
        })
    }

    fn effect(&mut self) -> bool {
        if self.orders.is_empty() {
            return false;
        }
        let member = self.orders.remove(0);
        let highest = self.members.iter().map(|m| m.term).max().unwrap_or(0);
        let leads = self.members[member].primary && self.members[member].term == highest;
        if self.members[member].running && !leads {
            self.members[member].primary = true;
            self.members[member].term = highest + 1;
        }
        true
    }

    fn repair(&mut self, h: usize) -> bool {
        let now = self.now;
        if !self.reaches_store(h) {
            return false;
        }
        let Some(host) = &self.hosts[h] else {
            return false;
        };
        if host.task.is_some() || !host.is_current(now) || !host.view.is_primary_restored(SERVICE) {
            return false;
        }
        let era = host.view.primaries_era();
        let Some((restored, revision)) = host.view.stored_primary(SERVICE) else {
            return false;
        };
        let (restored, revision) = (restored.clone(), revision);
        let ended = host.view.processes().last_end();
        let ended = ended.max(host.view.processes().last_unexpected_removal());
        let settled = now >= host.settles_at();
        let incarnation = host.incarnation;
        let mut hosts = Vec::new();
        for (other, process) in host.processes() {
            let reached = self.reaches(h, other);
            let asked = self.hosts[other].as_mut();
            let asked = asked.filter(|o| reached && o.incarnation == process);
            hosts.push(asked.map(|o| o.knowledge(era, now)));
        }
        hosts.push(self.hosts[h].as_mut().map(|o| o.knowledge(era, now)));
        let members = (0..MEMBERS).map(|m| {
            self.members[m].running.then(|| MemberReport {
                member: member_name(m),
                primary: self.members[m].primary,
                term: self.members[m].term,
            })
        });
        let situation = Situation {
            era,
            restored: Some(restored.clone()),
            hosts,
            has_ended_hosts: ended.is_some_and(|at| now < at + MAX_RECORD_AGE + EFFECT_TIME),
            settled,
            members: members.collect(),
        };
        let (primary, term, change) = match record_repair::decide(&situation) {
            Repair::Wait => return true,
            Repair::Record { primary, term } => (primary, term, None),
            Repair::Continue {
                primary,
                candidate,
                forgotten,
            } => {
                let change = PrimaryChange {
                    holder: host_name(h),
                    incarnation,
                    candidate,
                    forgotten,
                };
                (primary, 0, Some(change))
            }
        };
        let record = PrimaryRecord {
            primary,
            change,
            members: Vec::new(),
            era,
            term,
        };
        if let Some(object) = self.store.put_record(&record, revision)
            && let Some(host) = &mut self.hosts[h]
        {
            host.view.on_written(ObjectKind::Primaries, object, now);
            note_change(host, now);
        }
        true
    }

    /// The rule that this state breaks, if any: no host uses a primary after another member leads.
    pub(crate) fn check(&self) -> Option<String> {
        let highest = self.members.iter().map(|m| m.term).max()?;
        for host in self.hosts.iter().flatten() {
            for (m, member) in self.members.iter().enumerate() {
                let former = member.term < highest && member.running && member.primary;
                if former && host.uses(&member_name(m), self.now) {
                    let name = host_name(host.index);
                    return Some(format!("{name} uses the former primary m{m}"));
                }
            }
        }
        None
    }

    /// Lets everything go on without faults. Returns a reason if no host uses a primary at the end,
    /// or a rule is broken meanwhile.
    pub(crate) fn stays_without_primary(&self) -> Option<String> {
        let mut world = self.clone();
        world.faults = Faults {
            starts: HOSTS as u8,
            ..Faults::default()
        };
        world.without_store = [false; HOSTS];
        world.without_hosts = [false; HOSTS];
        for _ in 0..CALM_ROUNDS {
            for m in 0..MEMBERS {
                world.apply(Event::Return(m));
            }
            for h in 0..HOSTS {
                for event in [
                    Event::StartHost(h),
                    Event::List(h),
                    Event::Register(h),
                    Event::List(h),
                    Event::Repair(h),
                    Event::Continue(h),
                    Event::Effect,
                ] {
                    world.apply(event);
                    if let Some(rule) = world.broken.clone().or_else(|| world.check()) {
                        return Some(format!("{event:?} in calm: {rule}"));
                    }
                }
                world.end_change_in_calm(h);
            }
            world.apply(Event::Tick);
        }
        let leads = |m: usize| world.members[m].primary;
        let mut used = (0..MEMBERS).filter(|m| leads(*m));
        let hosts: Vec<&Host> = world.hosts.iter().flatten().collect();
        let is_used = used.any(|m| hosts.iter().any(|h| h.uses(&member_name(m), world.now)));
        (!is_used).then(|| {
            format!(
                "no primary is used in the end: {:?}",
                world.store.now.record
            )
        })
    }

    /// Continues a change whose holder has ended or given up, as the monitor does.
    fn end_change_in_calm(&mut self, h: usize) {
        let record = self.hosts[h].as_ref().and_then(|h| h.view.primary(SERVICE));
        if record.is_some_and(|(r, _)| r.change.is_some()) {
            self.apply(Event::Begin(h));
        }
    }
}

/// Remembers since when a change under way has been seen.
fn note_change(host: &mut Host, now: Duration) {
    let changing = host.view.primary(SERVICE);
    let changing = changing.filter(|(r, _)| r.change.is_some());
    host.seen_change = changing.map(|(_, revision)| match host.seen_change {
        Some((known, at)) if known == revision => (known, at),
        _ => (revision, now),
    });
}

fn take(count: &mut u8) -> bool {
    let left = *count > 0;
    *count = count.saturating_sub(1);
    left
}

fn toggle(flag: &mut bool, faults: &mut u8) -> bool {
    if !*flag && !take(faults) {
        return false;
    }
    *flag = !*flag;
    true
}
