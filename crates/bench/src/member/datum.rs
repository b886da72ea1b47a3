//! Values in SQLite, in the log and on the wire.

use bytes::BufMut;
use bytes::BytesMut;
use rusqlite::ToSql;
use rusqlite::types::ToSqlOutput;
use rusqlite::types::ValueRef;
use serde::Deserialize;
use serde::Serialize;
use tokio_postgres::types::Type;

use crate::member::SqlError;

/// A value of a row or of a parameter.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Datum {
    Null,
    Integer(i64),
    /// Kept as bits in the log, since JSON does not preserve every float exactly.
    #[serde(with = "float_bits")]
    Real(f64),
    Text(String),
    Blob(Vec<u8>),
}

mod float_bits {
    use serde::Deserialize;
    use serde::Deserializer;
    use serde::Serializer;

    pub(super) fn serialize<S: Serializer>(value: &f64, to: S) -> Result<S::Ok, S::Error> {
        to.serialize_u64(value.to_bits())
    }

    pub(super) fn deserialize<'de, D: Deserializer<'de>>(from: D) -> Result<f64, D::Error> {
        u64::deserialize(from).map(f64::from_bits)
    }
}

impl ToSql for Datum {
    fn to_sql(&self) -> rusqlite::Result<ToSqlOutput<'_>> {
        Ok(ToSqlOutput::Borrowed(match self {
            Self::Null => ValueRef::Null,
            Self::Integer(v) => ValueRef::Integer(*v),
            Self::Real(v) => ValueRef::Real(*v),
            Self::Text(v) => ValueRef::Text(v.as_bytes()),
            Self::Blob(v) => ValueRef::Blob(v),
        }))
    }
}

impl From<ValueRef<'_>> for Datum {
    fn from(value: ValueRef<'_>) -> Self {
        match value {
            ValueRef::Null => Self::Null,
            ValueRef::Integer(v) => Self::Integer(v),
            ValueRef::Real(v) => Self::Real(v),
            ValueRef::Text(v) => Self::Text(String::from_utf8_lossy(v).into_owned()),
            ValueRef::Blob(v) => Self::Blob(v.to_vec()),
        }
    }
}

fn invalid(text: &str, kind: &Type) -> SqlError {
    SqlError::new(
        "22P02",
        format!("invalid input syntax for type {kind}: \"{text}\""),
    )
}

impl Datum {
    /// Decodes a parameter of a Bind message.
    pub fn decode(bytes: Option<&[u8]>, kind: &Type, binary: bool) -> Result<Self, SqlError> {
        let Some(bytes) = bytes else {
            return Ok(Self::Null);
        };
        if binary {
            return Self::decode_binary(bytes, kind);
        }
        let text = std::str::from_utf8(bytes)
            .map_err(|_| SqlError::new("22021", "invalid byte sequence for encoding \"UTF8\""))?;
        Ok(match *kind {
            Type::INT2 | Type::INT4 | Type::INT8 => {
                Self::Integer(text.trim().parse().map_err(|_| invalid(text, kind))?)
            }
            Type::FLOAT4 | Type::FLOAT8 => {
                Self::Real(text.trim().parse().map_err(|_| invalid(text, kind))?)
            }
            Type::BOOL => Self::Integer(bool_of(text).ok_or_else(|| invalid(text, kind))?.into()),
            Type::BYTEA => Self::Blob(bytes_of(text).ok_or_else(|| invalid(text, kind))?),
            _ => Self::Text(text.to_owned()),
        })
    }

    fn decode_binary(bytes: &[u8], kind: &Type) -> Result<Self, SqlError> {
        let wrong = || SqlError::new("22P03", format!("incorrect binary data format for {kind}"));
        Ok(match *kind {
            Type::BOOL => Self::Integer((*bytes.first().ok_or_else(wrong)?).into()),
            Type::INT2 => {
                Self::Integer(i16::from_be_bytes(bytes.try_into().map_err(|_| wrong())?).into())
            }
            Type::INT4 => {
                Self::Integer(i32::from_be_bytes(bytes.try_into().map_err(|_| wrong())?).into())
            }
            Type::INT8 => Self::Integer(i64::from_be_bytes(bytes.try_into().map_err(|_| wrong())?)),
            Type::FLOAT4 => {
                Self::Real(f32::from_be_bytes(bytes.try_into().map_err(|_| wrong())?).into())
            }
            Type::FLOAT8 => Self::Real(f64::from_be_bytes(bytes.try_into().map_err(|_| wrong())?)),
            Type::BYTEA => Self::Blob(bytes.to_vec()),
            _ => Self::Text(String::from_utf8(bytes.to_vec()).map_err(|_| wrong())?),
        })
    }

    /// Appends the value as a field of a DataRow message.
    pub fn encode(&self, kind: &Type, binary: bool, out: &mut BytesMut) -> Result<(), SqlError> {
        if *self == Self::Null {
            out.put_i32(-1);
            return Ok(());
        }
        let start = out.len();
        out.put_i32(0);
        if binary {
            self.put_binary(kind, out)?;
        } else {
            self.put_text(kind, out)?;
        }
        let size = i32::try_from(out.len() - start - 4)
            .map_err(|_| SqlError::new("54000", "a field is larger than 2 GB"))?;
        out[start..start + 4].copy_from_slice(&size.to_be_bytes());
        Ok(())
    }

    fn put_binary(&self, kind: &Type, out: &mut BytesMut) -> Result<(), SqlError> {
        let range = |_| SqlError::new("22003", format!("value out of range for type {kind}"));
        match *kind {
            Type::BOOL => out.put_u8((self.integer(kind)? != 0).into()),
            Type::INT2 => out.put_i16(self.integer(kind)?.try_into().map_err(range)?),
            Type::INT4 => out.put_i32(self.integer(kind)?.try_into().map_err(range)?),
            Type::INT8 => out.put_i64(self.integer(kind)?),
            Type::FLOAT4 => out.put_f32(self.real(kind)? as f32),
            Type::FLOAT8 => out.put_f64(self.real(kind)?),
            Type::BYTEA => out.put_slice(&self.bytes()),
            _ => out.put_slice(self.text().as_bytes()),
        }
        Ok(())
    }

    fn put_text(&self, kind: &Type, out: &mut BytesMut) -> Result<(), SqlError> {
        match *kind {
            Type::BOOL => out.put_u8(if self.integer(kind)? != 0 { b't' } else { b'f' }),
            Type::BYTEA => {
                out.put_slice(b"\\x");
                for byte in self.bytes() {
                    out.put_slice(format!("{byte:02x}").as_bytes());
                }
            }
            _ => out.put_slice(self.text().as_bytes()),
        }
        Ok(())
    }

    /// The value as text, as in a recording.
    pub fn text(&self) -> String {
        match self {
            Self::Null => "NULL".to_owned(),
            Self::Integer(v) => v.to_string(),
            Self::Real(v) => v.to_string(),
            Self::Text(v) => v.clone(),
            Self::Blob(v) => String::from_utf8_lossy(v).into_owned(),
        }
    }

    fn bytes(&self) -> Vec<u8> {
        match self {
            Self::Blob(v) => v.clone(),
            other => other.text().into_bytes(),
        }
    }

    fn integer(&self, kind: &Type) -> Result<i64, SqlError> {
        match self {
            Self::Integer(v) => Ok(*v),
            Self::Real(v) => Ok(*v as i64),
            Self::Text(v) => match kind {
                &Type::BOOL => bool_of(v).map(i64::from).ok_or_else(|| invalid(v, kind)),
                _ => v.parse().map_err(|_| invalid(v, kind)),
            },
            other => Err(invalid(&other.text(), kind)),
        }
    }

    fn real(&self, kind: &Type) -> Result<f64, SqlError> {
        match self {
            Self::Integer(v) => Ok(*v as f64),
            Self::Real(v) => Ok(*v),
            other => {
                let text = other.text();
                text.parse().map_err(|_| invalid(&text, kind))
            }
        }
    }
}

fn bool_of(text: &str) -> Option<bool> {
    match text.trim().to_ascii_lowercase().as_str() {
        "t" | "true" | "1" | "on" | "yes" => Some(true),
        "f" | "false" | "0" | "off" | "no" => Some(false),
        _ => None,
    }
}

fn bytes_of(text: &str) -> Option<Vec<u8>> {
    let Some(hex) = text.strip_prefix("\\x") else {
        return Some(text.as_bytes().to_vec());
    };
    if !hex.is_ascii() || hex.len() % 2 != 0 {
        return None;
    }
    (0..hex.len())
        .step_by(2)
        .map(|at| u8::from_str_radix(&hex[at..at + 2], 16).ok())
        .collect()
}
