//! Framing of the PostgreSQL protocol. Rows are forwarded without being decoded.

pub mod fields;
pub mod frame;
pub mod frame_codec;
pub mod frame_error;
pub mod reply;
pub mod tag;
