//! Rate limiting of operations: each operation takes a token from the host that owns its
//! organisation's rate.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use magnoliahatch_core::ids::HostId;
use magnoliahatch_core::ids::OrganisationId;
use magnoliahatch_core::rendezvous;

use crate::clock;
use crate::host_table::HostTable;
use crate::mesh::frame::Call;
use crate::mesh::frame::Response;
use crate::model::configuration::ANONYMOUS;
use crate::model::configuration::Rate;
use crate::model::handover::Handover;
use crate::model::token_request::TokenRequest;
use crate::node::Node;
use crate::platform::Platform;
use crate::policy::held_tokens::HeldTokens;
use crate::policy::host_demand::HostDemand;
use crate::policy::rate_grants::RateGrants;
use crate::policy::token_call::TokenCall;
use crate::policy::token_demand::TokenDemand;
use crate::policy::token_source;
use crate::policy::token_source::TokenSource;
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
/// Time limit of a call for tokens on behalf of another host, which waits for `CALL_TIMEOUT`.
const FORWARD_TIMEOUT: Duration = Duration::from_millis(150);
/// Priority of requests of a host that does not rank its operations.
const UNRANKED: u32 = u32::MAX;

/// Tokens of all organisations: those that this host grants as an owner, and unused ones that it
/// was granted.
#[derive(Debug, Default)]
pub struct QuotaTokens {
    urgent_share: RefCell<UrgentShare>,
    grants: RefCell<RateGrants>,
    held: RefCell<BTreeMap<OrganisationId, HeldTokens>>,
    /// Operations of organisations whose rates are granted in order of arrival.
    demands: RefCell<BTreeMap<OrganisationId, TokenDemand>>,
    /// Operations of organisations whose rates are granted by priority.
    ranked_demands: RefCell<BTreeMap<OrganisationId, HostDemand>>,
}

impl QuotaTokens {
    /// Gives tokens to the organisations whose rates this host owns, after a start or restart of the
    /// whole system. If other hosts did so as well, each of them could grant the same tokens. Rates that
    /// have been filled before are left out.
    pub fn fill<P: Platform>(&self, node: &Node<P>, tokens: impl Fn(Rate) -> f64) {
        let Some(configuration) = node.configuration() else {
            return;
        };
        let mut grants = self.grants.borrow_mut();
        for (organisation, rate) in &configuration.rates {
            grants.fill(organisation, *rate, tokens(*rate), clock::now());
        }
    }

    /// Records which rates this host owns by its list of hosts. Returns the tokens of those that it has
    /// just lost, by the host that owns them now.
    pub fn update_owners<P: Platform>(&self, node: &Node<P>) -> BTreeMap<HostId, Vec<Handover>> {
        let mut lost: BTreeMap<HostId, Vec<Handover>> = BTreeMap::new();
        let Some(configuration) = node.configuration() else {
            return lost;
        };
        let now = clock::now();
        let hosts = node.hosts();
        let mut grants = self.grants.borrow_mut();
        grants.on_activity(now);
        grants.retain(|organisation| configuration.rates.contains_key(organisation));
        for (organisation, rate) in &configuration.rates {
            let owner = rate_owner(organisation, &hosts);
            let owns = owner == Some(node.settings.host.as_str());
            let tokens = grants.set_owner(organisation, *rate, owns, now);
            if let (Some(tokens), Some(owner)) = (tokens, owner) {
                let handover = Handover {
                    organisation: organisation.clone(),
                    tokens,
                };
                lost.entry(owner.to_owned()).or_default().push(handover);
            }
        }
        lost
    }

    /// Takes over tokens of a host that has lost rates to this one.
    pub fn on_handover<P: Platform>(&self, node: &Node<P>, handovers: &[Handover]) {
        let Some(configuration) = node.configuration() else {
            return;
        };
        let mut grants = self.grants.borrow_mut();
        for handover in handovers {
            let organisation = &handover.organisation;
            if let Some(rate) = configuration.rates.get(organisation) {
                grants.on_handover(organisation, *rate, handover.tokens, clock::now());
            }
        }
    }

    /// Must be called regularly, so that a time in which the process was suspended is noticed.
    pub fn on_activity(&self) {
        self.grants.borrow_mut().on_activity(clock::now());
    }

    /// Whether this host owned a rate and lost it.
    pub fn has_lost(&self, organisation: &str) -> bool {
        self.grants.borrow().has_lost(organisation)
    }

    /// Answers a host that takes this one for the owner of a rate. If another host owns it now, the tokens
    /// come from there. Returns the tokens of each request.
    pub async fn answer<P: Platform>(
        &self,
        node: &Rc<Node<P>>,
        from: &str,
        organisation: &str,
        requests: &[TokenRequest],
    ) -> Vec<u32> {
        let hosts = node.hosts();
        let owner = rate_owner(organisation, &hosts);
        let source =
            token_source::for_host(owner, &node.settings.host, self.has_lost(organisation));
        let owner = match source {
            TokenSource::Own => return self.grant(node, from, organisation, requests),
            TokenSource::Share => return self.take_share(node, organisation, requests),
            TokenSource::Owner(owner) => owner,
        };
        let call = Call::TokensFor {
            host: from.to_owned(),
            organisation: organisation.to_owned(),
            requests: requests.to_vec(),
        };
        match node.mesh.call(owner, call, FORWARD_TIMEOUT).await {
            Ok(Response::Tokens(granted)) => granted,
            // That host has lost the rate too, so the next one is this host.
            Ok(_) => self.grant(node, from, organisation, requests),
            Err(error) => {
                tracing::debug!(event = 640, owner, ?error, "rate owner did not answer");
                self.take_share(node, organisation, requests)
            }
        }
    }

    /// Grants tokens to a host. Returns the tokens of each request.
    pub fn grant<P: Platform>(
        &self,
        node: &Node<P>,
        from: &str,
        organisation: &str,
        requests: &[TokenRequest],
    ) -> Vec<u32> {
        let hosts = node.hosts().count;
        self.with_call(node, organisation, requests, |grants, call, now| {
            grants.grant(from, hosts, call, now)
        })
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
        let granted = match token_source::for_clients(owner, &node.settings.host) {
            TokenSource::Owner(owner) => {
                let call = Call::Tokens {
                    organisation: organisation.to_owned(),
                    // Those left over serve the next operations without a call.
                    requests: requests.to_vec(),
                };
                match node.mesh.call(owner, call, CALL_TIMEOUT).await {
                    Ok(Response::Tokens(granted)) => {
                        let mut grants = self.grants.borrow_mut();
                        grants.on_owner_answered(organisation, clock::now());
                        granted
                    }
                    answer => {
                        tracing::debug!(event = 640, owner, ?answer, "rate owner did not answer");
                        let requests = only_one(requests, class);
                        let granted = self.take_share(node, organisation, &requests);
                        return granted.iter().any(|count| *count > 0).then_some(true);
                    }
                }
            }
            TokenSource::Own => {
                let requests = only_one(requests, class);
                self.grant(node, &node.settings.host, organisation, &requests)
            }
            TokenSource::Share => {
                let requests = only_one(requests, class);
                self.take_share(node, organisation, &requests)
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

    /// Takes tokens of this host's share of a rate whose owner does not answer.
    fn take_share<P: Platform>(
        &self,
        node: &Node<P>,
        organisation: &str,
        requests: &[TokenRequest],
    ) -> Vec<u32> {
        let hosts = node.hosts().count;
        self.with_call(node, organisation, requests, |grants, call, now| {
            grants.take_share(hosts, call, now)
        })
    }

    /// Grants tokens of a rate, and logs when its mode of granting changes. Grants none of a rate that the
    /// configuration does not have.
    fn with_call<P: Platform>(
        &self,
        node: &Node<P>,
        organisation: &str,
        requests: &[TokenRequest],
        grant: impl FnOnce(&mut RateGrants, &TokenCall<'_>, Duration) -> Vec<u32>,
    ) -> Vec<u32> {
        let configuration = node.configuration();
        let rate = configuration.and_then(|c| c.rates.get(organisation).copied());
        let Some(rate) = rate else {
            return Vec::new();
        };
        let call = TokenCall {
            organisation,
            rate,
            requests,
            ranked: self.is_ranked(node),
        };
        let mut grants = self.grants.borrow_mut();
        let before = grants.is_reserving(organisation);
        let granted = grant(&mut grants, &call, clock::now());
        match (before, grants.is_reserving(organisation)) {
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
    rendezvous::owner(organisation, hosts.rate_owners.iter().map(String::as_str))
}
