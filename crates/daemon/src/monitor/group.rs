//! What this daemon knows of one database group.

use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use magnoliahatch_core::group_view::GroupView;
use magnoliahatch_core::ids::LogIndex;
use magnoliahatch_core::ids::MemberId;
use magnoliahatch_core::ids::Term;
use magnoliahatch_core::member_view::MemberView;
use magnoliahatch_core::position::LogPosition;
use magnoliahatch_core::position_ring::PositionRing;
use magnoliahatch_core::role::Role;
use magnoliahatch_core::route;
use magnoliahatch_core::route::Choice;
use magnoliahatch_core::route::ReadNeed;
use tokio::sync::Notify;
use tokio::sync::futures::Notified;
use tokio::sync::watch;

use crate::verbs::MemberStatus;

/// Samples of the primary's position: about 10 s at the ring's spacing of 10 ms.
const RING_CAPACITY: usize = 1024;
/// Interval of probes without reads that accept an age.
const SLOW_INTERVAL: Duration = Duration::from_millis(250);
const FAST_INTERVAL: Duration = Duration::from_millis(20);
/// Probes per accepted age, so that a current replica is not taken for an old one.
const PROBES_PER_AGE: u32 = 4;

/// State of one database group, combined from probes and from the positions of answers.
#[derive(Debug)]
pub struct Group {
    start: Instant,
    view: watch::Sender<GroupView>,
    ring: Mutex<PositionRing>,
    /// Shortest age in milliseconds that reads asked for since the last probe of the primary.
    asked: AtomicU64,
    nudge: Notify,
    hurry: Notify,
    /// A planned change of primary is under way, so probes are frequent.
    hurried: AtomicBool,
}

impl Group {
    /// An empty group; times are measured from `start`.
    pub fn new(start: Instant) -> Self {
        Self {
            start,
            view: watch::Sender::new(GroupView::default()),
            ring: Mutex::new(PositionRing::new(RING_CAPACITY)),
            asked: AtomicU64::new(u64::MAX),
            nudge: Notify::new(),
            hurry: Notify::new(),
            hurried: AtomicBool::new(false),
        }
    }

    /// Current state; changes of term, primary or reachability are notified.
    pub fn subscribe(&self) -> watch::Receiver<GroupView> {
        self.view.subscribe()
    }

    /// Records a probe's answer; `sent` is when the probe was sent.
    pub fn on_status(&self, name: &MemberId, status: &MemberStatus, sent: Instant) {
        let heard = sent.duration_since(self.start);
        self.change(|view| {
            let member = view.members.entry(name.clone()).or_default();
            let applied = if status.last_term == member.last_term {
                member.applied.max(status.applied)
            } else {
                status.applied
            };
            *member = MemberView {
                reachable: true,
                role: status.role,
                term: status.term,
                last_term: status.last_term,
                received: status.received,
                applied,
                heard,
            };
        });
        if status.role == Role::Primary {
            let index = status.applied;
            self.record(
                heard,
                LogPosition {
                    term: status.term,
                    index,
                },
            );
        }
    }

    /// Records that a member cannot be reached.
    pub fn on_failure(&self, name: &MemberId) {
        self.change(|view| view.members.entry(name.clone()).or_default().reachable = false);
    }

    /// Records the position that came with an answer to a request sent at `sent`.
    pub fn on_answer(&self, name: &MemberId, position: LogPosition, sent: Instant) {
        let mut primary = false;
        self.view.send_if_modified(|view| {
            primary = view.primary.as_ref() == Some(name) && view.term == position.term;
            if let Some(member) = view.members.get_mut(name)
                && member.last_term == position.term
            {
                member.applied = member.applied.max(position.index);
            }
            false
        });
        if primary {
            self.record(sent.duration_since(self.start), position);
        }
    }

    /// Chooses a member for a read.
    pub fn choose(
        &self,
        need: ReadNeed,
        turn: usize,
        cost: impl Fn(&MemberId) -> Option<u32>,
    ) -> Choice {
        let age = u64::try_from(need.max_age.as_millis()).unwrap_or(u64::MAX);
        self.asked.fetch_min(age, Ordering::Relaxed);
        let now = self.start.elapsed();
        let ring = self.ring.lock().expect("no holder of this lock panics");
        let choice = route::choose(&self.view.borrow(), &ring, need, now, turn, cost);
        if choice == Choice::Primary && need.seen.is_some() && !need.max_age.is_zero() {
            // Replicas may have applied more than is known of them.
            self.nudge.notify_waiters();
        }
        choice
    }

    /// Returns once a read found no replica that is known to be current enough.
    pub fn nudged(&self) -> Notified<'_> {
        self.nudge.notified()
    }

    /// Probes often while a planned change of primary is under way, so that held statements soon
    /// find the new primary.
    pub fn set_hurried(&self, hurried: bool) {
        if !self.hurried.swap(hurried, Ordering::Relaxed) && hurried {
            self.hurry.notify_waiters();
        }
    }

    /// Returns once a planned change of primary begins.
    pub fn hurry(&self) -> Notified<'_> {
        self.hurry.notified()
    }

    /// State of a member, as last heard.
    pub fn member(&self, name: &MemberId) -> Option<MemberView> {
        self.view.borrow().members.get(name).cloned()
    }

    /// Time until the next probe. Probes are frequent only while reads accept a short age.
    pub fn interval(&self) -> Duration {
        let asked = self.asked.swap(u64::MAX, Ordering::Relaxed);
        if self.hurried.load(Ordering::Relaxed) {
            return FAST_INTERVAL;
        }
        (Duration::from_millis(asked) / PROBES_PER_AGE).clamp(FAST_INTERVAL, SLOW_INTERVAL)
    }

    /// Name of the current primary with its term.
    pub fn primary(&self) -> Option<(MemberId, Term)> {
        let view = self.view.borrow();
        view.primary.clone().map(|name| (name, view.term))
    }

    /// Applied index of a member, for status reports.
    pub fn applied(&self, name: &MemberId) -> Option<LogIndex> {
        Some(self.view.borrow().members.get(name)?.applied)
    }

    fn record(&self, at: Duration, position: LogPosition) {
        let mut ring = self.ring.lock().expect("no holder of this lock panics");
        ring.record(at, position);
    }

    fn change(&self, edit: impl FnOnce(&mut GroupView)) {
        self.view.send_if_modified(|view| {
            let before = summary(view);
            edit(view);
            let highest = view.members.values().map(|m| m.term).max();
            view.term = view.term.max(highest.unwrap_or(0));
            let serves =
                |m: &MemberView| m.reachable && m.role == Role::Primary && m.term == view.term;
            let primary = view.members.iter().find(|(_, m)| serves(m));
            view.primary = primary.map(|(name, _)| name.clone());
            let after = summary(view);
            if before.1 != after.1 {
                match &view.primary {
                    Some(name) => {
                        tracing::info!(
                            event = 220,
                            member = name,
                            term = view.term,
                            "primary found"
                        );
                    }
                    None => tracing::warn!(event = 221, term = view.term, "no primary"),
                }
            }
            before != after
        });
    }
}

type Summary = (Term, Option<MemberId>, Vec<(MemberId, bool, Role, Term)>);

/// What subscribers are notified of; positions change too often.
fn summary(view: &GroupView) -> Summary {
    let members = view
        .members
        .iter()
        .map(|(name, m)| (name.clone(), m.reachable, m.role, m.term))
        .collect();
    (view.term, view.primary.clone(), members)
}
