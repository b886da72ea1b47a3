//! Divides the memory for clients among those that need it.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::time::Duration;

/// How long holders wait without any grant before others are closed for them. A client that sends the
/// largest message over a fast link needs some tens of ms.
pub const PAUSE_LIMIT: Duration = Duration::from_millis(500);
/// Added to the time since a holder's progress, so that among holders that all make progress the largest
/// one is closed first.
const BASE_STALL: Duration = Duration::from_secs(1);

/// Identifies a holder of bytes: a client's connection, or a message of another host or of a member.
pub type HolderId = u64;

/// The answer to a request for bytes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reservation {
    Granted,
    /// The holder must not take more bytes until `BudgetStep::Grant` names it.
    Waiting,
}

/// What follows from events.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BudgetStep {
    /// The bytes that the holder waits for are now its own.
    Grant(HolderId),
    /// The holder must give up all its bytes. It counts as holding them until it is removed.
    Close(HolderId),
}

#[derive(Debug)]
struct Holder {
    held: u64,
    /// Number of bytes that it waits for, and since when.
    wanted: Option<(u64, Duration)>,
    /// When it last sent or read anything.
    progressed: Duration,
    /// Whether it cannot be closed, since a member runs its statement.
    pinned: bool,
    closing: bool,
}

impl Holder {
    /// Rank among the holders that may be closed: large ones that make no progress come first. A
    /// holder that waits for bytes cannot make progress and is not blamed for that.
    fn rank(&self, now: Duration) -> u128 {
        let stall = match self.wanted {
            Some(_) => Duration::ZERO,
            None => now.saturating_sub(self.progressed),
        };
        u128::from(self.held) * (stall + BASE_STALL).as_millis()
    }
}

/// The bytes that are held for clients. Bytes are granted in the order of requests; if the first request
/// waits too long, the largest and slowest holders are closed.
#[derive(Debug)]
pub struct ClientBudget {
    limit: u64,
    used: u64,
    next_id: HolderId,
    holders: BTreeMap<HolderId, Holder>,
    /// Holders that wait, in the order of their requests.
    waiting: VecDeque<HolderId>,
    /// When bytes were last granted to a holder that waited, or a holder was told to close.
    advanced: Duration,
}

impl ClientBudget {
    pub fn new(limit: u64) -> Self {
        Self {
            limit,
            used: 0,
            next_id: 1,
            holders: BTreeMap::new(),
            waiting: VecDeque::new(),
            advanced: Duration::ZERO,
        }
    }

    /// Bytes held by all holders.
    pub fn used(&self) -> u64 {
        self.used
    }

    /// Bytes of one holder.
    pub fn held(&self, id: HolderId) -> u64 {
        self.holders.get(&id).map_or(0, |h| h.held)
    }

    /// Adds a holder without bytes.
    pub fn open(&mut self, now: Duration) -> HolderId {
        let id = self.next_id;
        self.next_id += 1;
        let holder = Holder {
            held: 0,
            wanted: None,
            progressed: now,
            pinned: false,
            closing: false,
        };
        self.holders.insert(id, holder);
        id
    }

    /// Removes a holder with all its bytes.
    pub fn remove(&mut self, id: HolderId) {
        if let Some(holder) = self.holders.remove(&id) {
            self.used -= holder.held;
            self.waiting.retain(|w| *w != id);
        }
    }

    /// Requests bytes beyond those held. A holder has one request at a time.
    pub fn reserve(&mut self, id: HolderId, bytes: u64, now: Duration) -> Reservation {
        if self.try_reserve(id, bytes) {
            return Reservation::Granted;
        }
        if let Some(holder) = self.holders.get_mut(&id) {
            holder.wanted = Some((bytes, now));
            self.waiting.push_back(id);
        }
        Reservation::Waiting
    }

    /// Takes bytes if they are free and no other holder waits.
    pub fn try_reserve(&mut self, id: HolderId, bytes: u64) -> bool {
        let fits = self.waiting.is_empty() && self.fits(id, bytes);
        if fits {
            self.add(id, bytes);
        }
        fits
    }

    /// Withdraws a request that still waits.
    pub fn cancel(&mut self, id: HolderId) {
        if let Some(holder) = self.holders.get_mut(&id) {
            holder.wanted = None;
        }
        self.waiting.retain(|w| *w != id);
    }

    /// Counts bytes that are held already, even beyond the limit.
    pub fn add(&mut self, id: HolderId, bytes: u64) {
        if let Some(holder) = self.holders.get_mut(&id) {
            holder.held += bytes;
            self.used += bytes;
        }
    }

    pub fn release(&mut self, id: HolderId, bytes: u64) {
        if let Some(holder) = self.holders.get_mut(&id) {
            let bytes = bytes.min(holder.held);
            holder.held -= bytes;
            self.used -= bytes;
        }
    }

    /// Records that a holder sent or read something.
    pub fn on_progress(&mut self, id: HolderId, now: Duration) {
        if let Some(holder) = self.holders.get_mut(&id) {
            holder.progressed = now;
        }
    }

    /// Sets whether a holder cannot be closed.
    pub fn set_pinned(&mut self, id: HolderId, pinned: bool) {
        if let Some(holder) = self.holders.get_mut(&id) {
            holder.pinned = pinned;
        }
    }

    /// Whether any holder waits.
    pub fn is_short(&self) -> bool {
        !self.waiting.is_empty()
    }

    /// Grants what fits, and chooses the holders to be closed if the first request waits too long.
    pub fn advance(&mut self, now: Duration) -> Vec<BudgetStep> {
        let mut steps = Vec::new();
        while let Some(id) = self.waiting.front().copied() {
            let wanted = self.holders.get(&id).and_then(|h| h.wanted);
            let Some((bytes, since)) = wanted else {
                self.waiting.pop_front();
                continue;
            };
            if self.fits(id, bytes) {
                self.waiting.pop_front();
                if let Some(holder) = self.holders.get_mut(&id) {
                    holder.wanted = None;
                }
                self.add(id, bytes);
                self.advanced = now;
                steps.push(BudgetStep::Grant(id));
                continue;
            }
            if now.saturating_sub(since.max(self.advanced)) >= PAUSE_LIMIT {
                self.close_for(id, bytes, now, &mut steps);
            }
            break;
        }
        steps
    }

    /// Whether a request fits. One that is alone always does: a single message must be served whatever
    /// the limit.
    fn fits(&self, id: HolderId, bytes: u64) -> bool {
        self.used + bytes <= self.limit || self.used == self.held(id)
    }

    fn close_for(&mut self, id: HolderId, bytes: u64, now: Duration, steps: &mut Vec<BudgetStep>) {
        let closing = self.holders.values().filter(|h| h.closing);
        let mut rest = self.used - closing.map(|h| h.held).sum::<u64>();
        while rest + bytes > self.limit {
            let candidates = self.holders.iter_mut().filter(|(other, holder)| {
                **other != id && holder.held > 0 && !holder.pinned && !holder.closing
            });
            let Some((other, holder)) = candidates.max_by_key(|(_, h)| h.rank(now)) else {
                return;
            };
            holder.closing = true;
            self.advanced = now;
            rest -= holder.held;
            steps.push(BudgetStep::Close(*other));
        }
    }
}
