//! Serves the calls of other hosts.

use std::collections::HashMap;
use std::io;
use std::rc::Rc;

use bytes::Bytes;
use magnoliahatch_core::ids::MemberId;
use tokio::net::TcpListener;
use tokio::net::TcpStream;

use crate::clock;
use crate::failover::record_repair;
use crate::held_bytes::HeldBytes;
use crate::member::channel;
use crate::member::channel_handle;
use crate::member::channel_handle::ChannelHandle;
use crate::member::control;
use crate::mesh::frame::Call;
use crate::mesh::frame::CallId;
use crate::mesh::frame::ChannelId;
use crate::mesh::frame::Hello;
use crate::mesh::frame::PROTOCOL_VERSION;
use crate::mesh::frame::Response;
use crate::mesh::frame::WithId;
use crate::mesh::frame_queue::FrameSender;
use crate::mesh::frame_queue::QueueError;
use crate::mesh::frame_queue::frame_queue;
use crate::mesh::link;
use crate::mesh::link::Received;
use crate::model::client_refusal::ClientRefusal;
use crate::model::error_code::ErrorCode;
use crate::model::member_load::MemberLoad;
use crate::model::outcome::Cause;
use crate::model::outcome::Outcome;
use crate::model::outcome::failure;
use crate::node::Node;
use crate::node::QUIESCE_TIMEOUT;
use crate::platform::Platform;
use crate::socket;
use crate::usage::receiver;
use crate::wire_error::WireError;

/// Answers that may wait to be written. The queue only fills if the peer does not read.
const QUEUE_LENGTH: usize = 2048;

/// Accepts connections from other hosts until the process ends.
pub async fn serve<P: Platform>(node: Rc<Node<P>>, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                let node = node.clone();
                tokio::task::spawn_local(async move {
                    if let Err(error) = serve_connection(node, stream).await {
                        tracing::debug!(event = 613, %error, "connection from a host failed");
                    }
                });
            }
            Err(error) => on_accept_error(&error).await,
        }
    }
}

async fn on_accept_error(error: &io::Error) {
    tracing::warn!(event = 614, %error, "failed to accept a connection of a host");
    tokio::time::sleep(std::time::Duration::from_millis(20)).await;
}

async fn serve_connection<P: Platform>(
    node: Rc<Node<P>>,
    stream: TcpStream,
) -> Result<(), WireError> {
    socket::set_options(&stream)?;
    let (mut reader, mut writer) = link::split(stream, node.memory.clone());
    let Some(hello) = reader.next::<Hello>().await? else {
        return Ok(());
    };
    if hello.format != PROTOCOL_VERSION {
        return Err(WireError::Malformed(
            "the host uses another version of the mesh protocol",
        ));
    }
    let own_hello = Hello {
        format: PROTOCOL_VERSION,
        host: node.settings.host.clone(),
        incarnation: node.incarnation,
    };
    writer.send(&own_hello).await?;
    let (answers, mut outgoing) = frame_queue(&node.memory, QUEUE_LENGTH);
    let receive = async move {
        let mut channels: HashMap<ChannelId, (MemberId, ChannelHandle)> = HashMap::new();
        while let Some(received) = reader.receive::<WithId<Call>>().await? {
            match received {
                Received::Message(call, held) => {
                    on_call(&node, &hello.host, &mut channels, (call, held), &answers);
                }
                Received::Refused(id) => on_refused(&node, &hello.host, id, &answers),
            }
        }
        Ok::<(), WireError>(())
    };
    tokio::select! {
        result = receive => result,
        result = writer.send_all(&mut outgoing) => result,
    }
}

/// Answers a statement for which there was no memory. Nothing of it has run.
fn on_refused<P: Platform>(node: &Rc<Node<P>>, from: &str, id: CallId, answers: &FrameSender) {
    node.metrics.count_client_refusal(ClientRefusal::Forwarded);
    let held = node.memory.used();
    tracing::info!(
        event = 693,
        from,
        held,
        "no memory for a statement of a host"
    );
    let refused = Err(failure(ErrorCode::Busy, Cause::Queue));
    send_answer(answers, id, Response::Outcome(refused, None));
}

fn on_call<P: Platform>(
    node: &Rc<Node<P>>,
    from: &str,
    channels: &mut HashMap<ChannelId, (MemberId, ChannelHandle)>,
    (call, held): (WithId<Call>, Option<HeldBytes>),
    answers: &FrameSender,
) {
    let id = call.id;
    match call.body {
        Call::Ping => send_answer(answers, id, Response::Alive { age: node.age() }),
        Call::End { channel } => {
            channels.remove(&channel);
        }
        Call::Run {
            channel,
            target,
            job,
        } => {
            if let Some(target) = target {
                let member = target.member.clone();
                channels.insert(channel, (member, channel::spawn(node.clone(), target)));
            }
            let writes = job.work.writes();
            let sent = channels.get(&channel);
            let sent = sent.map(|(member, handle)| (member.clone(), handle.send(*job)));
            let (node, answers) = (node.clone(), answers.clone());
            tokio::task::spawn_local(async move {
                let (outcome, load) = match sent {
                    Some((member, receiver)) => {
                        let outcome = channel_handle::outcome(receiver).await;
                        (outcome, node.own_load(&member))
                    }
                    None => (Err(failure(ErrorCode::Aborted, Cause::Idle)), None),
                };
                drop(held);
                send_outcome(&answers, id, outcome, load, writes);
            });
        }
        body => {
            let node = node.clone();
            let answers = answers.clone();
            let from = from.to_owned();
            tokio::task::spawn_local(async move {
                let body = run_call(&node, &from, body).await;
                send_answer(&answers, id, body);
            });
        }
    }
}

async fn run_call<P: Platform>(node: &Rc<Node<P>>, from: &str, call: Call) -> Response {
    match call {
        Call::Tokens {
            organisation,
            requests,
        } => Response::Tokens(
            node.quota
                .answer(node, from, &organisation, &requests)
                .await,
        ),
        Call::TokensFor {
            host,
            organisation,
            requests,
        } => {
            if node.quota.has_lost(&organisation) {
                // The caller is the owner by now.
                return Response::Done;
            }
            Response::Tokens(node.quota.grant(node, &host, &organisation, &requests))
        }
        Call::ReadFloor { service } => {
            Response::ReadFloor(node.floors.observe(node, &service).await)
        }
        Call::View {
            role,
            known,
            max_wait,
        } => {
            node.reports.on_request(from, role);
            node.reports.report(node, &known, max_wait).await
        }
        Call::Quiesce { service, revision } => {
            Response::Quiesced(node.quiesce(&service, revision).await)
        }
        Call::QuiesceAt {
            host,
            service,
            revision,
        } => {
            let call = Call::Quiesce { service, revision };
            // Only a confirmation is passed on. Errors are not, since this host may know a
            // different process by that name.
            match node.mesh.call(&host, call, QUIESCE_TIMEOUT).await {
                Ok(Response::Quiesced(acknowledged)) => Response::Quiesced(acknowledged),
                _ => Response::Done,
            }
        }
        Call::FormerRecord { service, era } => {
            let knowledge = record_repair::own_knowledge(node, &service, era);
            Response::FormerRecord(Box::new(knowledge))
        }
        Call::PrimaryReachable { service } => {
            Response::PrimaryReachable(control::can_reach_primary(node, &service).await)
        }
        Call::Handover(handovers) => {
            node.quota.on_handover(node, &handovers);
            Response::Done
        }
        Call::Usage(message) => receiver::on_message(node, from, &message),
        Call::WallClock => Response::WallClock {
            wall: clock::wall(),
            age: node.age(),
        },
        Call::Ping | Call::Run { .. } | Call::End { .. } => Response::Done,
    }
}

/// Answers a statement. If its answer is too large for a frame, or there is no memory for it, the caller
/// is told only that.
fn send_outcome(
    answers: &FrameSender,
    id: CallId,
    outcome: Outcome,
    load: Option<MemberLoad>,
    writes: bool,
) {
    let body = Response::Outcome(outcome, load);
    match link::encode(&WithId { id, body }) {
        Ok(frame) => {
            if !send_frame(answers, frame, true) {
                let code = if writes {
                    ErrorCode::Unknown
                } else {
                    ErrorCode::Aborted
                };
                let refused = Err(failure(code, Cause::Reply));
                send_answer(answers, id, Response::Outcome(refused, load));
            }
        }
        Err(error) => {
            tracing::warn!(event = 625, %error, "answer of a member cannot be passed on to a host");
            let code = if writes {
                ErrorCode::Unknown
            } else {
                ErrorCode::TooLarge
            };
            let refused = Err(failure(code, Cause::Peer));
            send_answer(answers, id, Response::Outcome(refused, load));
        }
    }
}

fn send_answer(answers: &FrameSender, id: CallId, body: Response) {
    match link::encode(&WithId { id, body }) {
        Ok(frame) => {
            send_frame(answers, frame, false);
        }
        Err(error) => {
            tracing::warn!(event = 626, %error, "answer to a host was not sent");
        }
    }
}

/// Queues a frame. Returns false if there is no memory for it.
fn send_frame(answers: &FrameSender, frame: Bytes, refusable: bool) -> bool {
    match answers.send(frame, refusable) {
        Ok(()) => true,
        Err(QueueError::Closed) => {
            tracing::debug!(
                event = 615,
                "dropped an answer to a host: the connection ended or its queue is full"
            );
            true
        }
        Err(QueueError::Memory) => {
            tracing::info!(event = 694, "no memory for an answer to a host");
            false
        }
    }
}
