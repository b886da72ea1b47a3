//! Task that probes one member.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use tokio::sync::watch;

use crate::member_commands::CommandConnection;
use crate::member_commands::CommandError;
use crate::member_commands::MemberStatus;
use crate::monitor::group::Group;
use crate::pool::member_pool::MemberPool;

/// Timeout of a probe. Latency between regions is 8 ms, so a member that takes longer is overloaded
/// or unreachable.
const PROBE_TIMEOUT: Duration = Duration::from_millis(400);

/// Shortest time between two probes that reads request.
const MIN_SPACING: Duration = Duration::from_millis(5);

/// Starts a task that probes a member until `alive` closes.
pub(crate) fn spawn(group: Arc<Group>, pool: Arc<MemberPool>, mut alive: watch::Receiver<()>) {
    tokio::spawn(async move {
        let mut commands = None;
        loop {
            let sent = Instant::now();
            match probe(&mut commands, &pool).await {
                Ok(status) => group.on_status(&pool.member, &status, sent),
                Err(error) => {
                    tracing::debug!(event = 222, member = pool.member, %error, "probe failed");
                    group.on_failure(&pool.member);
                }
            }
            let requested = group.early_probe();
            tokio::pin!(requested);
            requested.as_mut().enable();
            let primary = group.primary().is_some_and(|(name, _)| name == pool.member);
            let early = async {
                requested.await;
                tokio::time::sleep_until((sent + MIN_SPACING).into()).await;
            };
            tokio::select! {
                _ = alive.changed() => return,
                () = tokio::time::sleep(group.interval()) => {}
                () = group.fast_probing_start() => {}
                // Answers contain the primary's position, so only replicas are probed early.
                () = early, if !primary => {}
            }
        }
    });
}

/// Probes on the open connection and, if that fails, on a new one: an established connection may
/// stop responding while new ones work, which does not mean that the member has failed.
async fn probe(
    commands: &mut Option<CommandConnection>,
    pool: &Arc<MemberPool>,
) -> Result<MemberStatus, CommandError> {
    let sent = Instant::now();
    if let Some(mut open) = commands.take() {
        match open.status(sent + PROBE_TIMEOUT).await {
            Ok(status) => {
                *commands = Some(open);
                return Ok(status);
            }
            Err(CommandError::Timeout) => pool.on_response_timeout(sent),
            Err(_) => {}
        }
    }
    let deadline = Instant::now() + PROBE_TIMEOUT;
    let mut open = CommandConnection::open(pool.address, &pool.database, deadline).await?;
    let status = open.status(deadline).await?;
    *commands = Some(open);
    Ok(status)
}
