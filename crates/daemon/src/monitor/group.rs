//! State of one database group as observed by this daemon.

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
use magnoliahatch_core::position_history::PositionHistory;
use magnoliahatch_core::role::Role;
use magnoliahatch_core::route;
use magnoliahatch_core::route::ReadRequirements;
use magnoliahatch_core::route::ReadTarget;
use tokio::sync::Notify;
use tokio::sync::futures::Notified;
use tokio::sync::watch;

use crate::member_commands::MemberStatus;

/// Number of samples of the primary's position: about 10 s at the ring's spacing of 10 ms.
const RING_CAPACITY: usize = 1024;
/// Interval of probes when no read accepts stale data.
const SLOW_INTERVAL: Duration = Duration::from_millis(250);
/// Shortest interval of regular probes.
const FAST_INTERVAL: Duration = Duration::from_millis(20);
/// Number of probes within the accepted staleness, so that an up-to-date replica is not considered
/// stale.
const PROBES_PER_MAX_AGE: u32 = 4;

/// State of one database group, derived from probes and from the log positions in answers.
#[derive(Debug)]
pub struct Group {
    start: Instant,
    view: watch::Sender<GroupView>,
    ring: Mutex<PositionHistory>,
    /// Smallest staleness in milliseconds that a read has accepted since the probe interval was
    /// last computed.
    smallest_max_age: AtomicU64,
    /// Notified when a read needs newer positions of the replicas.
    early_probe: Notify,
    /// Notified when fast probing starts.
    fast_probing_start: Notify,
    /// Whether probes are frequent because a switchover is in progress.
    fast_probing: AtomicBool,
}

impl Group {
    /// Creates a group without members; times are measured from `start`.
    pub fn new(start: Instant) -> Self {
        Self {
            start,
            view: watch::Sender::new(GroupView::default()),
            ring: Mutex::new(PositionHistory::new(RING_CAPACITY)),
            smallest_max_age: AtomicU64::new(u64::MAX),
            early_probe: Notify::new(),
            fast_probing_start: Notify::new(),
            fast_probing: AtomicBool::new(false),
        }
    }

    /// Current state. Receivers are notified of changes of a term, the primary, a role or the
    /// reachability of a member, but not of positions.
    pub fn subscribe(&self) -> watch::Receiver<GroupView> {
        self.view.subscribe()
    }

    /// Records the answer to a probe that was sent at `sent`.
    pub fn on_status(&self, name: &MemberId, status: &MemberStatus, sent: Instant) {
        let observed_at = sent.duration_since(self.start);
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
                observed_at,
            };
        });
        if status.role == Role::Primary {
            let index = status.applied;
            self.record(
                observed_at,
                LogPosition {
                    term: status.term,
                    index,
                },
            );
        }
    }

    /// Records that a member is unreachable.
    pub fn on_failure(&self, name: &MemberId) {
        self.change(|view| view.members.entry(name.clone()).or_default().reachable = false);
    }

    /// Records the log position in the answer to a request that was sent at `sent`.
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
        requirements: ReadRequirements,
        turn: usize,
        cost: impl Fn(&MemberId) -> Option<u32>,
    ) -> ReadTarget {
        let age = u64::try_from(requirements.max_age.as_millis()).unwrap_or(u64::MAX);
        self.smallest_max_age.fetch_min(age, Ordering::Relaxed);
        let now = self.start.elapsed();
        let ring = self.ring.lock().expect("no holder of this lock panics");
        let choice =
            route::choose_target(&self.view.borrow(), &ring, requirements, now, turn, cost);
        if choice == ReadTarget::Primary
            && requirements.seen.is_some()
            && !requirements.max_age.is_zero()
        {
            // Replicas may have applied more than the last probes showed.
            self.early_probe.notify_waiters();
        }
        choice
    }

    /// Completes when a read found no replica that is known to be current enough.
    pub fn early_probe(&self) -> Notified<'_> {
        self.early_probe.notified()
    }

    /// Starts or ends fast probing, which is used during a switchover so that statements on hold
    /// find the new primary soon.
    pub fn set_fast_probing(&self, enabled: bool) {
        if !self.fast_probing.swap(enabled, Ordering::Relaxed) && enabled {
            self.fast_probing_start.notify_waiters();
        }
    }

    /// Completes when fast probing starts.
    pub fn fast_probing_start(&self) -> Notified<'_> {
        self.fast_probing_start.notified()
    }

    /// Last known state of a member.
    pub fn member(&self, name: &MemberId) -> Option<MemberView> {
        self.view.borrow().members.get(name).cloned()
    }

    /// Time until the next probe. Probes are frequent during a switchover and while reads accept
    /// only a small staleness.
    pub fn interval(&self) -> Duration {
        let smallest_max_age = self.smallest_max_age.swap(u64::MAX, Ordering::Relaxed);
        if self.fast_probing.load(Ordering::Relaxed) {
            return FAST_INTERVAL;
        }
        (Duration::from_millis(smallest_max_age) / PROBES_PER_MAX_AGE)
            .clamp(FAST_INTERVAL, SLOW_INTERVAL)
    }

    /// Name and term of the current primary.
    pub fn primary(&self) -> Option<(MemberId, Term)> {
        let view = self.view.borrow();
        view.primary.clone().map(|name| (name, view.term))
    }

    /// Last known applied index of a member, for status reports.
    pub fn applied(&self, name: &MemberId) -> Option<LogIndex> {
        Some(self.view.borrow().members.get(name)?.applied)
    }

    /// Adds a position of the primary to the ring.
    fn record(&self, at: Duration, position: LogPosition) {
        let mut ring = self.ring.lock().expect("no holder of this lock panics");
        ring.record(at, position);
    }

    /// Edits the view, derives term and primary from the members, and notifies subscribers if the
    /// summary has changed.
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
                            "primary of the database group changed"
                        );
                    }
                    None => tracing::warn!(
                        event = 221,
                        term = view.term,
                        "database group has no primary"
                    ),
                }
            }
            before != after
        });
    }
}

type Summary = (Term, Option<MemberId>, Vec<(MemberId, bool, Role, Term)>);

/// Part of the view whose changes are notified; positions change too often.
fn summary(view: &GroupView) -> Summary {
    let members = view
        .members
        .iter()
        .map(|(name, m)| (name.clone(), m.reachable, m.role, m.term))
        .collect();
    (view.term, view.primary.clone(), members)
}
