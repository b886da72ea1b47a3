//! Reads the fields of a message body. A malformed body is an error, never a panic.

use bytes::Buf;
use bytes::Bytes;

use crate::wire::frame::Frame;
use crate::wire::frame_error::FrameError;
use crate::wire::tag;

/// Cursor over the body of one message.
#[derive(Debug)]
pub struct BodyReader {
    tag: u8,
    rest: Bytes,
}

impl BodyReader {
    pub fn new(frame: &Frame) -> Self {
        Self {
            tag: frame.tag(),
            rest: frame.body(),
        }
    }

    /// Reads a string up to its zero byte.
    pub fn string(&mut self) -> Result<String, FrameError> {
        let end = self.rest.iter().position(|byte| *byte == 0);
        let end = end.ok_or_else(|| self.malformed())?;
        let text = self.rest.split_to(end);
        self.rest.advance(1);
        String::from_utf8(text.into()).map_err(|_| self.malformed())
    }

    pub fn byte(&mut self) -> Result<u8, FrameError> {
        self.rest.try_get_u8().map_err(|_| self.malformed())
    }

    pub fn int16(&mut self) -> Result<u16, FrameError> {
        self.rest.try_get_u16().map_err(|_| self.malformed())
    }

    pub fn int32(&mut self) -> Result<i32, FrameError> {
        self.rest.try_get_i32().map_err(|_| self.malformed())
    }

    /// Reads `length` bytes.
    pub fn bytes(&mut self, length: usize) -> Result<Bytes, FrameError> {
        if self.rest.len() < length {
            return Err(self.malformed());
        }
        Ok(self.rest.split_to(length))
    }

    /// Returns the bytes that have not been read yet.
    pub fn rest(self) -> Bytes {
        self.rest
    }

    fn malformed(&self) -> FrameError {
        FrameError::Malformed(char::from(self.tag))
    }
}

/// Returns one field of an ErrorResponse or NoticeResponse, for example `C`, the SQLSTATE.
pub fn error_field(frame: &Frame, wanted: u8) -> Option<String> {
    let mut reader = BodyReader::new(frame);
    loop {
        match reader.byte().ok()? {
            0 => return None,
            code if code == wanted => return reader.string().ok(),
            _ => reader.string().ok().map(drop)?,
        }
    }
}

/// Returns name and value of a ParameterStatus.
pub fn parse_parameter_status(frame: &Frame) -> Result<(String, String), FrameError> {
    let mut reader = BodyReader::new(frame);
    Ok((reader.string()?, reader.string()?))
}

/// Returns the columns of a DataRow as text.
pub fn parse_data_row(frame: &Frame) -> Result<Vec<Option<String>>, FrameError> {
    let mut reader = BodyReader::new(frame);
    let count = reader.int16()?;
    (0..count)
        .map(|_| match usize::try_from(reader.int32()?) {
            Ok(length) => String::from_utf8(reader.bytes(length)?.into())
                .map(Some)
                .map_err(|_| FrameError::Malformed(char::from(tag::DATA_ROW))),
            // A negative length means NULL.
            Err(_) => Ok(None),
        })
        .collect()
}
