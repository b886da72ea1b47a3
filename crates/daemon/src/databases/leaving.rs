//! Closes connections to members that leave service.

use std::collections::BTreeMap;
use std::sync::Arc;

use magnoliahatch_client::objects::member::Member;
use magnoliahatch_core::ids::MemberId;
use tokio::sync::watch;

use crate::drains::Work;
use crate::monitor::group::Group;
use crate::peers::fleet::Fleet;
use crate::pool::member_pool::MemberPool;

/// Starts the task, which ends when `alive` or the configuration closes. A member that is out of
/// service keeps its pooled connections only while it is the primary. The role counts as work, so
/// that its drain is not done between two statements.
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
        let mut role: Option<(MemberId, Work)> = None;
        loop {
            let primary = view.borrow_and_update().primary.clone();
            if let Some(name) = primary
                && role.as_ref().is_none_or(|(old, _)| *old != name)
                && let Some(member) = members.iter().find(|member| member.name == name)
            {
                role = Some((name, drains.at_member(member)));
            }
            let current = Arc::clone(&config.borrow_and_update());
            for member in &members {
                let leads = role.as_ref().is_some_and(|(name, _)| *name == member.name);
                if let Some(pool) = pools.get(&member.name) {
                    pool.set_leaving(!leads && !current.member_in_service(member));
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
