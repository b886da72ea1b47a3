//! Answers recorded with a request id.

use base64::Engine;
use base64::prelude::BASE64_STANDARD;
use bytes::Buf;
use bytes::Bytes;
use bytes::BytesMut;
use tokio_util::codec::Decoder;

use crate::front::execute::Work;
use crate::front::message::Message;
use crate::wire::frame::Frame;
use crate::wire::frame_codec::FrameCodec;
use crate::wire::tag;

/// Largest recorded answer; larger ones are known only as having run.
pub(crate) const ANSWER_LIMIT: usize = 64 * 1024;
/// Protocols in which an answer was given; its form differs between them.
const SIMPLE: char = 'Q';
const EXTENDED: char = 'B';

/// Text form of an answer; empty if it was not kept.
pub(crate) fn encode(work: &Work, answer: Option<&[Frame]>) -> String {
    let Some(frames) = answer else {
        return String::new();
    };
    let mut text = String::from(protocol(work));
    let mut raw = BytesMut::new();
    for frame in frames.iter().filter(|frame| is_answer(frame)) {
        raw.extend_from_slice(frame.raw());
    }
    BASE64_STANDARD.encode_string(raw, &mut text);
    text
}

/// The recorded answer in the form that this request expects; none if it was not kept, or was
/// given to messages of another form.
pub(crate) fn replay(work: &Work, text: &str) -> Option<Vec<Frame>> {
    let encoded = text.strip_prefix(protocol(work))?;
    let raw = BASE64_STANDARD.decode(encoded).ok()?;
    let mut raw = BytesMut::from(Bytes::from(raw));
    let mut codec = FrameCodec::new(ANSWER_LIMIT);
    let mut stored = Vec::new();
    while raw.has_remaining() {
        stored.push(codec.decode(&mut raw).ok()??);
    }
    let batch = match work {
        Work::Query { .. } => return Some(stored),
        Work::Batch(batch) => batch,
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

fn protocol(work: &Work) -> char {
    match work {
        Work::Query { .. } => SIMPLE,
        Work::Batch(_) => EXTENDED,
    }
}

fn is_answer(frame: &Frame) -> bool {
    !matches!(
        frame.tag(),
        tag::PARAMETER_STATUS | tag::NOTICE | tag::NOTIFICATION
    )
}
