//! Finds the time window in which an organisation exceeded its rate limit most.

use crate::history::operation::Micros;
use crate::history::rate_limit::RateLimit;

/// Statements of one operation that ran at unknown times between `from` and `to`.
#[derive(Debug, Clone, Copy)]
pub(super) struct Span {
    pub(super) from: Micros,
    pub(super) to: Micros,
    pub(super) statements: u32,
}

/// A window in which more statements ran than the limit allows.
#[derive(Debug, Clone, Copy)]
pub(super) struct ExcessWindow {
    pub(super) from: Micros,
    pub(super) to: Micros,
    pub(super) ran: u64,
    pub(super) allowed: f64,
}

/// Tolerance for rounding errors. A real excess is one statement or a large part of one.
const TOLERANCE: f64 = 1e-6;
const MICROS_PER_SECOND: f64 = 1e6;

/// Returns the window with the greatest excess, if any exceeds the limit. A statement counts in a
/// window only if its whole span lies inside, since it may have run at any time of its span.
///
/// Starts are tried in descending order. For each end `b`, a segment tree holds
/// `statements that end by b - rate x b`, so that each start takes O(log n).
pub(super) fn max_excess(spans: &[Span], limit: RateLimit) -> Option<ExcessWindow> {
    let rate = limit.rate / MICROS_PER_SECOND;
    let mut by_end: Vec<Span> = spans.to_vec();
    by_end.sort_by_key(|span| span.to);
    let mut by_start: Vec<usize> = (0..by_end.len()).collect();
    by_start.sort_by_key(|index| std::cmp::Reverse(by_end[*index].from));

    let mut tree = Tree::new(by_end.len());
    let mut max_found: Option<(f64, Micros)> = None;
    for index in by_start {
        let span = by_end[index];
        let cost = f64::from(span.statements);
        tree.set(index, cost, cost - rate * span.to as f64);
        let excess = tree.max_prefix() + rate * span.from as f64 - limit.burst;
        if excess > TOLERANCE && max_found.is_none_or(|(max, _)| excess > max) {
            max_found = Some((excess, span.from));
        }
    }
    let (_, from) = max_found?;
    by_end.retain(|span| span.from >= from);
    let mut ran = 0;
    let ends = by_end.iter().map(|span| {
        ran += u64::from(span.statements);
        let allowed = rate * (span.to - from) as f64 + limit.burst;
        ExcessWindow {
            from,
            to: span.to,
            ran,
            allowed,
        }
    });
    ends.max_by(|a, b| (a.ran as f64 - a.allowed).total_cmp(&(b.ran as f64 - b.allowed)))
}

/// Segment tree over spans ordered by end. Each node holds the sum of its costs and its greatest
/// `prefix cost + offset`.
struct Tree {
    leaves: usize,
    nodes: Vec<(f64, f64)>,
}

impl Tree {
    fn new(count: usize) -> Self {
        let leaves = count.next_power_of_two();
        Self {
            leaves,
            nodes: vec![(0.0, f64::NEG_INFINITY); 2 * leaves],
        }
    }

    fn set(&mut self, index: usize, cost: f64, prefix: f64) {
        let mut node = self.leaves + index;
        self.nodes[node] = (cost, prefix);
        while node > 1 {
            node /= 2;
            let (left, right) = (self.nodes[2 * node], self.nodes[2 * node + 1]);
            self.nodes[node] = (left.0 + right.0, left.1.max(left.0 + right.1));
        }
    }

    fn max_prefix(&self) -> f64 {
        self.nodes[1].1
    }
}
