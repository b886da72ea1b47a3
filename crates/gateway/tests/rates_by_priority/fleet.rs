//! Hosts that request tokens of one organisation from the owner of its rate, without a network.

use std::collections::VecDeque;
use std::time::Duration;

use magnoliahatch_gateway::model::configuration::Rate;
use magnoliahatch_gateway::model::token_request::TokenRequest;
use magnoliahatch_gateway::policy::held_tokens::HeldTokens;
use magnoliahatch_gateway::policy::host_demand::HostDemand;
use magnoliahatch_gateway::policy::quota::QuotaTable;

const LIFETIME: Duration = Duration::from_millis(500);
/// Fixed so that each run has the same arrivals.
const SEED: u64 = 20_261_206;
/// Steps of the simulated time in a second.
const STEPS: u64 = 1000;

/// Operations of one priority that arrived, and those of them that were refused.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Count {
    pub(crate) arrived: u32,
    pub(crate) refused: u32,
}

impl Count {
    pub(crate) fn refused_share(&self) -> f64 {
        f64::from(self.refused) / f64::from(self.arrived.max(1))
    }

    pub(crate) fn served(&self) -> u32 {
        self.arrived - self.refused
    }
}

/// An operation that waits for the answer to its request.
struct Waiting {
    host: usize,
    priority: usize,
    /// Priority of the tokens that the operation may use first.
    class: u32,
    requests: Vec<TokenRequest>,
    granted: Vec<u32>,
    /// When the request or its answer arrives.
    due: Duration,
}

pub(crate) struct Fleet {
    pub(crate) table: QuotaTable,
    pub(crate) rate: Rate,
    /// Time that a message takes from a host to the owner, and back.
    pub(crate) delay: Duration,
    /// Whether operations are told apart by their priorities.
    pub(crate) ranked: bool,
    hosts: Vec<(HostDemand, HeldTokens)>,
    requested: VecDeque<Waiting>,
    answered: VecDeque<Waiting>,
    refused: [u32; 3],
    now: Duration,
    random: u64,
}

impl Fleet {
    /// Hosts whose bucket begins empty.
    pub(crate) fn new(hosts: usize, per_second: f64, burst: f64) -> Self {
        let hosts = (0..hosts).map(|_| Default::default());
        Self {
            table: QuotaTable::default(),
            rate: Rate { per_second, burst },
            delay: Duration::ZERO,
            ranked: true,
            hosts: hosts.collect(),
            requested: VecDeque::new(),
            answered: VecDeque::new(),
            refused: [0; 3],
            now: Duration::from_secs(1000),
            random: SEED,
        }
    }

    /// Runs `per_second` operations of each priority for a time, which arrive independently of each
    /// other at hosts chosen at random.
    pub(crate) fn run(&mut self, per_second: [f64; 3], time: Duration) -> [Count; 3] {
        let mut counts = [Count::default(); 3];
        let before = self.refused;
        let steps = time.as_millis() as u64 * STEPS / 1000;
        for _ in 0..steps {
            self.now += Duration::from_secs(1) / STEPS as u32;
            self.deliver();
            // The order of arrival within a step must not favour a priority.
            let first = (self.next() * 3.0) as usize;
            for priority in (0..3).map(|n| (n + first) % 3) {
                // At most one operation of a priority in a step: rates here stay far below `STEPS`.
                if self.next() >= per_second[priority] / STEPS as f64 {
                    continue;
                }
                let host = (self.next() * self.hosts.len() as f64) as usize;
                counts[priority].arrived += 1;
                self.start(host, priority);
                self.deliver();
            }
        }
        // Refusals of the last operations are counted in the next run.
        for (priority, count) in counts.iter_mut().enumerate() {
            count.refused = self.refused[priority] - before[priority];
        }
        counts
    }

    /// Starts an operation, which takes a held token or sends a request.
    fn start(&mut self, host: usize, priority: usize) {
        let (demand, held) = &mut self.hosts[host];
        let class = if self.ranked { priority as u32 } else { 0 };
        demand.record(class, self.now);
        if held.take(class, LIFETIME, self.now) {
            return;
        }
        let requests = demand.requests(class, held, LIFETIME, self.now);
        self.requested.push_back(Waiting {
            host,
            priority,
            class,
            requests,
            granted: Vec::new(),
            due: self.now + self.delay,
        });
    }

    /// Delivers the requests and answers that are due.
    fn deliver(&mut self) {
        let now = self.now;
        while let Some(mut waiting) = self.requested.pop_front_if(|w| w.due <= now) {
            let requests = &waiting.requests;
            waiting.granted = self.table.grant("org", self.rate, 1.0, requests, now);
            waiting.due = now + self.delay;
            self.answered.push_back(waiting);
        }
        while let Some(waiting) = self.answered.pop_front_if(|w| w.due <= now) {
            self.finish(&waiting);
        }
    }

    fn finish(&mut self, waiting: &Waiting) {
        let (demand, held) = &mut self.hosts[waiting.host];
        demand.on_answer(&waiting.requests);
        let mut used = false;
        for (request, count) in waiting.requests.iter().zip(&waiting.granted) {
            let own = request.priority == waiting.class && *count > 0;
            used |= own;
            if *count > u32::from(own) {
                held.put(request.priority, count - u32::from(own), self.now);
            }
        }
        self.refused[waiting.priority] += u32::from(!used);
    }

    /// A number from 0 to 1, by the generator xorshift64.
    fn next(&mut self) -> f64 {
        self.random ^= self.random << 13;
        self.random ^= self.random >> 7;
        self.random ^= self.random << 17;
        (self.random >> 11) as f64 / (1_u64 << 53) as f64
    }
}
