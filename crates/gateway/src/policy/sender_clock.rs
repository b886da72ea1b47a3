//! Relation of another host's monotonic clock to this host's.

use std::collections::VecDeque;
use std::time::Duration;

/// Number of messages from which the shortest delay is taken. A host sends one every 250 ms, so
/// there is one from before a suspension of this process for up to 4 s.
const MAX_SAMPLES: usize = 16;

/// Converts times of a sender's monotonic clock. The message with the shortest delay determines the
/// difference between the clocks, so that a message that waited somewhere does not shift its times.
#[derive(Debug, Default)]
pub struct SenderClock {
    /// When messages were sent, by the sender's clock, and received, by this host's.
    samples: VecDeque<(Duration, Duration)>,
}

impl SenderClock {
    pub fn on_message(&mut self, sent: Duration, received: Duration) {
        if self.samples.len() == MAX_SAMPLES {
            self.samples.pop_front();
        }
        self.samples.push_back((sent, received));
    }

    /// Returns the time of this host's clock at a time of the sender's.
    pub fn convert(&self, time: Duration) -> Duration {
        // Compares `received - sent` without negative durations.
        let earliest =
            |a: &&(Duration, Duration), b: &&(Duration, Duration)| (a.1 + b.0).cmp(&(b.1 + a.0));
        match self.samples.iter().min_by(earliest) {
            Some((sent, received)) => (time + *received).saturating_sub(*sent),
            None => time,
        }
    }
}
