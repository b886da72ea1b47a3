//! Commands that the proxy sends to members on its own behalf.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;

use crate::clock;
use crate::model::command::Command;
use crate::model::member_status::MemberStatus;
use crate::node::Node;
use crate::platform::Platform;

/// Time limit for querying a member's position and state.
pub const STATUS_TIMEOUT: Duration = Duration::from_millis(500);
/// Time limit of the check whether a member can be reached. A member answers within some tens of
/// ms.
const REACH_TIMEOUT: Duration = Duration::from_millis(350);
/// An answer younger than this shows that the member can be reached.
const RECENT_ANSWER_AGE: Duration = Duration::from_millis(400);

/// Queries the status of a member.
pub async fn status<P: Platform>(node: &Rc<Node<P>>, member: &str) -> Option<MemberStatus> {
    let rows = run_command(node, member, Command::Status, STATUS_TIMEOUT).await?;
    P::member_status(rows.first()?)
}

/// Runs a command on a member and returns the rows, or `None` if the command failed or got no
/// answer.
pub async fn run_command<P: Platform>(
    node: &Rc<Node<P>>,
    member: &str,
    command: Command,
    limit: Duration,
) -> Option<Vec<Bytes>> {
    // The pool and the connection log their own failures.
    let pool = node.pool(member).ok()?;
    let until = clock::now() + limit;
    let mut connection = pool.command_connection(until).await.ok()?;
    let sent = clock::now();
    match connection.run(command, until.saturating_sub(sent)).await {
        Ok(answered) => {
            pool.on_answer();
            connection.release();
            answered.result.ok()?;
            Some(answered.rows)
        }
        Err(error) => {
            pool.on_error(&error, sent);
            None
        }
    }
}

/// Whether this host can reach the recorded primary of a service. If the primary has not answered
/// recently, a status query is sent to it.
pub async fn can_reach_primary<P: Platform>(node: &Rc<Node<P>>, service: &str) -> bool {
    let primary = {
        let view = node.view.borrow();
        view.primary(service).map(|(r, _)| r.primary.clone())
    };
    let Some(primary) = primary else {
        return false;
    };
    if answered_recently(node, &primary) {
        return true;
    }
    // A refusal, for example because of too many connections, also shows that it can be reached.
    let asked = run_command(node, &primary, Command::Status, REACH_TIMEOUT).await;
    asked.is_some() || answered_recently(node, &primary)
}

fn answered_recently<P: Platform>(node: &Rc<Node<P>>, member: &str) -> bool {
    let pool = node.pools.find(member);
    let answered = pool.and_then(|p| p.last_answer());
    answered.is_some_and(|at| clock::now().saturating_sub(at) < RECENT_ANSWER_AGE)
}
