//! Framing of the PostgreSQL protocol. Rows are forwarded without being decoded.

pub mod body_reader;
pub mod encode;
pub mod frame;
pub mod frame_codec;
pub mod frame_error;
pub mod tag;
