//! Simulated fleet and the checks that run on it.

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

/// Rate and burst of a contract, and the connection limit of a member.
pub type Contract = (Amount, u32);

/// Maximum time that a statement waits for a loan.
pub const MAX_WAIT: Duration = Duration::from_millis(1_000);
/// Time within which a host that has learned of a smaller contract lowers its floor. It may have to
/// wait until its loans have ended.
const CONTRACT_ADOPTION: Duration = Duration::from_millis(2_500);

pub struct Simulation {
    pub now: Duration,
    pub hosts: Vec<Host>,
    pub net: Network,
    pub store: Option<SeatTable>,
    pub store_up: bool,
    /// Probability that the store's answer to a change is lost although the change was made.
    pub store_answer_loss: f64,
    pub contracts: Vec<Contract>,
    pub step: Duration,
    pub rng: StdRng,
    /// Longest wait of any admitted statement.
    pub longest_wait: Duration,
    division: Division,
    checker: Checker,
    /// When each contract was last in force on at least one host.
    last_in_force: BTreeMap<usize, Duration>,
    table_version: u64,
}

pub fn rate_limit() -> LimitId {
    LimitId::Rate("org".into())
}

pub fn connection_limit() -> LimitId {
    LimitId::Connections("db".into(), "member".into())
}

impl Simulation {
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
            store_answer_loss: 0.0,
            contracts: vec![contract],
            step: Duration::from_millis(20),
            rng,
            longest_wait: Duration::ZERO,
            division,
            checker: Checker::new(contract.0),
            last_in_force: BTreeMap::from([(0, Duration::ZERO)]),
            table_version: 0,
        }
    }

    pub fn start(&mut self, index: usize) {
        let incarnation = self.rng.random_range(1..u64::MAX);
        let now = self.now;
        let latest = self.contracts.len() - 1;
        let names: Vec<String> = self.hosts.iter().map(|h| h.name.clone()).collect();
        let host = &mut self.hosts[index];
        if host.coordinator.is_some() {
            return;
        }
        let local = host.local(now);
        let mut coordinator =
            Coordinator::new(host.name.clone(), incarnation, self.division, local);
        coordinator.set_peers(names, local);
        host.coordinator = Some(coordinator);
        host.incarnation = incarnation;
        host.paused = false;
        host.inbox.clear();
        host.contract = latest;
        host.next_store_read = now;
        host.pending_read = None;
        let limits = limits(self.contracts[latest]);
        if let Some(coordinator) = &mut host.coordinator {
            coordinator.set_limits(&limits, local);
        }
    }

    pub fn crash(&mut self, index: usize) {
        let host = &mut self.hosts[index];
        host.coordinator = None;
        host.open_connections = 0;
        host.inbox.clear();
        host.waiting.clear();
    }

    pub fn change_contract(&mut self, contract: Contract) {
        self.contracts.push(contract);
    }

    /// Runs the simulation until `end` and checks every admission and the number of connections.
    pub fn run(&mut self, end: Duration) -> Result<(), String> {
        while self.now < end {
            self.now += self.step;
            self.deliver();
            for index in 0..self.hosts.len() {
                if self.hosts[index].is_running() {
                    self.run_host(index);
                }
            }
            self.update_checked_limit();
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
            if host.coordinator.is_some() {
                host.inbox.push_back(packet);
            }
        }
    }

    fn run_host(&mut self, index: usize) {
        let now = self.now;
        let names: Vec<String> = self.hosts.iter().map(|h| h.name.clone()).collect();
        let host = &mut self.hosts[index];
        let local = host.local(now);
        let Some(coordinator) = &mut host.coordinator else {
            return;
        };
        // Contract changes reach a host in order, each with a random delay.
        if host.contract + 1 < self.contracts.len() && self.rng.random_bool(0.05) {
            host.contract += 1;
            coordinator.set_limits(&limits(self.contracts[host.contract]), local);
        }
        let mut out = Vec::new();
        while let Some(packet) = host.inbox.pop_front() {
            let from = names[packet.from].clone();
            out.extend(coordinator.on_message(&from, packet.incarnation, &packet.message, local));
        }
        out.extend(coordinator.tick(local));
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
        let Some(coordinator) = &mut host.coordinator else {
            return;
        };
        if let Some((arrives, begun, table)) = host.pending_read.clone() {
            if now < arrives {
                return;
            }
            host.pending_read = None;
            if let Some(table) = &table {
                coordinator.on_seat_table(table, local);
            }
            coordinator.on_store_answer(begun);
            if let Some(update) = coordinator.propose_seat_update(local)
                && self.store_up
                && !host.store_cut
                && self.store.as_ref().map_or(0, |t| t.version) == update.expected_version
            {
                self.table_version += 1;
                let table = SeatTable {
                    version: self.table_version,
                    seats: update.seats,
                };
                self.store = Some(table.clone());
                if !self.rng.random_bool(self.store_answer_loss) {
                    coordinator.on_seat_table(&table, local);
                }
            }
            return;
        }
        if self.store_up && !host.store_cut && now >= host.next_store_read {
            host.next_store_read = now + Duration::from_millis(self.rng.random_range(200..600));
            let arrives = now + Duration::from_millis(self.rng.random_range(0..100));
            host.pending_read = Some((arrives, local, self.store.clone()));
        }
    }

    fn update_checked_limit(&mut self) {
        for host in self.hosts.iter().filter(|h| h.coordinator.is_some()) {
            self.last_in_force.insert(host.contract, self.now);
        }
        let limit = self
            .last_in_force
            .iter()
            .filter(|(_, at)| self.now < **at + CONTRACT_ADOPTION)
            .fold(Amount::ZERO, |sum, (c, _)| sum.max(self.contracts[*c].0));
        self.checker.set_limit(limit, self.now);
    }

    fn serve(&mut self, index: usize) -> Result<(), String> {
        let now = self.now;
        let host = &mut self.hosts[index];
        host.arrival_remainder += if host.load.is_finite() {
            host.load * self.step.as_secs_f64()
        } else {
            8.0
        };
        let arriving = host.arrival_remainder.floor();
        host.arrival_remainder -= arriving;
        let running = host.is_running();
        let local = host.local(now);
        let Some(coordinator) = &mut host.coordinator else {
            host.refused += arriving as u64;
            return Ok(());
        };
        if !running {
            return Ok(());
        }
        if let Some(share) = coordinator.share(&rate_limit(), local) {
            for _ in 0..arriving as u64 {
                share.demand.on_arrival(local);
                host.waiting.push_back(now + MAX_WAIT);
            }
        }
        while host.waiting.front().is_some_and(|until| *until < now) {
            host.waiting.pop_front();
            host.refused += 1;
        }
        while !host.waiting.is_empty() && coordinator.take(&rate_limit(), local) {
            let until = host.waiting.pop_front().unwrap_or(now);
            self.longest_wait = self.longest_wait.max(now + MAX_WAIT - until);
            host.admitted += 1;
            self.checker.admit(now)?;
        }
        if let Some(share) = coordinator.share(&rate_limit(), local) {
            share.demand.set_waiting(host.waiting.len() as u32);
        }
        Ok(())
    }

    fn check_connections(&mut self) -> Result<(), String> {
        let now = self.now;
        let mut sum = 0;
        let mut usable = Amount::ZERO;
        for host in self.hosts.iter_mut().filter(|h| h.is_running()) {
            let local = host.local(now);
            let Some(coordinator) = &mut host.coordinator else {
                continue;
            };
            let limit = connection_limit();
            if let Some(share) = coordinator.share(&limit, local) {
                share.set_connection_demand(host.wanted_connections, local);
            }
            let allowed = coordinator.allowance(&limit, local);
            let bound = coordinator.hard_limit(&limit, local);
            if host.open_connections > bound {
                // Connections covered by a loan that has ended are closed by force.
                host.open_connections = bound;
            } else if host.open_connections > allowed && self.rng.random_bool(0.2) {
                host.open_connections -= 1;
            }
            coordinator.set_open(&limit, host.open_connections, local);
            while host.open_connections < host.wanted_connections
                && coordinator.set_open(&limit, host.open_connections + 1, local)
            {
                host.open_connections += 1;
            }
            sum += host.open_connections;
            if let Some(share) = coordinator.share(&rate_limit(), local) {
                usable = usable.plus(share.usable(local));
            }
        }
        let limit = self
            .last_in_force
            .iter()
            .filter(|(_, at)| now < **at + CONTRACT_ADOPTION);
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
        (rate_limit(), contract.0),
        (connection_limit(), Amount::connections(contract.1)),
    ])
}
