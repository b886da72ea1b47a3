//! The fleet and its checks.

use std::collections::BTreeMap;
use std::time::Duration;

use magnoliahatch_core::amount::Amount;
use magnoliahatch_core::coordinator::Coordinator;
use magnoliahatch_core::coordinator::Division;
use magnoliahatch_core::limit::LimitId;
use magnoliahatch_core::seat_table::SeatTable;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::StdRng;

use super::checker::Checker;
use super::host::Host;
use super::network::Network;
use super::network::Packet;

/// A contract's rate and burst, and a member's connections.
pub type Contract = (Amount, u32);

/// How long a statement may wait for a loan.
pub const WAIT: Duration = Duration::from_millis(1_000);
/// A host that learns of a smaller contract lowers its floor once its loans have ended.
const ADOPT: Duration = Duration::from_millis(2_500);

pub struct World {
    pub now: Duration,
    pub hosts: Vec<Host>,
    pub net: Network,
    pub store: Option<SeatTable>,
    pub store_up: bool,
    /// Probability that the store's answer to a change is lost after it took effect.
    pub store_loss: f64,
    pub contracts: Vec<Contract>,
    pub step: Duration,
    pub rng: StdRng,
    /// Longest wait of an admitted statement.
    pub longest: Duration,
    division: Division,
    checker: Checker,
    /// When each contract was last in force on any host.
    in_force: BTreeMap<usize, Duration>,
    version: u64,
}

pub fn rate() -> LimitId {
    LimitId::Rate("org".into())
}

pub fn connections() -> LimitId {
    LimitId::Connections("db".into(), "member".into())
}

impl World {
    pub fn new(count: usize, contract: Contract, division: Division, seed: u64) -> Self {
        let mut rng = StdRng::seed_from_u64(seed);
        let hosts = (0..count)
            .map(|i| Host::new(i, Duration::from_millis(rng.random_range(0..1_000_000))))
            .collect();
        Self {
            now: Duration::ZERO,
            hosts,
            net: Network::new(Duration::from_millis(4)),
            store: None,
            store_up: true,
            store_loss: 0.0,
            contracts: vec![contract],
            step: Duration::from_millis(20),
            rng,
            longest: Duration::ZERO,
            division,
            checker: Checker::new(contract.0),
            in_force: BTreeMap::from([(0, Duration::ZERO)]),
            version: 0,
        }
    }

    pub fn start(&mut self, index: usize) {
        let incarnation = self.rng.random_range(1..u64::MAX);
        let now = self.now;
        let latest = self.contracts.len() - 1;
        let names: Vec<String> = self.hosts.iter().map(|h| h.name.clone()).collect();
        let host = &mut self.hosts[index];
        if host.node.is_some() {
            return;
        }
        let local = host.local(now);
        let mut node = Coordinator::new(host.name.clone(), incarnation, self.division, local);
        node.set_peers(names, local);
        host.node = Some(node);
        host.incarnation = incarnation;
        host.paused = false;
        host.inbox.clear();
        host.contract = latest;
        host.next_store = now;
        host.reading = None;
        let limits = limits(self.contracts[latest]);
        if let Some(node) = &mut host.node {
            node.set_limits(&limits, local);
        }
    }

    pub fn crash(&mut self, index: usize) {
        let host = &mut self.hosts[index];
        host.node = None;
        host.open = 0;
        host.inbox.clear();
        host.waiting.clear();
    }

    pub fn change_contract(&mut self, contract: Contract) {
        self.contracts.push(contract);
    }

    /// Runs until `end` and checks every admitted statement and the connections in use.
    pub fn run(&mut self, end: Duration) -> Result<(), String> {
        while self.now < end {
            self.now += self.step;
            self.deliver();
            for index in 0..self.hosts.len() {
                if self.hosts[index].running() {
                    self.run_host(index);
                }
            }
            self.watch_contracts();
            for index in 0..self.hosts.len() {
                self.serve(index)?;
            }
            self.check_connections()?;
        }
        Ok(())
    }

    fn deliver(&mut self) {
        while let Some(packet) = self.net.receive(self.now) {
            let host = &mut self.hosts[packet.to];
            if host.node.is_some() {
                host.inbox.push_back(packet);
            }
        }
    }

    fn run_host(&mut self, index: usize) {
        let now = self.now;
        let names: Vec<String> = self.hosts.iter().map(|h| h.name.clone()).collect();
        let host = &mut self.hosts[index];
        let local = host.local(now);
        let Some(node) = &mut host.node else { return };
        // Contract changes reach each host after up to a few steps, in order.
        if host.contract + 1 < self.contracts.len() && self.rng.random_bool(0.05) {
            host.contract += 1;
            node.set_limits(&limits(self.contracts[host.contract]), local);
        }
        let mut out = Vec::new();
        while let Some(packet) = host.inbox.pop_front() {
            let from = names[packet.from].clone();
            out.extend(node.on_message(&from, packet.incarnation, &packet.message, local));
        }
        out.extend(node.tick(local));
        let incarnation = host.incarnation;
        for outgoing in out {
            let to = names.iter().position(|n| *n == outgoing.to).unwrap();
            let packet = Packet {
                from: index,
                incarnation,
                to,
                message: outgoing.message,
            };
            self.net.send(packet, now, &mut self.rng);
        }
        self.use_store(index);
    }

    fn use_store(&mut self, index: usize) {
        let now = self.now;
        let host = &mut self.hosts[index];
        let local = host.local(now);
        let Some(node) = &mut host.node else { return };
        if let Some((arrives, begun, table)) = host.reading.clone() {
            if now < arrives {
                return;
            }
            host.reading = None;
            if let Some(table) = &table {
                node.on_table(table, local);
            }
            node.on_store(begun);
            if let Some(claim) = node.claim(local)
                && self.store_up
                && !host.store_cut
                && self.store.as_ref().map_or(0, |t| t.version) == claim.expected
            {
                self.version += 1;
                let table = SeatTable {
                    version: self.version,
                    seats: claim.seats,
                };
                self.store = Some(table.clone());
                if !self.rng.random_bool(self.store_loss) {
                    node.on_table(&table, local);
                }
            }
            return;
        }
        if self.store_up && !host.store_cut && now >= host.next_store {
            host.next_store = now + Duration::from_millis(self.rng.random_range(200..600));
            let arrives = now + Duration::from_millis(self.rng.random_range(0..100));
            host.reading = Some((arrives, local, self.store.clone()));
        }
    }

    fn watch_contracts(&mut self) {
        for host in self.hosts.iter().filter(|h| h.node.is_some()) {
            self.in_force.insert(host.contract, self.now);
        }
        let limit = self
            .in_force
            .iter()
            .filter(|(_, at)| self.now < **at + ADOPT)
            .fold(Amount::ZERO, |sum, (c, _)| sum.max(self.contracts[*c].0));
        self.checker.set(limit, self.now);
    }

    fn serve(&mut self, index: usize) -> Result<(), String> {
        let now = self.now;
        let host = &mut self.hosts[index];
        host.arrears += if host.load.is_finite() {
            host.load * self.step.as_secs_f64()
        } else {
            8.0
        };
        let arriving = host.arrears.floor();
        host.arrears -= arriving;
        let running = host.running();
        let local = host.local(now);
        let Some(node) = &mut host.node else {
            host.refused += arriving as u64;
            return Ok(());
        };
        if !running {
            return Ok(());
        }
        if let Some(share) = node.share(&rate(), local) {
            for _ in 0..arriving as u64 {
                share.demand.on_arrival(local);
                host.waiting.push_back(now + WAIT);
            }
        }
        while host.waiting.front().is_some_and(|until| *until < now) {
            host.waiting.pop_front();
            host.refused += 1;
        }
        while !host.waiting.is_empty() && node.take(&rate(), local) {
            let until = host.waiting.pop_front().unwrap_or(now);
            self.longest = self.longest.max(now + WAIT - until);
            host.admitted += 1;
            self.checker.admit(now)?;
        }
        if let Some(share) = node.share(&rate(), local) {
            share.demand.set_waiting(host.waiting.len() as u32);
        }
        Ok(())
    }

    fn check_connections(&mut self) -> Result<(), String> {
        let now = self.now;
        let mut sum = 0;
        let mut usable = Amount::ZERO;
        for host in self.hosts.iter_mut().filter(|h| h.running()) {
            let local = host.local(now);
            let Some(node) = &mut host.node else { continue };
            let limit = connections();
            if let Some(share) = node.share(&limit, local) {
                share.set_need(host.wanted, local);
            }
            let allowed = node.allowance(&limit, local);
            let bound = node.bound(&limit, local);
            if host.open > bound {
                // Loans that end close their connections by force.
                host.open = bound;
            } else if host.open > allowed && self.rng.random_bool(0.2) {
                host.open -= 1;
            }
            node.set_open(&limit, host.open, local);
            while host.open < host.wanted && node.set_open(&limit, host.open + 1, local) {
                host.open += 1;
            }
            sum += host.open;
            if let Some(share) = node.share(&rate(), local) {
                usable = usable.plus(share.usable(local));
            }
        }
        let limit = self.in_force.iter().filter(|(_, at)| now < **at + ADOPT);
        let limit = limit.map(|(c, _)| self.contracts[*c].1).max().unwrap_or(0);
        if sum > limit {
            return Err(format!(
                "at {now:?} {sum} connections are in use of {limit}"
            ));
        }
        Ok(())
    }

    pub fn admitted(&self) -> u64 {
        self.hosts.iter().map(|h| h.admitted).sum()
    }

    pub fn refused(&self) -> u64 {
        self.hosts.iter().map(|h| h.refused).sum()
    }
}

fn limits(contract: Contract) -> BTreeMap<LimitId, Amount> {
    BTreeMap::from([
        (rate(), contract.0),
        (connections(), Amount::whole(contract.1)),
    ])
}
