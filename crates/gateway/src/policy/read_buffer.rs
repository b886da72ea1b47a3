//! Sizes of the buffers in which messages are read.

/// Size of the buffer for small messages, in bytes.
pub const SMALL: usize = 8 << 10;
/// Size up to which a buffer doubles, in bytes. Clients that wait for each other in the middle of their
/// messages hold at most this much.
pub const LARGEST_STEP: usize = 64 << 10;
/// Size of a buffer for the largest message, 1 MiB, with its end, in bytes.
pub const LARGEST: usize = (1 << 20) + SMALL;

/// Size of the buffer that replaces a full one of `length` bytes. After the steps it has the size for the
/// largest message; its pages are only used as bytes arrive. With further doublings the allocator kept more
/// unusable memory (VmHWM 45.0 MB instead of 37.6 to 40.9 MB in the test `large_results_that_are_not_read`).
pub fn next_size(length: usize) -> usize {
    if length < SMALL {
        SMALL
    } else if length < LARGEST_STEP {
        length * 2
    } else if length < LARGEST {
        LARGEST
    } else {
        length * 2
    }
}
