//! Compares a member's answer times to its usual ones.

use std::collections::VecDeque;
use std::time::Duration;

use crate::model::statement_kind::StatementKind;

/// Answers of a kind whose median is the first baseline. With wide service times the median of fewer
/// is often half of what it will be.
const LEARNED: usize = 101;
/// Answers of a kind before its baseline is used at all. While a member's window opens, a rough
/// baseline is enough.
const MIN_LEARNED: usize = 4;
/// Relative change of a baseline by one step. A baseline follows a lasting change by a factor of two
/// within 140 steps.
const STEP: f64 = 0.005;
/// Minimum time between two steps, so that a busy member's short slowness (up to some seconds) does
/// not become its baseline.
const STEP_INTERVAL: Duration = Duration::from_millis(100);
/// Answer time, relative to the baseline, above which an answer is slow. Source: the design page,
/// part D.
pub const SLOW: f64 = 2.0;
/// Answers by whose median a member counts as slow. If service times have tails of seven times the
/// mean, up to 28% of them are slow by chance; the median of 101 is then in 1 of a million.
const RECENT: usize = 101;
/// Reads whose median is reported as the current time of a read. With 9 it spread by 40%, and in a
/// simulated fleet hosts moved to and fro between members because of that.
const RECENT_READS: usize = 51;

/// The usual time of one kind of statement: its running median.
#[derive(Debug, Clone, Default)]
struct Baseline {
    first: Vec<f64>,
    seconds: f64,
    stepped: Duration,
}

impl Baseline {
    fn known(&self) -> Option<f64> {
        (self.first.len() >= MIN_LEARNED).then_some(self.seconds)
    }

    fn is_learned(&self) -> bool {
        self.first.len() >= LEARNED
    }

    fn record(&mut self, seconds: f64, now: Duration) {
        if !self.is_learned() {
            self.first.push(seconds);
            self.seconds = median(self.first.iter().copied());
        } else if now.saturating_sub(self.stepped) >= STEP_INTERVAL {
            self.stepped = now;
            let factor = 1.0 + STEP;
            self.seconds *= if seconds > self.seconds {
                factor
            } else {
                factor.recip()
            };
        }
    }
}

/// Answer times of one member. Times are divided by the load under which the statement ran, so that
/// they do not depend on how many others the member ran.
#[derive(Debug, Clone, Default)]
pub struct AnswerTimes {
    baselines: [Baseline; 3],
    /// Recent times divided by the baseline of their kind, the newest last, and whether they are slow
    /// by a baseline that is learned.
    ratios: VecDeque<(f64, bool)>,
    /// How many of these are slow.
    slow: usize,
    reads: VecDeque<f64>,
}

impl AnswerTimes {
    /// Records an answer time. Only those of statements that ran without an error change the
    /// baseline, since an error may be answered early.
    pub fn record(&mut self, kind: StatementKind, seconds: f64, served: bool, now: Duration) {
        let baseline = &mut self.baselines[kind as usize];
        if let Some(usual) = baseline.known() {
            let ratio = seconds / usual.max(f64::EPSILON);
            let slow = ratio > SLOW && baseline.is_learned();
            let oldest = push(&mut self.ratios, (ratio, slow), RECENT);
            self.slow += usize::from(slow);
            self.slow -= usize::from(oldest.is_some_and(|(_, slow)| slow));
        }
        if served {
            baseline.record(seconds, now);
            if kind == StatementKind::Read {
                push(&mut self.reads, seconds, RECENT_READS);
            }
        }
    }

    /// Forgets the recent times, since the window has changed. The baselines stay.
    pub fn clear_recent(&mut self) {
        self.ratios.clear();
        self.slow = 0;
    }

    /// Whether the median of the last `RECENT` times is slow.
    pub fn is_slow(&self) -> bool {
        self.ratios.len() == RECENT && self.slow > RECENT / 2
    }

    /// Number of recent times.
    pub fn recent(&self) -> usize {
        self.ratios.len()
    }

    /// Median of the last `count` times relative to the baseline.
    pub fn median_ratio(&self, count: usize) -> f64 {
        median(self.ratios.iter().rev().take(count).map(|(r, _)| *r))
    }

    /// Current time of a read, if reads were answered.
    pub fn read_time(&self) -> Option<Duration> {
        let known = !self.reads.is_empty();
        known.then(|| Duration::from_secs_f64(median(self.reads.iter().copied())))
    }
}

/// Appends a value and returns the oldest one if there are more than `limit`.
fn push<T>(values: &mut VecDeque<T>, value: T, limit: usize) -> Option<T> {
    values.push_back(value);
    (values.len() > limit).then(|| values.pop_front()).flatten()
}

/// The lower median; 0 if there are no values.
fn median(values: impl Iterator<Item = f64>) -> f64 {
    let mut sorted: Vec<f64> = values.collect();
    sorted.sort_unstable_by(f64::total_cmp);
    let middle = sorted.len().saturating_sub(1) / 2;
    sorted.get(middle).copied().unwrap_or_default()
}
