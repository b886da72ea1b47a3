//! PostgreSQL messages as frames, relayed without decoding their rows.

pub mod fields;
pub mod frame;
pub mod frame_codec;
pub mod frame_error;
pub mod reply;
pub mod tag;
