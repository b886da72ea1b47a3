//! Messages in flight: lost, delayed, duplicated, and cut between pairs of hosts.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use magnoliahatch_core::ids::Incarnation;
use magnoliahatch_core::message::Message;
use rand::Rng;
use rand::rngs::StdRng;

#[derive(Debug, Clone)]
pub struct Packet {
    pub from: usize,
    pub incarnation: Incarnation,
    pub to: usize,
    pub message: Message,
}

#[derive(Debug, Default)]
pub struct Network {
    queue: BTreeMap<(Duration, u64), Packet>,
    pub cut: BTreeSet<(usize, usize)>,
    pub loss: f64,
    pub repeat: f64,
    pub delay: Duration,
    /// Probability that a message takes up to three seconds.
    pub late: f64,
    pub sent: u64,
    count: u64,
}

impl Network {
    pub fn new(delay: Duration) -> Self {
        Self {
            delay,
            ..Self::default()
        }
    }

    pub fn send(&mut self, packet: Packet, now: Duration, rng: &mut StdRng) {
        self.sent += 1;
        if self.cut.contains(&(packet.from, packet.to)) || rng.random_bool(self.loss) {
            return;
        }
        let copies = 1 + usize::from(rng.random_bool(self.repeat));
        for _ in 0..copies {
            let mut delay = self.delay.mul_f64(rng.random_range(0.5..1.5));
            if rng.random_bool(self.late) {
                delay += Duration::from_millis(rng.random_range(0..3_000));
            }
            self.count += 1;
            self.queue.insert((now + delay, self.count), packet.clone());
        }
    }

    /// Next message that has arrived by `now`.
    pub fn receive(&mut self, now: Duration) -> Option<Packet> {
        let key = *self.queue.first_key_value()?.0;
        if key.0 > now {
            return None;
        }
        self.queue.remove(&key)
    }
}
