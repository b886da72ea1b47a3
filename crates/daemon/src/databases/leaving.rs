//! Closes pooled connections to members that are taken out of service.

use std::collections::BTreeMap;
use std::sync::Arc;

use magnoliahatch_client::objects::member::Member;
use magnoliahatch_core::ids::MemberId;
use tokio::sync::watch;

use crate::drains::WorkGuard;
use crate::monitor::group::Group;
use crate::peers::fleet::Fleet;
use crate::pool::member_pool::MemberPool;

/// Starts the task, which ends when `alive` or the configuration channel closes. A member that is
/// out of service keeps its pooled connections only while it is the primary. The role of primary
/// counts as work, so that the drain of the member does not complete between two statements.
pub(super) fn spawn(
    members: Vec<Member>,
    pools: BTreeMap<MemberId, Arc<MemberPool>>,
    group: Arc<Group>,
    fleet: &Fleet,
    mut alive: watch::Receiver<()>,
) {
    let (drains, mut config) = (fleet.drains.clone(), fleet.config.clone());
    tokio::spawn(async move {
        let mut view = group.subscribe();
        let mut primary_work: Option<(MemberId, WorkGuard)> = None;
        loop {
            let primary = view.borrow_and_update().primary.clone();
            if let Some(name) = primary
                && primary_work.as_ref().is_none_or(|(old, _)| *old != name)
                && let Some(member) = members.iter().find(|member| member.name == name)
            {
                primary_work = Some((name, drains.track_member(member)));
            }
            let current = Arc::clone(&config.borrow_and_update());
            for member in &members {
                let is_primary = primary_work
                    .as_ref()
                    .is_some_and(|(name, _)| *name == member.name);
                if let Some(pool) = pools.get(&member.name) {
                    pool.set_draining(!is_primary && !current.member_in_service(member));
                }
            }
            tokio::select! {
                _ = alive.changed() => return,
                changed = view.changed() => if changed.is_err() {
                    return;
                },
                changed = config.changed() => if changed.is_err() {
                    return;
                },
            }
        }
    });
}
