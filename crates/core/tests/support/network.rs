//! Simulated network that loses, delays and duplicates messages and can cut pairs of hosts.

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
    in_flight: BTreeMap<(Duration, u64), Packet>,
    /// Pairs of sender and receiver between which every message is lost.
    pub cut: BTreeSet<(usize, usize)>,
    /// Probability that a message is lost.
    pub loss: f64,
    /// Probability that a message is delivered twice.
    pub duplication: f64,
    pub delay: Duration,
    /// Probability that a message is delayed by up to three seconds more.
    pub late_probability: f64,
    /// Drops every message that carries a seat table.
    pub drop_seat_tables: bool,
    /// Drops the next message that this function accepts.
    pub drop_next: Option<fn(&Message) -> bool>,
    pub sent: u64,
    sequence: u64,
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
        if self.drop_seat_tables && matches!(packet.message, Message::Seats(_)) {
            return;
        }
        if self
            .drop_next
            .take_if(|drops| drops(&packet.message))
            .is_some()
        {
            return;
        }
        if self.cut.contains(&(packet.from, packet.to)) || rng.random_bool(self.loss) {
            return;
        }
        let copies = 1 + usize::from(rng.random_bool(self.duplication));
        for _ in 0..copies {
            let mut delay = self.delay.mul_f64(rng.random_range(0.5..1.5));
            if rng.random_bool(self.late_probability) {
                delay += Duration::from_millis(rng.random_range(0..3_000));
            }
            self.sequence += 1;
            self.in_flight
                .insert((now + delay, self.sequence), packet.clone());
        }
    }

    /// Removes and returns the next message that has arrived by `now`.
    pub fn receive(&mut self, now: Duration) -> Option<Packet> {
        let key = *self.in_flight.first_key_value()?.0;
        if key.0 > now {
            return None;
        }
        self.in_flight.remove(&key)
    }
}
