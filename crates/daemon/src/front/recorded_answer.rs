//! Encoding of the answers that are recorded with a request id.

use base64::Engine;
use base64::prelude::BASE64_STANDARD;
use bytes::Buf;
use bytes::Bytes;
use bytes::BytesMut;
use tokio_util::codec::Decoder;

use crate::front::execute::Request;
use crate::front::message::Message;
use crate::wire::frame::Frame;
use crate::wire::frame_codec::FrameCodec;
use crate::wire::tag;

/// Size limit of a recorded answer. Of requests with a larger one, only the id is recorded.
pub(crate) const ANSWER_LIMIT: usize = 64 * 1024;
/// Protocol of the request, stored with its answer, whose messages depend on it.
const SIMPLE: char = 'Q';
const EXTENDED: char = 'B';

/// Encodes an answer as text; empty if the answer was too large to keep.
pub(crate) fn encode(request: &Request, answer: Option<&[Frame]>) -> String {
    let Some(frames) = answer else {
        return String::new();
    };
    let mut text = String::from(protocol(request));
    let mut raw = BytesMut::new();
    for frame in frames.iter().filter(|frame| is_answer(frame)) {
        raw.extend_from_slice(frame.raw());
    }
    BASE64_STANDARD.encode_string(raw, &mut text);
    text
}

/// Decodes a recorded answer into the responses that this request expects. `None` if the answer was
/// not kept, or if the recorded request was sent as different messages.
pub(crate) fn replay(request: &Request, text: &str) -> Option<Vec<Frame>> {
    let encoded = text.strip_prefix(protocol(request))?;
    let raw = BASE64_STANDARD.decode(encoded).ok()?;
    let mut raw = BytesMut::from(Bytes::from(raw));
    let mut codec = FrameCodec::new(ANSWER_LIMIT);
    let mut stored = Vec::new();
    while raw.has_remaining() {
        stored.push(codec.decode(&mut raw).ok()??);
    }
    let batch = match request {
        Request::Query { .. } => return Some(stored),
        Request::Batch(batch) => batch,
    };
    let find = |tags: &[u8]| stored.iter().find(|f| tags.contains(&f.tag())).cloned();
    let mut frames = Vec::new();
    let mut executed = false;
    for message in &batch.messages {
        match message {
            Message::Parse { .. } => frames.push(Frame::new(tag::PARSE_COMPLETE, &[])),
            Message::Bind { .. } => frames.push(Frame::new(tag::BIND_COMPLETE, &[])),
            Message::CloseStatement | Message::ClosePortal(_) => {
                frames.push(Frame::new(tag::CLOSE_COMPLETE, &[]));
            }
            Message::DescribeStatement(_) => {
                frames.push(find(&[tag::PARAMETER_DESCRIPTION])?);
                frames.push(find(&[tag::ROW_DESCRIPTION, tag::NO_DATA])?);
            }
            Message::DescribePortal { .. } => {
                frames.push(find(&[tag::ROW_DESCRIPTION, tag::NO_DATA])?);
            }
            Message::Execute { .. } if executed => return None,
            Message::Execute { .. } => {
                executed = true;
                let ends = [tag::DATA_ROW, tag::COMMAND_COMPLETE, tag::EMPTY_QUERY];
                let part = stored.iter().filter(|f| ends.contains(&f.tag()));
                frames.extend(part.cloned());
            }
        }
    }
    Some(frames)
}

fn protocol(request: &Request) -> char {
    match request {
        Request::Query { .. } => SIMPLE,
        Request::Batch(_) => EXTENDED,
    }
}

fn is_answer(frame: &Frame) -> bool {
    !matches!(
        frame.tag(),
        tag::PARAMETER_STATUS | tag::NOTICE | tag::NOTIFICATION
    )
}
