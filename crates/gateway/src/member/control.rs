//! Commands of the proxy's own at members.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;

use crate::clock;
use crate::model::command::Command;
use crate::model::member_status::MemberStatus;
use crate::node::Node;
use crate::platform::Platform;

/// Limit of a question about a primary's position or state.
pub const STATUS_LIMIT: Duration = Duration::from_millis(500);
/// Limit of the question whether a member is reached; a member answers within some tens of ms.
const REACH_LIMIT: Duration = Duration::from_millis(350);
/// An answer younger than this shows that a member is reached.
const ANSWER_AGE: Duration = Duration::from_millis(400);

/// Asks a member about itself.
pub async fn status<P: Platform>(node: &Rc<Node<P>>, member: &str) -> Option<MemberStatus> {
    let rows = run(node, member, Command::Status, STATUS_LIMIT).await?;
    P::member_status(rows.first()?)
}

/// Runs a command at a member and returns its rows; none if it was refused or not answered.
pub async fn run<P: Platform>(
    node: &Rc<Node<P>>,
    member: &str,
    command: Command,
    limit: Duration,
) -> Option<Vec<Bytes>> {
    // Failures of the pool and of the connection are logged there.
    let pool = node.pool(member).ok()?;
    let until = clock::now() + limit;
    let mut lease = pool.command_connection(until).await.ok()?;
    let sent = clock::now();
    match lease.run(command, until.saturating_sub(sent)).await {
        Ok(answered) => {
            pool.on_answer();
            lease.give_back();
            answered.result.ok()?;
            Some(answered.rows)
        }
        Err(error) => {
            pool.on_silence(&error, sent);
            None
        }
    }
}

/// Whether the recorded primary of a service answers this host. Without traffic it is asked.
pub async fn reaches_primary<P: Platform>(node: &Rc<Node<P>>, service: &str) -> bool {
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
    // A refusal, for instance for too many connections, is an answer as well.
    let asked = run(node, &primary, Command::Status, REACH_LIMIT).await;
    asked.is_some() || answered_recently(node, &primary)
}

fn answered_recently<P: Platform>(node: &Rc<Node<P>>, member: &str) -> bool {
    let pool = node.pools.find(member);
    let answered = pool.and_then(|p| p.answered());
    answered.is_some_and(|at| clock::now().saturating_sub(at) < ANSWER_AGE)
}
