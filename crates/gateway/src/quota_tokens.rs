//! Rate limiting of operations: each operation takes a token from the host that owns its
//! organisation's rate.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use magnoliahatch_core::ids::OrganisationId;
use magnoliahatch_core::rendezvous;

use crate::clock;
use crate::host_table::HostTable;
use crate::mesh::frame::Call;
use crate::mesh::frame::Response;
use crate::model::configuration::ANONYMOUS;
use crate::model::configuration::Rate;
use crate::model::token_request::TokenRequest;
use crate::node::Node;
use crate::platform::Platform;
use crate::policy::held_tokens::HeldTokens;
use crate::policy::host_demand::HostDemand;
use crate::policy::quota::QuotaTable;
use crate::policy::requesting_hosts::RequestingHosts;
use crate::policy::token_demand::TokenDemand;
use crate::policy::urgent_share::UrgentShare;

/// Unused tokens are dropped after this time, so that they are not used long after the window in
/// which they were granted.
const TOKEN_LIFETIME: Duration = Duration::from_millis(500);
/// Age up to which a process counts as starting.
const START_TIME: Duration = Duration::from_secs(4);
/// How long an operation then waits for the owner of its rate to be reached. After a restart of the
/// fleet the hosts find each other within this time.
const OWNER_WAIT: Duration = Duration::from_millis(600);
/// Pause between attempts to reach the owner.
const OWNER_RETRY_PAUSE: Duration = Duration::from_millis(100);
/// Time limit of a call for tokens, far above the longest round trip between regions.
const CALL_TIMEOUT: Duration = Duration::from_millis(250);

/// Tokens of a bucket that begins with a change of owner. The former owner may just have spent the burst,
/// but without any the first operation at the new owner is refused. The allowed excess of 20 operations
/// in 5 s covers as many changes.
const FIRST_TOKENS: f64 = 1.0;
/// Priority of requests of a host that does not rank its operations.
const UNRANKED: u32 = u32::MAX;

/// Tokens of all organisations: those that this host grants as an owner, and unused ones that it
/// was granted.
#[derive(Debug, Default)]
pub struct QuotaTokens {
    urgent_share: RefCell<UrgentShare>,
    table: RefCell<QuotaTable>,
    held: RefCell<BTreeMap<OrganisationId, HeldTokens>>,
    callers: RefCell<BTreeMap<OrganisationId, RequestingHosts>>,
    /// Operations of organisations whose rates are granted in order of arrival.
    demands: RefCell<BTreeMap<OrganisationId, TokenDemand>>,
    /// Operations of organisations whose rates are granted by priority.
    ranked_demands: RefCell<BTreeMap<OrganisationId, HostDemand>>,
}

impl QuotaTokens {
    /// Gives tokens to the organisations whose rates this host owns, after a start or restart of the
    /// whole system. If other hosts did so as well, each of them could grant the same tokens.
    pub fn fill<P: Platform>(&self, node: &Node<P>, tokens: impl Fn(Rate) -> f64) {
        let Some(configuration) = node.configuration() else {
            return;
        };
        let hosts = node.hosts();
        let own = node.settings.host.as_str();
        let mut table = self.table.borrow_mut();
        for (organisation, rate) in &configuration.rates {
            if rate_owner(organisation, &hosts) == Some(own) {
                table.fill(organisation, *rate, tokens(*rate), clock::now());
            }
        }
    }

    /// Settles the buckets of the first start once all hosts are registered: drops those that this host
    /// filled although another one owns the rate, and fills those that it owns and did not know of.
    pub fn settle<P: Platform>(&self, node: &Node<P>) {
        let Some(configuration) = node.configuration() else {
            return;
        };
        let hosts = node.hosts();
        let own = node.settings.host.as_str();
        let is_owner = |organisation: &str| rate_owner(organisation, &hosts) == Some(own);
        let mut table = self.table.borrow_mut();
        table.retain(is_owner);
        for (organisation, rate) in &configuration.rates {
            if is_owner(organisation) && !table.contains(organisation) {
                table.fill(organisation, *rate, rate.burst, clock::now());
            }
        }
    }

    /// Grants tokens to a host. The shares of hosts that no longer call are kept back, since a host
    /// that is cut off uses its own share. Returns the tokens of each request.
    pub fn grant<P: Platform>(
        &self,
        node: &Node<P>,
        from: &str,
        organisation: &str,
        requests: &[TokenRequest],
    ) -> Vec<u32> {
        let now = clock::now();
        let all = node.hosts().count;
        let share = {
            let mut callers = self.callers.borrow_mut();
            let callers = callers.entry(organisation.to_owned()).or_default();
            callers.record(from, now);
            callers.share(all, now)
        };
        self.open_bucket(node, organisation);
        self.take_local(node, organisation, share, requests)
    }

    /// Gives a new owner of a rate its first tokens.
    fn open_bucket<P: Platform>(&self, node: &Node<P>, organisation: &str) {
        let configuration = node.configuration();
        let rate = configuration.and_then(|c| c.rates.get(organisation).copied());
        let mut table = self.table.borrow_mut();
        if let Some(rate) = rate.filter(|_| !table.contains(organisation)) {
            table.fill(organisation, rate, FIRST_TOKENS, clock::now());
        }
    }

    /// Takes one token for an operation on a route of this priority. Returns whether there was one;
    /// anonymous operations need none.
    /// A host that has just started tries for a short time to reach the owner of the rate, which may
    /// be starting as well.
    pub async fn take<P: Platform>(
        &self,
        node: &Rc<Node<P>>,
        organisation: &str,
        priority: u32,
    ) -> bool {
        if organisation == ANONYMOUS {
            return true;
        }
        self.urgent_share.borrow_mut().record(priority);
        let ranked = self.is_ranked(node);
        // Without ranks all operations are of one class. Owners that rank them must not prefer it.
        let class = if ranked { priority } else { UNRANKED };
        let granted = self.take_class(node, organisation, class, ranked).await;
        node.metrics.count_rate(priority, granted);
        granted
    }

    /// Whether the rates of organisations are granted by priority.
    fn is_ranked<P: Platform>(&self, node: &Node<P>) -> bool {
        let configured = node.configuration().is_some_and(|c| c.ranks_operations());
        configured && self.urgent_share.borrow().ranks_operations()
    }

    async fn take_class<P: Platform>(
        &self,
        node: &Rc<Node<P>>,
        organisation: &str,
        class: u32,
        ranked: bool,
    ) -> bool {
        let batch = self.record(organisation, class, ranked);
        if self.take_held(organisation, class) {
            return true;
        }
        let starting = node.age() < START_TIME;
        let deadline = clock::now() + OWNER_WAIT;
        loop {
            let requests = if ranked {
                self.ranked_requests(organisation, class)
            } else {
                vec![request(class, batch)]
            };
            let granted = self.request(node, organisation, class, &requests).await;
            if ranked {
                let mut demands = self.ranked_demands.borrow_mut();
                let demand = demands.entry(organisation.to_owned()).or_default();
                demand.on_answer(&requests);
            }
            match granted {
                Some(granted) => return granted,
                None if !starting => return false,
                None if clock::now() + OWNER_RETRY_PAUSE >= deadline => return false,
                None => tokio::time::sleep(OWNER_RETRY_PAUSE).await,
            }
        }
    }

    /// Records an operation. Returns how many tokens to request if ranks do not apply.
    fn record(&self, organisation: &str, class: u32, ranked: bool) -> u32 {
        let now = clock::now();
        if ranked {
            let mut demands = self.ranked_demands.borrow_mut();
            let demand = demands.entry(organisation.to_owned()).or_default();
            demand.record(class, now);
            return 1;
        }
        let mut demands = self.demands.borrow_mut();
        let demand = demands.entry(organisation.to_owned()).or_default();
        demand.record(now);
        demand.batch(TOKEN_LIFETIME)
    }

    fn ranked_requests(&self, organisation: &str, class: u32) -> Vec<TokenRequest> {
        let mut demands = self.ranked_demands.borrow_mut();
        let mut held = self.held.borrow_mut();
        let demand = demands.entry(organisation.to_owned()).or_default();
        let held = held.entry(organisation.to_owned()).or_default();
        demand.requests(class, held, TOKEN_LIFETIME, clock::now())
    }

    /// Requests tokens and uses one of those for `class`. Returns whether there was one, or `None`
    /// if the owner of the rate cannot be reached and this host's own part is used up.
    async fn request<P: Platform>(
        &self,
        node: &Rc<Node<P>>,
        organisation: &str,
        class: u32,
        requests: &[TokenRequest],
    ) -> Option<bool> {
        // All hosts must choose the same owner, so hosts that cannot be reached count as well.
        let hosts = node.hosts();
        let owner = rate_owner(organisation, &hosts);
        let granted = match owner {
            Some(owner) if owner != node.settings.host => {
                let call = Call::Tokens {
                    organisation: organisation.to_owned(),
                    // Those left over serve the next operations without a call.
                    requests: requests.to_vec(),
                };
                match node.mesh.call(owner, call, CALL_TIMEOUT).await {
                    Ok(Response::Tokens(granted)) => granted,
                    answer => {
                        tracing::debug!(event = 640, owner, ?answer, "rate owner did not answer");
                        let part = 1.0 / f64::from(hosts.count);
                        let requests = only_one(requests, class);
                        let granted = self.take_local(node, organisation, part, &requests);
                        return granted.iter().any(|count| *count > 0).then_some(true);
                    }
                }
            }
            _ => {
                let requests = only_one(requests, class);
                self.grant(node, &node.settings.host, organisation, &requests)
            }
        };
        Some(self.hold(organisation, class, requests, &granted))
    }

    /// Keeps granted tokens, except one that is used for `class`. Returns whether there was one.
    fn hold(
        &self,
        organisation: &str,
        class: u32,
        requests: &[TokenRequest],
        granted: &[u32],
    ) -> bool {
        let now = clock::now();
        let mut used = false;
        let mut held = self.held.borrow_mut();
        let held = held.entry(organisation.to_owned()).or_default();
        for (request, count) in requests.iter().zip(granted) {
            let own = request.priority == class && *count > 0;
            used |= own;
            let left = count - u32::from(own);
            if left > 0 {
                held.put(request.priority, left, now);
            }
        }
        used
    }

    fn take_held(&self, organisation: &str, class: u32) -> bool {
        let mut held = self.held.borrow_mut();
        let held = held.get_mut(organisation);
        held.is_some_and(|held| held.take(class, TOKEN_LIFETIME, clock::now()))
    }

    fn take_local<P: Platform>(
        &self,
        node: &Node<P>,
        organisation: &str,
        share: f64,
        requests: &[TokenRequest],
    ) -> Vec<u32> {
        let Some(configuration) = node.configuration() else {
            return Vec::new();
        };
        let Some(rate) = configuration.rates.get(organisation).copied() else {
            return Vec::new();
        };
        let now = clock::now();
        let mut table = self.table.borrow_mut();
        if !self.is_ranked(node) {
            let take = |r: &TokenRequest| table.take(organisation, rate, share, r.wanted, now);
            return requests.iter().map(take).collect();
        }
        let before = table.is_reserving(organisation);
        let granted = table.grant(organisation, rate, share, requests, now);
        match (before, table.is_reserving(organisation)) {
            (false, true) => {
                tracing::info!(event = 730, organisation, "rate is granted by priority");
            }
            (true, false) => {
                tracing::info!(
                    event = 731,
                    organisation,
                    "rate is granted in order of arrival"
                );
            }
            _ => {}
        }
        granted
    }
}

fn request(class: u32, wanted: u32) -> TokenRequest {
    TokenRequest {
        priority: class,
        arrived: 0,
        wanted,
    }
}

/// The same requests with one token for `class`, as for tokens that this host takes itself.
fn only_one(requests: &[TokenRequest], class: u32) -> Vec<TokenRequest> {
    let one = |request: &TokenRequest| TokenRequest {
        wanted: u32::from(request.priority == class),
        ..*request
    };
    requests.iter().map(one).collect()
}

/// The host that shares out an organisation's rate.
fn rate_owner<'a>(organisation: &str, hosts: &'a HostTable) -> Option<&'a str> {
    rendezvous::owner(
        organisation,
        hosts.registered_duty.iter().map(String::as_str),
    )
}
