//! Channels that run on another host's connections to a member.

use std::rc::Rc;
use std::time::Duration;

use magnoliahatch_core::ids::HostId;

use crate::member::channel_handle::ChannelHandle;
use crate::mesh::call_error::CallError;
use crate::mesh::frame::Call;
use crate::mesh::frame::Response;
use crate::model::error_code::ErrorCode;
use crate::model::job::Job;
use crate::model::job::Target;
use crate::model::job::Work;
use crate::model::outcome::Cause;
use crate::model::outcome::Outcome;
use crate::model::outcome::failure;
use crate::node::Node;
use crate::platform::Platform;

/// Added to a job's time limit for the round trip to the other host.
const FORWARDING_ALLOWANCE: Duration = Duration::from_millis(100);

/// Opens a channel on another host.
pub fn spawn<P: Platform>(node: Rc<Node<P>>, host: HostId, target: Target) -> ChannelHandle {
    let (handle, mut jobs) = ChannelHandle::pair();
    tokio::task::spawn_local(async move {
        let channel = node.mesh.next_id();
        let transaction = target.transaction.is_some();
        let member = target.member.clone();
        let mut opening = Some(target);
        let mut sent = false;
        while let Some((job, reply)) = jobs.recv().await {
            let target = opening.take();
            let durable = is_durable(&job, transaction);
            let limit = job.timeout + FORWARDING_ALLOWANCE;
            let call = Call::Run {
                channel,
                target,
                job: Box::new(job),
            };
            let answer = node.mesh.call(&host, call, limit).await;
            sent |= !matches!(
                answer,
                Err(CallError::Unreachable
                    | CallError::Ended
                    | CallError::Memory
                    | CallError::TooLarge)
            );
            let load = match &answer {
                Ok(Response::Outcome(_, load)) => *load,
                _ => None,
            };
            node.loads.on_report(&member, load);
            let outcome = outcome(answer, durable);
            let failed = outcome.is_err();
            // The caller may be gone; it then closes the queue, which ends the loop.
            let _ = reply.send(outcome);
            if failed {
                break;
            }
        }
        if sent
            && node
                .mesh
                .notify(&host, Call::End { channel })
                .await
                .is_err()
        {
            tracing::debug!(
                event = 642,
                host,
                "could not send the end of a channel: host not reached"
            );
        }
    });
    handle
}

/// Whether the job commits a change.
fn is_durable(job: &Job, transaction: bool) -> bool {
    matches!(job.work, Work::Commit) || (!transaction && job.work.writes())
}

fn outcome(answer: Result<Response, CallError>, durable: bool) -> Outcome {
    match answer {
        Ok(Response::Outcome(outcome, _)) => outcome,
        Err(CallError::Unreachable | CallError::Ended) => {
            Err(failure(ErrorCode::Busy, Cause::Peer))
        }
        Err(CallError::Memory) => Err(failure(ErrorCode::Busy, Cause::Queue)),
        Err(CallError::TooLarge) => Err(failure(ErrorCode::TooLarge, Cause::Peer)),
        Ok(_) | Err(CallError::Lost) if durable => Err(failure(ErrorCode::Unknown, Cause::Peer)),
        Ok(_) | Err(CallError::Lost) => Err(failure(ErrorCode::Aborted, Cause::Peer)),
    }
}
