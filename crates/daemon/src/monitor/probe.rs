//! Probes one member.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use tokio::sync::watch;

use crate::monitor::group::Group;
use crate::pool::member_pool::MemberPool;
use crate::verbs::MemberStatus;
use crate::verbs::VerbError;
use crate::verbs::Verbs;

/// Time for one probe. Latency between regions is 8 ms, so a member that takes longer is
/// overloaded or cut off.
const PROBE_TIMEOUT: Duration = Duration::from_millis(400);

/// Shortest time between probes that reads ask for.
const SPACING: Duration = Duration::from_millis(5);

/// Probes a member until `alive` closes.
pub(crate) fn spawn(group: Arc<Group>, pool: Arc<MemberPool>, mut alive: watch::Receiver<()>) {
    tokio::spawn(async move {
        let mut verbs = None;
        loop {
            let sent = Instant::now();
            match probe(&mut verbs, &pool).await {
                Ok(status) => group.on_status(&pool.member, &status, sent),
                Err(error) => {
                    tracing::debug!(event = 222, member = pool.member, %error, "probe failed");
                    group.on_failure(&pool.member);
                }
            }
            let nudged = group.nudged();
            tokio::pin!(nudged);
            nudged.as_mut().enable();
            let primary = group.primary().is_some_and(|(name, _)| name == pool.member);
            let early = async {
                nudged.await;
                tokio::time::sleep_until((sent + SPACING).into()).await;
            };
            tokio::select! {
                _ = alive.changed() => return,
                () = tokio::time::sleep(group.interval()) => {}
                () = group.hurry() => {}
                // Answers tell the primary's position, so only replicas are asked early.
                () = early, if !primary => {}
            }
        }
    });
}

/// Probes on the open connection, then on a new one: an open connection may have gone silent
/// while new ones work, which is no failure of the member.
async fn probe(
    verbs: &mut Option<Verbs>,
    pool: &Arc<MemberPool>,
) -> Result<MemberStatus, VerbError> {
    let sent = Instant::now();
    if let Some(mut open) = verbs.take() {
        match open.status(sent + PROBE_TIMEOUT).await {
            Ok(status) => {
                *verbs = Some(open);
                return Ok(status);
            }
            Err(VerbError::Timeout) => pool.on_silence(sent),
            Err(_) => {}
        }
    }
    let deadline = Instant::now() + PROBE_TIMEOUT;
    let mut open = Verbs::open(pool.address, &pool.database, deadline).await?;
    let status = open.status(deadline).await?;
    *verbs = Some(open);
    Ok(status)
}
