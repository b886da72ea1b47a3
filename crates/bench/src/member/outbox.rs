//! Messages to the client, collected until they are flushed.

use bytes::BytesMut;
use pgwire::messages::PgWireBackendMessage;
use pgwire::messages::data::DataRow;
use pgwire::messages::data::FieldDescription;
use pgwire::messages::data::NoData;
use pgwire::messages::data::ParameterDescription;
use pgwire::messages::data::RowDescription;
use pgwire::messages::response::CommandComplete;
use pgwire::messages::response::ErrorResponse;
use tokio_postgres::types::Type;

use crate::member::SqlError;
use crate::member::datum::Datum;

/// A result column.
#[derive(Debug, Clone, PartialEq)]
pub(crate) struct Column {
    pub(crate) name: String,
    pub(crate) kind: Type,
}

/// Formats of result columns: one for all, or one for each.
#[derive(Debug, Clone, Default)]
pub(crate) struct Formats(pub(crate) Vec<i16>);

impl Formats {
    pub(crate) fn binary(&self, at: usize) -> bool {
        match self.0.as_slice() {
            [one] => *one == 1,
            many => many.get(at) == Some(&1),
        }
    }
}

/// Messages to the client, collected until they are flushed.
#[derive(Debug, Default)]
pub(crate) struct Outbox {
    pub(crate) buffer: BytesMut,
}

impl Outbox {
    pub(crate) fn push(&mut self, message: PgWireBackendMessage) -> Result<(), SqlError> {
        message
            .encode(&mut self.buffer)
            .map_err(|e| SqlError::fatal("08P01", e.to_string()))
    }

    pub(crate) fn error(&mut self, error: &SqlError) -> Result<(), SqlError> {
        let severity = if error.fatal { "FATAL" } else { "ERROR" };
        self.push(PgWireBackendMessage::ErrorResponse(ErrorResponse::new(
            vec![
                (b'S', severity.to_owned()),
                (b'V', severity.to_owned()),
                (b'C', error.code.to_owned()),
                (b'M', error.message.clone()),
            ],
        )))
    }

    pub(crate) fn complete(&mut self, tag: &str) -> Result<(), SqlError> {
        self.push(PgWireBackendMessage::CommandComplete(CommandComplete::new(
            tag.to_owned(),
        )))
    }

    pub(crate) fn params(&mut self, types: &[Type]) -> Result<(), SqlError> {
        let oids = types.iter().map(Type::oid).collect();
        self.push(PgWireBackendMessage::ParameterDescription(
            ParameterDescription::new(oids),
        ))
    }

    pub(crate) fn columns(
        &mut self,
        columns: &[Column],
        formats: &Formats,
    ) -> Result<(), SqlError> {
        if columns.is_empty() {
            return self.push(PgWireBackendMessage::NoData(NoData::new()));
        }
        let fields = columns.iter().enumerate().map(|(at, column)| {
            let size = match column.kind {
                Type::BOOL => 1,
                Type::INT2 => 2,
                Type::INT4 | Type::FLOAT4 => 4,
                Type::INT8 | Type::FLOAT8 => 8,
                _ => -1,
            };
            let format = i16::from(formats.binary(at));
            FieldDescription::new(
                column.name.clone(),
                0,
                0,
                column.kind.oid(),
                size,
                -1,
                format,
            )
        });
        self.push(PgWireBackendMessage::RowDescription(RowDescription::new(
            fields.collect(),
        )))
    }

    pub(crate) fn row(
        &mut self,
        row: &[Datum],
        columns: &[Column],
        formats: &Formats,
    ) -> Result<(), SqlError> {
        let mut data = BytesMut::new();
        for (at, (datum, column)) in row.iter().zip(columns).enumerate() {
            datum.encode(&column.kind, formats.binary(at), &mut data)?;
        }
        let count = row.len() as i16;
        self.push(PgWireBackendMessage::DataRow(DataRow::new(data, count)))
    }
}
