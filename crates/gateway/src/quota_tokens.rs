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
use crate::model::configuration::Rate;
use crate::node::Node;
use crate::platform::Platform;
use crate::policy::quota::QuotaTable;
use crate::policy::requesting_hosts::RequestingHosts;
use crate::policy::token_demand::TokenDemand;

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

/// Tokens of all organisations: those that this host grants as an owner, and unused ones that it
/// was granted.
#[derive(Debug, Default)]
pub struct QuotaTokens {
    table: RefCell<QuotaTable>,
    unused: RefCell<BTreeMap<OrganisationId, (u32, Duration)>>,
    callers: RefCell<BTreeMap<OrganisationId, RequestingHosts>>,
    demands: RefCell<BTreeMap<OrganisationId, TokenDemand>>,
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

    /// Grants tokens to a host. The shares of hosts that no longer call are kept back, since a host
    /// that is cut off uses its own share.
    pub fn grant<P: Platform>(
        &self,
        node: &Node<P>,
        from: &str,
        organisation: &str,
        count: u32,
    ) -> u32 {
        let now = clock::now();
        let all = node.hosts().count;
        let share = {
            let mut callers = self.callers.borrow_mut();
            let callers = callers.entry(organisation.to_owned()).or_default();
            callers.record(from, now);
            callers.share(all, now)
        };
        self.take_local(node, organisation, share, count)
    }

    /// Takes one token for an operation. Returns whether there was one. A host that has just started
    /// tries for a short time to reach the owner of the rate, which may be starting as well.
    pub async fn take<P: Platform>(&self, node: &Rc<Node<P>>, organisation: &str) -> bool {
        let batch = {
            let mut demands = self.demands.borrow_mut();
            let demand = demands.entry(organisation.to_owned()).or_default();
            demand.record(clock::now());
            demand.batch(TOKEN_LIFETIME)
        };
        if self.take_unused(organisation) {
            return true;
        }
        let starting = node.age() < START_TIME;
        let deadline = clock::now() + OWNER_WAIT;
        loop {
            match self.request(node, organisation, batch).await {
                Some(granted) => return granted > 0,
                None if !starting => return false,
                None if clock::now() + OWNER_RETRY_PAUSE >= deadline => return false,
                None => tokio::time::sleep(OWNER_RETRY_PAUSE).await,
            }
        }
    }

    /// Requests tokens and uses one of them. Returns how many were granted, or `None` if the owner
    /// of the rate cannot be reached and this host's own part is used up.
    async fn request<P: Platform>(
        &self,
        node: &Rc<Node<P>>,
        organisation: &str,
        count: u32,
    ) -> Option<u32> {
        // All hosts must choose the same owner, so hosts that cannot be reached count as well.
        let hosts = node.hosts();
        let owner = rate_owner(organisation, &hosts);
        let granted = match owner {
            Some(owner) if owner != node.settings.host => {
                let call = Call::Tokens {
                    organisation: organisation.to_owned(),
                    // Those left over serve the next operations without a call.
                    count,
                };
                match node.mesh.call(owner, call, CALL_TIMEOUT).await {
                    Ok(Response::Tokens(granted)) => granted,
                    answer => {
                        tracing::debug!(event = 640, owner, ?answer, "rate owner did not answer");
                        let part = 1.0 / f64::from(hosts.count);
                        let granted = self.take_local(node, organisation, part, 1);
                        return (granted > 0).then_some(granted);
                    }
                }
            }
            _ => self.grant(node, &node.settings.host, organisation, 1),
        };
        if granted > 1 {
            let entry = (granted - 1, clock::now());
            self.unused
                .borrow_mut()
                .insert(organisation.to_owned(), entry);
        }
        Some(granted)
    }

    fn take_unused(&self, organisation: &str) -> bool {
        let mut unused = self.unused.borrow_mut();
        let Some((count, at)) = unused.get_mut(organisation) else {
            return false;
        };
        if *count == 0 || clock::now().saturating_sub(*at) > TOKEN_LIFETIME {
            return false;
        }
        *count -= 1;
        true
    }

    fn take_local<P: Platform>(
        &self,
        node: &Node<P>,
        organisation: &str,
        share: f64,
        count: u32,
    ) -> u32 {
        let configuration = node.configuration();
        let rate = configuration.and_then(|c| c.rates.get(organisation).copied());
        let Some(rate) = rate else { return 0 };
        let mut table = self.table.borrow_mut();
        table.take(organisation, rate, share, count, clock::now())
    }
}

/// The host that shares out an organisation's rate.
fn rate_owner<'a>(organisation: &str, hosts: &'a HostTable) -> Option<&'a str> {
    rendezvous::owner(
        organisation,
        hosts.registered_duty.iter().map(String::as_str),
    )
}
