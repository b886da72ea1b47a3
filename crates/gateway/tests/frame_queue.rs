//! Tests of frames that wait to be sent to another host.

use bytes::Bytes;
use magnoliahatch_gateway::client_memory::ClientMemory;
use magnoliahatch_gateway::mesh::frame_queue::QueueError;
use magnoliahatch_gateway::mesh::frame_queue::frame_queue;

/// Size of each frame, in bytes.
const FRAME_BYTES: usize = 100_000;
/// Memory for three of these frames, with what does not count of a queue.
const LIMIT: u64 = 250_000;

/// Guards against answers that pile up for a host that does not read, and against messages of the fleet
/// that are refused because clients use the memory.
#[test]
fn waiting_frames_are_bounded_by_the_memory() {
    let memory = ClientMemory::new(LIMIT);
    let (sender, mut receiver) = frame_queue(&memory, 2048);
    let (other, _other) = frame_queue(&memory, 2048);
    let frame = Bytes::from(vec![b'x'; FRAME_BYTES]);
    assert_eq!(other.send(frame.clone(), true), Ok(()));
    for _ in 0..2 {
        assert_eq!(sender.send(frame.clone(), true), Ok(()));
    }
    let refused = sender.send(frame.clone(), true);
    assert_eq!(refused, Err(QueueError::Memory));
    assert_eq!(sender.send(frame.clone(), false), Ok(()));
    let mut received = 0;
    while let Some(frame) = receiver.try_receive() {
        received += 1;
        receiver.on_sent(frame.len() as u64);
    }
    assert_eq!(received, 3);
    assert_eq!(sender.send(frame, true), Ok(()));
    drop((sender, receiver));
    assert!(memory.used() < FRAME_BYTES as u64);
}

/// Guards against bytes that stay counted for a frame that found the queue full.
#[test]
fn frame_of_a_full_queue_does_not_count() {
    let memory = ClientMemory::new(LIMIT);
    let (sender, _receiver) = frame_queue(&memory, 1);
    let frame = Bytes::from(vec![b'x'; FRAME_BYTES]);
    assert_eq!(sender.send(frame.clone(), true), Ok(()));
    let used = memory.used();
    for refusable in [true, false] {
        let closed = sender.send(frame.clone(), refusable);
        assert_eq!(closed, Err(QueueError::Closed));
        assert_eq!(memory.used(), used);
    }
}
