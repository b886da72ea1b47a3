//! A member with a number of slots and a queue, driven by the window of its home.

use std::collections::VecDeque;
use std::time::Duration;

use magnoliahatch_gateway::model::statement_kind::StatementKind;
use magnoliahatch_gateway::policy::pace::AnswerClass;
use magnoliahatch_gateway::policy::pace::Answered;
use magnoliahatch_gateway::policy::pace::Pace;

/// A statement at the member.
#[derive(Debug)]
struct Statement {
    sent: Duration,
    in_flight: u32,
    /// When it ends; `None` while it waits for a slot.
    end: Option<Duration>,
}

/// Runs statements in order of arrival. Service times spread: their tail is more than seven times
/// their mean.
#[derive(Debug)]
pub(crate) struct SimulatedMember {
    slots: u32,
    now: Duration,
    random: u64,
    /// Sum over the slots of the time in which they ran statements.
    busy: Duration,
    /// Whether the other members of the service answer at their usual speed.
    pub(crate) others_usual: bool,
    statements: VecDeque<Statement>,
}

impl SimulatedMember {
    pub(crate) fn new(slots: u32, seed: u64) -> Self {
        Self::starting_at(slots, seed, Duration::from_secs(1))
    }

    pub(crate) fn starting_at(slots: u32, seed: u64, now: Duration) -> Self {
        Self {
            slots,
            now,
            random: seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1,
            busy: Duration::ZERO,
            others_usual: true,
            statements: VecDeque::new(),
        }
    }

    pub(crate) fn now(&self) -> Duration {
        self.now
    }

    /// Share of its slots that the member used while `run` ran. At a steady speed this is the share of its
    /// attainable throughput.
    pub(crate) fn used(&mut self, run: impl FnOnce(&mut Self)) -> f64 {
        let (start, busy) = (self.now, self.busy);
        run(self);
        let available = (self.now - start) * self.slots;
        (self.busy - busy).as_secs_f64() / available.as_secs_f64()
    }

    /// Sends statements until `load` or the window is in flight, runs until the next one ends, and
    /// reports its answer. `mean` is the mean service time in seconds at a time.
    pub(crate) fn answer(&mut self, pace: &mut Pace, load: u32, mean: impl Fn(Duration) -> f64) {
        while pace.in_flight() < load.min(pace.window()) {
            let in_flight = pace.on_sent(self.now);
            self.statements.push_back(Statement {
                sent: self.now,
                in_flight,
                end: None,
            });
        }
        self.start_waiting(&mean);
        let ends = self.statements.iter().enumerate();
        let ends = ends.filter_map(|(i, s)| s.end.map(|end| (end, i)));
        let (end, index) = ends.min().expect("a statement is running");
        let running = self.statements.iter().filter(|s| s.end.is_some()).count();
        self.busy += (end - self.now) * running as u32;
        self.now = end;
        let done = self.statements.remove(index).expect("it is still there");
        let answer = Answered {
            kind: StatementKind::Read,
            took: end - done.sent,
            class: AnswerClass::Served,
            in_flight: done.in_flight,
        };
        self.start_waiting(&mean);
        pace.on_answer(answer, || self.others_usual, end);
    }

    fn start_waiting(&mut self, mean: &impl Fn(Duration) -> f64) {
        let running = self.statements.iter().filter(|s| s.end.is_some()).count();
        let free = (self.slots as usize).saturating_sub(running);
        let now = self.now;
        let random = &mut self.random;
        let waiting = self.statements.iter_mut().filter(|s| s.end.is_none());
        for statement in waiting.take(free) {
            let seconds = mean(now) * spread(next(random));
            statement.end = Some(now + Duration::from_secs_f64(seconds));
        }
    }
}

/// The next number of xorshift64, between 0 and 1.
fn next(state: &mut u64) -> f64 {
    *state ^= *state << 13;
    *state ^= *state >> 7;
    *state ^= *state << 17;
    (*state >> 11) as f64 / (1_u64 << 53) as f64
}

/// A factor with a mean of 1: nine of ten are exponential with a mean of 0.5, the others with a mean
/// of 5.5, so that 1 in 36 is above 7.
fn spread(random: f64) -> f64 {
    let (mean, share) = if random < 0.1 {
        (5.5, random / 0.1)
    } else {
        (0.5, (random - 0.1) / 0.9)
    };
    -mean * (1.0 - share).ln()
}
