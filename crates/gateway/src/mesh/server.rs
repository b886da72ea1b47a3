//! Serves the calls of other hosts.

use std::collections::HashMap;
use std::io;
use std::rc::Rc;

use bytes::Bytes;
use magnoliahatch_core::ids::MemberId;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::mpsc;

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
use crate::mesh::link;
use crate::model::error_code::ErrorCode;
use crate::model::member_load::MemberLoad;
use crate::model::outcome::Cause;
use crate::model::outcome::Outcome;
use crate::model::outcome::failure;
use crate::node::Node;
use crate::node::QUIESCE_TIMEOUT;
use crate::platform::Platform;
use crate::socket;
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
    let (mut reader, mut writer) = link::split(stream);
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
    let (answers, mut outgoing) = mpsc::channel(QUEUE_LENGTH);
    let receive = async move {
        let mut channels: HashMap<ChannelId, (MemberId, ChannelHandle)> = HashMap::new();
        while let Some(call) = reader.next::<WithId<Call>>().await? {
            on_call(&node, &hello.host, &mut channels, call, &answers);
        }
        Ok::<(), WireError>(())
    };
    tokio::select! {
        result = receive => result,
        result = writer.send_all(&mut outgoing) => result,
    }
}

fn on_call<P: Platform>(
    node: &Rc<Node<P>>,
    from: &str,
    channels: &mut HashMap<ChannelId, (MemberId, ChannelHandle)>,
    call: WithId<Call>,
    answers: &mpsc::Sender<Bytes>,
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
            count,
        } => Response::Tokens(node.quota.grant(node, from, &organisation, count)),
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
        Call::PrimaryReachable { service } => {
            Response::PrimaryReachable(control::can_reach_primary(node, &service).await)
        }
        Call::Ping | Call::Run { .. } | Call::End { .. } => Response::Done,
    }
}

/// Answers a statement. If its answer is too large for a frame, the caller is told only that.
fn send_outcome(
    answers: &mpsc::Sender<Bytes>,
    id: CallId,
    outcome: Outcome,
    load: Option<MemberLoad>,
    writes: bool,
) {
    let body = Response::Outcome(outcome, load);
    match link::encode(&WithId { id, body }) {
        Ok(frame) => send_frame(answers, frame),
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

fn send_answer(answers: &mpsc::Sender<Bytes>, id: CallId, body: Response) {
    match link::encode(&WithId { id, body }) {
        Ok(frame) => send_frame(answers, frame),
        Err(error) => {
            tracing::warn!(event = 626, %error, "answer to a host was not sent");
        }
    }
}

fn send_frame(answers: &mpsc::Sender<Bytes>, frame: Bytes) {
    if answers.try_send(frame).is_err() {
        tracing::debug!(
            event = 615,
            "dropped an answer to a host: the connection ended or its queue is full"
        );
    }
}
