//! Chooses the member and the host for the first statement of an operation, and retries with others
//! where that is safe.

use std::collections::BTreeSet;
use std::hash::DefaultHasher;
use std::hash::Hash;
use std::hash::Hasher;
use std::rc::Rc;
use std::time::Duration;

use magnoliahatch_core::ids::DataCentreId;
use magnoliahatch_core::ids::HostId;
use magnoliahatch_core::ids::MemberId;
use magnoliahatch_core::ids::OrganisationId;
use magnoliahatch_core::position::LogPosition;

use crate::clock;
use crate::front::remote;
use crate::front::transaction::OpenChannel;
use crate::log_text::LogText;
use crate::logs;
use crate::member::channel;
use crate::member::channel_handle;
use crate::member::channel_handle::ChannelHandle;
use crate::model::error_code::ErrorCode;
use crate::model::job::Consistency;
use crate::model::job::Job;
use crate::model::job::SessionKey;
use crate::model::job::Target;
use crate::model::outcome::Answer;
use crate::model::outcome::Cause;
use crate::model::outcome::Failure;
use crate::model::outcome::Outcome;
use crate::model::outcome::failure;
use crate::model::region_limit::RegionLimit;
use crate::model::route::Route;
use crate::model::route::RouteKind;
use crate::node::Node;
use crate::platform::Platform;
use crate::policy::access::Access;
use crate::policy::replica_choice;
use crate::policy::replica_choice::Distance;
use crate::policy::replica_choice::ReadCandidate;
use crate::policy::retry_budgets;

/// Delay before the view is checked again for a primary that is being replaced.
const PRIMARY_RETRY_DELAY: Duration = Duration::from_millis(40);
/// Maximum attempts at the first statement of an operation. A failed attempt is repeated only if
/// that cannot run a write twice.
const MAX_ATTEMPTS: u32 = 6;

/// The first statement of an operation and what decides where it may run.
pub struct FirstStatement<'a> {
    pub route: &'a Route,
    pub organisation: &'a OrganisationId,
    /// `Some` if the statement begins a transaction; the value says whether it is read-only.
    pub transaction: Option<bool>,
    /// Position of the session's last commit.
    pub last_commit: Option<LogPosition>,
    /// Regions in which the organisation's statements may run.
    pub regions: RegionLimit,
    /// Reads the regions, and its version, from the current configuration. Fails if the session's key
    /// no longer belongs to the organisation.
    pub authorise: &'a dyn Fn() -> Result<(RegionLimit, u64), Failure>,
    pub session: &'a SessionKey,
    pub job: Job,
}

impl FirstStatement<'_> {
    /// Whether a replica may run this statement.
    fn may_use_replica(&self) -> bool {
        let reads = match self.transaction {
            Some(read_only) => read_only,
            None => !self.job.work.writes(),
        };
        reads && !matches!(self.route.kind, RouteKind::Primary)
    }

    /// Whether both the route and the organisation allow the statement to be handled in a region.
    fn allows(&self, region: &str) -> bool {
        self.route.regions.allows(region) && self.regions.allows(region)
    }

    fn consistency(&self, primary: bool) -> Consistency {
        let last_commit = self.last_commit;
        match self.route.kind {
            _ if primary => Consistency::Primary,
            RouteKind::Primary => Consistency::Primary,
            RouteKind::Bounded(age) => Consistency::Bounded { age, own: None },
            RouteKind::OwnWrites(age) => Consistency::Bounded {
                age,
                own: last_commit,
            },
        }
    }
}

/// The attempts made so far and the members that they ruled out.
#[derive(Debug, Default)]
struct Attempts {
    members: BTreeSet<MemberId>,
    count: u32,
    /// Whether only this host's own connections may be used, since the statement or its answer is too
    /// large for a frame between hosts.
    direct: bool,
    /// The last failure, if the next attempt is charged to the budget for retries.
    charged: Option<Failure>,
}

/// Runs the first statement of an operation. If it succeeds and begins a transaction, the returned
/// channel stays open for the next statements.
pub async fn run_first<P: Platform>(
    node: &Rc<Node<P>>,
    mut statement: FirstStatement<'_>,
) -> Result<(Answer, OpenChannel), Failure> {
    let start = clock::now();
    let deadline = start + statement.job.timeout;
    let mut attempted = Attempts::default();
    loop {
        // The configuration may have changed while the statement waited.
        (statement.regions, statement.job.version) = (statement.authorise)()?;
        let (member, primary) = match choose_member(node, &statement, &attempted) {
            Some(choice) => choice,
            None => {
                wait_for_primary(node, &statement, deadline).await?;
                continue;
            }
        };
        let usable = |host: &HostId| {
            let is_own = *host == node.settings.host;
            !node.loads.is_avoided(&member, host)
                && may_forward(node, &statement, host)
                && (is_own || !attempted.direct)
        };
        let Some(host) = node.home(&member, usable) else {
            if statement.may_use_replica() && attempted.members.insert(member) {
                continue;
            }
            return Err(failure(ErrorCode::Busy, Cause::Peer));
        };
        let charged = charge_retry(node, &statement, &mut attempted, &member)?;
        let target = Target {
            service: statement.route.service.clone(),
            member: member.clone(),
            organisation: statement.organisation.clone(),
            session: statement.session.clone(),
            consistency: statement.consistency(primary),
            priority: statement.route.priority,
            transaction: statement.transaction,
        };
        let handle = if host == node.settings.host {
            channel::spawn(node.clone(), target)
        } else {
            remote::spawn(node.clone(), host.clone(), target)
        };
        let access = access(node, &statement, &member, &host);
        let outcome = send(node, &handle, &member, &statement.job, deadline).await;
        if host == node.settings.host {
            node.loads.on_report(&member, node.own_load(&member));
        }
        attempted.count += 1;
        match outcome {
            Ok(answer) => {
                let mut budgets = node.retries.borrow_mut();
                budgets.on_success(&member, statement.organisation, charged);
                let (id, attempts) = (LogText(&statement.job.id), attempted.count);
                if logs::sampled(&statement.job.id) {
                    tracing::info!(event = 644, %id, member, host, attempts, "member answered");
                }
                let waited = clock::now().saturating_sub(start);
                if waited >= statement.route.objective {
                    let waited = waited.as_millis() as u64;
                    tracing::info!(event = 645, %id, member, host, attempts, waited, "answer exceeded the route's latency objective");
                }
                let channel = OpenChannel {
                    handle,
                    member,
                    primary,
                    access,
                };
                return Ok((answer, channel));
            }
            Err(error) => {
                let retry = on_failure(node, &statement, &mut attempted, &member, &host, &error);
                if !retry || clock::now() >= deadline {
                    return Err(error);
                }
                if !retry_budgets::is_free(&error, attempted.count) {
                    attempted.charged = Some(error.clone());
                }
                let (id, code, cause) = (LogText(&statement.job.id), error.code, error.cause);
                tracing::info!(event = 643, %id, member, host, ?code, ?cause, "tried elsewhere");
                if error.cause == Cause::Primary {
                    tokio::time::sleep(PRIMARY_RETRY_DELAY).await;
                }
            }
        }
    }
}

/// Charges the next attempt to the budget for retries, unless it is free. Returns whether it was
/// charged. Fails with the last failure if the budget is exhausted.
fn charge_retry<P: Platform>(
    node: &Rc<Node<P>>,
    statement: &FirstStatement<'_>,
    attempted: &mut Attempts,
    member: &str,
) -> Result<bool, Failure> {
    let Some(error) = attempted.charged.take() else {
        return Ok(false);
    };
    let organisation = statement.organisation;
    let mut budgets = node.retries.borrow_mut();
    if budgets.on_retry(member, organisation, clock::now()) {
        return Ok(true);
    }
    let (id, code, cause) = (LogText(&statement.job.id), error.code, error.cause);
    tracing::info!(event = 732, %id, member, organisation, ?code, ?cause, "not retried: budget exhausted");
    Err(error)
}

/// Whether a statement may be forwarded to a host. The host that the client is connected to is
/// always allowed.
fn may_forward<P: Platform>(
    node: &Rc<Node<P>>,
    statement: &FirstStatement<'_>,
    host: &HostId,
) -> bool {
    if *host == node.settings.host {
        return true;
    }
    let view = node.view.borrow();
    let entry = view.host(host);
    entry.is_some_and(|e| statement.allows(node.settings.region(&e.data_centre)))
}

/// The access that a channel to a member through a host uses.
fn access<P: Platform>(
    node: &Rc<Node<P>>,
    statement: &FirstStatement<'_>,
    member: &str,
    host: &HostId,
) -> Access {
    let view = node.view.borrow();
    let member = view.member(member, clock::now());
    let host = view.host(host).filter(|_| *host != node.settings.host);
    let data_centres = [member.map(|m| &m.data_centre), host.map(|h| &h.data_centre)];
    let region = |data_centre: &DataCentreId| node.settings.region(data_centre).to_owned();
    Access {
        organisation: statement.organisation.clone(),
        regions: data_centres.into_iter().flatten().map(region).collect(),
    }
}

async fn send<P: Platform>(
    node: &Rc<Node<P>>,
    handle: &ChannelHandle,
    member: &str,
    job: &Job,
    deadline: Duration,
) -> Outcome {
    let sent = clock::now();
    let job = Job {
        timeout: deadline.saturating_sub(sent),
        ..job.clone()
    };
    node.loads.on_sent(member);
    let outcome = channel_handle::outcome(handle.send(job)).await;
    node.loads
        .on_answered(member, clock::now().saturating_sub(sent));
    outcome
}

/// Excludes the member or host that caused a failure from further attempts. Returns whether another
/// attempt is safe and may succeed.
fn on_failure<P: Platform>(
    node: &Rc<Node<P>>,
    statement: &FirstStatement<'_>,
    attempted: &mut Attempts,
    member: &MemberId,
    host: &HostId,
    error: &Failure,
) -> bool {
    if error.code == ErrorCode::TooLarge && error.cause == Cause::Peer {
        // Nothing is kept: it was not sent, or it is a read or in a transaction that is rolled back.
        attempted.direct = true;
        return true;
    }
    let reads = statement.may_use_replica()
        || statement.transaction.is_some()
        || !statement.job.work.writes();
    let safe = error.code.not_run() || (reads && error.code == ErrorCode::Unknown);
    if !safe || attempted.count >= MAX_ATTEMPTS {
        return false;
    }
    match error.cause {
        Cause::Connection | Cause::Peer => {
            node.loads.avoid(member, host);
            if statement.may_use_replica() {
                attempted.members.insert(member.clone());
            }
            true
        }
        Cause::Primary => true,
        Cause::Member | Cause::Reply | Cause::Floor | Cause::NoMember => {
            // Another member may have applied the position, have free capacity, or answer.
            statement.may_use_replica() && attempted.members.insert(member.clone())
        }
        _ => false,
    }
}

/// The member for the next attempt, and whether it is used as the primary.
fn choose_member<P: Platform>(
    node: &Rc<Node<P>>,
    statement: &FirstStatement<'_>,
    attempted: &Attempts,
) -> Option<(MemberId, bool)> {
    let service = &statement.route.service;
    let primary = node.primary(service);
    let view = node.view.borrow();
    let allowed = |data_centre: &str| statement.allows(node.settings.region(data_centre));
    if !statement.may_use_replica() {
        let member = primary?;
        let entry = view.member(&member, clock::now());
        let is_allowed = entry.is_some_and(|e| allowed(&e.data_centre));
        return is_allowed.then_some((member, true));
    }
    let now = clock::now();
    let mut members = Vec::new();
    let mut choices = Vec::new();
    for (id, entry) in view.members(service, clock::now()) {
        let is_primary = primary.as_ref() == Some(id);
        let recorded = view.primary(service).is_some_and(|(r, _)| r.primary == *id);
        let leaving = entry.draining || view.is_evacuated(&entry.data_centre, clock::now());
        let excluded = attempted.members.contains(id) || !allowed(&entry.data_centre);
        if excluded || (leaving && !is_primary) || (recorded && !is_primary) {
            continue;
        }
        let own = &node.settings;
        let distance = if entry.data_centre == own.data_centre {
            Distance::SameDataCentre
        } else if own.region(&entry.data_centre) == own.region(&own.data_centre) {
            Distance::SameRegion
        } else {
            Distance::OtherRegion
        };
        let known = node.loads.get(id);
        members.push((id.clone(), is_primary));
        choices.push(ReadCandidate {
            distance,
            primary: is_primary,
            cold: view.is_cold(id, clock::now()),
            slots: entry.slots,
            latency: known.latency,
            pending: known.pending,
            report: known.report(now),
        });
    }
    let mut hasher = DefaultHasher::new();
    statement.job.id.hash(&mut hasher);
    let best = replica_choice::choose(&choices, hasher.finish())?;
    node.metrics.count_choice(choices[best].report.is_some());
    Some(members.swap_remove(best))
}

/// Waits a moment for a primary that is being replaced. Fails if no change of primary is under way
/// or the deadline has passed.
async fn wait_for_primary<P: Platform>(
    node: &Rc<Node<P>>,
    statement: &FirstStatement<'_>,
    deadline: Duration,
) -> Result<(), Failure> {
    let now = clock::now();
    let changing = {
        let view = node.view.borrow();
        let service = &statement.route.service;
        let record = view.primary(service);
        record.is_none_or(|(r, _)| r.change.is_some()) || view.is_primary_restored(service)
    };
    if !changing || now >= deadline {
        return Err(failure(ErrorCode::Busy, Cause::Primary));
    }
    let delay = PRIMARY_RETRY_DELAY.min(deadline.saturating_sub(now));
    let mut changed = node.changed.subscribe();
    // The caller checks the view again after a change as well as after the timeout.
    let _ = tokio::time::timeout(delay, changed.changed()).await;
    Ok(())
}
