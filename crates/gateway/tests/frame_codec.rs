//! Tests of how frames between hosts are read within the memory for clients.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use bytes::BytesMut;
use magnoliahatch_gateway::client_memory::ClientMemory;
use magnoliahatch_gateway::held_bytes::HeldBytes;
use magnoliahatch_gateway::held_bytes::HeldFor;
use magnoliahatch_gateway::mesh::frame::Call;
use magnoliahatch_gateway::mesh::frame::Response;
use magnoliahatch_gateway::mesh::frame::WithId;
use magnoliahatch_gateway::mesh::frame_codec::FrameCodec;
use magnoliahatch_gateway::mesh::frame_codec::Incoming;
use magnoliahatch_gateway::mesh::link;
use magnoliahatch_gateway::model::job::Job;
use magnoliahatch_gateway::model::job::Work;
use magnoliahatch_gateway::model::outcome::Answer;
use serde::Serialize;
use tokio_util::codec::Decoder;

/// Size of a large text, in bytes.
const LARGE: usize = 500_000;
/// Ids of one and of several encoded bytes.
const IDS: [u64; 3] = [7, 1 << 20, u64::MAX];

fn run(length: usize) -> Call {
    let job = Job {
        id: Bytes::from_static(b"id"),
        work: Work::Read(Bytes::from(vec![b'x'; length])),
        values: Vec::new(),
        version: 1,
        timeout: Duration::from_secs(1),
    };
    Call::Run {
        channel: 3,
        target: None,
        job: Box::new(job),
    }
}

fn outcome(length: usize) -> Response {
    let answer = Answer {
        rows: vec![Bytes::from(vec![b'x'; length])],
        proof: Bytes::new(),
        position: None,
    };
    Response::Outcome(Ok(answer), None)
}

fn on_wire<T: Serialize>(id: u64, body: T) -> BytesMut {
    let frame = link::encode(&WithId { id, body }).expect("a frame");
    let mut bytes = BytesMut::from(&(frame.len() as u32).to_be_bytes()[..]);
    bytes.extend_from_slice(&frame);
    bytes
}

/// Memory that has no room left.
fn full_memory() -> (Rc<ClientMemory>, HeldBytes) {
    let memory = ClientMemory::new(1000);
    let mut other = memory.open(0);
    other.set(HeldFor::State, 1000);
    (memory, other)
}

/// Feeds a codec in pieces and returns the first frame and what is left.
fn decode_pieces(codec: &mut FrameCodec, bytes: &[u8], piece: usize) -> (Incoming, BytesMut) {
    let mut buffer = BytesMut::new();
    for bytes in bytes.chunks(piece) {
        buffer.extend_from_slice(bytes);
        if let Some(incoming) = codec.decode(&mut buffer).expect("valid frames") {
            return (incoming, buffer);
        }
    }
    panic!("no frame");
}

/// Guards against a statement or an outcome that is kept although there is no memory, and one whose
/// sender is never answered. The frames after it must still be read.
#[test]
fn statements_and_outcomes_are_skipped_without_memory() {
    for id in IDS {
        for wire in [on_wire(id, run(LARGE)), on_wire(id, outcome(LARGE))] {
            for piece in [1, 1000, LARGE * 2] {
                let (memory, _other) = full_memory();
                let mut codec = FrameCodec::new(memory.clone());
                let mut bytes = wire.clone();
                let next = on_wire(id, Call::Ping);
                bytes.extend_from_slice(&next);
                let (incoming, mut rest) = decode_pieces(&mut codec, &bytes, piece);
                assert!(matches!(incoming, Incoming::Refused(found) if found == id));
                assert!(rest.capacity() < LARGE || piece > LARGE);
                assert_eq!(memory.used(), 1000);
                let unread = next.len() - rest.len();
                rest.extend_from_slice(&bytes[bytes.len() - unread..]);
                let incoming = codec.decode(&mut rest).expect("a valid frame");
                assert!(matches!(incoming, Some(Incoming::Frame(_, None))));
            }
        }
    }
}

/// Guards against a view, a promotion or a token that is lost because clients use the memory.
#[test]
fn other_messages_are_read_without_memory() {
    let (memory, _other) = full_memory();
    let mut codec = FrameCodec::new(memory.clone());
    let call = Call::ReadFloor {
        service: "x".repeat(LARGE),
    };
    let mut wire = on_wire(7, call);
    let incoming = codec.decode(&mut wire).expect("a valid frame");
    let Some(Incoming::Frame(_, Some(held))) = incoming else {
        panic!("not a counted frame: {incoming:?}");
    };
    assert!(memory.used() > LARGE as u64);
    drop(held);
    assert_eq!(memory.used(), 1000);
}

/// Guards against memory that is allocated for a length that was only announced, and against a frame
/// whose bytes stay counted after its connection has ended.
#[test]
fn announced_length_allocates_nothing() {
    let memory = ClientMemory::new(u64::MAX);
    let mut codec = FrameCodec::new(memory.clone());
    let wire = on_wire(7, run(LARGE));
    let mut buffer = BytesMut::from(&wire[..100]);
    assert!(codec.decode(&mut buffer).expect("valid so far").is_none());
    assert!(buffer.capacity() < 1000);
    assert!(memory.used() > 0);
    drop(codec);
    assert_eq!(memory.used(), 0);
}
