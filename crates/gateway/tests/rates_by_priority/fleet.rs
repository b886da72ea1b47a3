//! Hosts that request tokens of one organisation from the owner of its rate, without a network.

use std::time::Duration;

use magnoliahatch_gateway::model::configuration::Rate;
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

pub(crate) struct Fleet {
    pub(crate) table: QuotaTable,
    pub(crate) rate: Rate,
    hosts: Vec<(HostDemand, HeldTokens)>,
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
            hosts: hosts.collect(),
            now: Duration::from_secs(1000),
            random: SEED,
        }
    }

    /// Runs `per_second` operations of each priority for a time, which arrive independently of each
    /// other at hosts chosen at random.
    pub(crate) fn run(&mut self, per_second: [f64; 3], time: Duration) -> [Count; 3] {
        let mut counts = [Count::default(); 3];
        let steps = time.as_millis() as u64 * STEPS / 1000;
        for _ in 0..steps {
            self.now += Duration::from_secs(1) / STEPS as u32;
            // The order of arrival within a step must not favour a priority.
            let first = (self.next() * 3.0) as usize;
            for priority in (0..3).map(|n| (n + first) % 3) {
                // At most one operation of a priority in a step: rates here stay far below `STEPS`.
                if self.next() >= per_second[priority] / STEPS as f64 {
                    continue;
                }
                let host = (self.next() * self.hosts.len() as f64) as usize;
                counts[priority].arrived += 1;
                counts[priority].refused += u32::from(!self.operation(host, priority as u32));
            }
        }
        counts
    }

    /// Whether an operation at a host gets a token.
    fn operation(&mut self, host: usize, priority: u32) -> bool {
        let (demand, held) = &mut self.hosts[host];
        demand.record(priority, self.now);
        if held.take(priority, LIFETIME, self.now) {
            return true;
        }
        let requests = demand.requests(priority, held, LIFETIME, self.now);
        let granted = self.table.grant("org", self.rate, 1.0, &requests, self.now);
        demand.on_answer(&requests);
        let mut used = false;
        for (request, count) in requests.iter().zip(granted) {
            let own = request.priority == priority && count > 0;
            used |= own;
            if count > u32::from(own) {
                held.put(request.priority, count - u32::from(own), self.now);
            }
        }
        used
    }

    /// A number from 0 to 1, by the generator xorshift64.
    fn next(&mut self) -> f64 {
        self.random ^= self.random << 13;
        self.random ^= self.random >> 7;
        self.random ^= self.random << 17;
        (self.random >> 11) as f64 / (1_u64 << 53) as f64
    }
}
