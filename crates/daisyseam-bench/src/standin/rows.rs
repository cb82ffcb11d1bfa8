//! Result rows on their way from SQLite to the wire.

use super::error::StandInError;
use daisyseam_model::Position;
use futures_util::stream::{
    self,
    Stream, //
};
use pgwire::{
    api::{
        Type,
        portal::Format,
        results::{
            DataRowEncoder,
            FieldFormat,
            FieldInfo, //
        }, //
    },
    error::PgWireResult,
    messages::data::DataRow, //
};
use rusqlite::{
    Statement,
    types::ValueRef, //
};
use std::sync::Arc;

/// Names, types and formats of the result columns.
pub(super) struct RowSchema(Arc<Vec<FieldInfo>>);

impl RowSchema {
    /// Describes a statement; `inferred` stands in where no table column gives the type.
    pub(super) fn describe(
        statement: &Statement<'_>,
        inferred: &[Option<Type>],
        format: &Format,
    ) -> Self {
        let columns = statement.columns();
        let fields = columns.iter().enumerate().map(|(index, column)| {
            let declared = column.decl_type().filter(|declared| !declared.is_empty());
            let declared = declared.map(super::translate::wire_type);
            let inferred = inferred.get(index).cloned().flatten();
            let column_type = declared.or(inferred).unwrap_or(Type::TEXT);
            let name = column.name().to_owned();
            FieldInfo::new(name, None, None, column_type, format_for(format, index))
        });
        Self(Arc::new(fields.collect()))
    }

    /// Returns the columns.
    pub(super) fn fields(&self) -> Arc<Vec<FieldInfo>> {
        Arc::clone(&self.0)
    }

    /// Runs a bound statement and encodes its rows.
    pub(super) fn read(
        &self,
        statement: &mut Statement<'_>,
    ) -> Result<impl Stream<Item = PgWireResult<DataRow>> + Send + use<>, StandInError> {
        let mut encoder = DataRowEncoder::new(self.fields());
        let mut encoded = Vec::new();
        let mut rows = statement.raw_query();
        while let Some(row) = rows.next()? {
            for (index, field) in self.0.iter().enumerate() {
                let value = row.get_ref(index)?;
                encode(&mut encoder, field, value).map_err(unencodable)?;
            }
            encoded.push(Ok(encoder.take_row()));
        }
        Ok(stream::iter(encoded))
    }
}

fn unencodable(error: pgwire::error::PgWireError) -> StandInError {
    StandInError::Unsupported(error.to_string())
}

fn format_for(format: &Format, index: usize) -> FieldFormat {
    match format {
        // A client may give fewer formats than there are columns only by mistake.
        Format::Individual(codes) if index >= codes.len() => FieldFormat::Text,
        _ => format.format_for(index),
    }
}

fn encode(
    encoder: &mut DataRowEncoder,
    field: &FieldInfo,
    value: ValueRef<'_>,
) -> PgWireResult<()> {
    if value == ValueRef::Null {
        return encoder.encode_field(&None::<i64>);
    }
    let binary = field.format() == FieldFormat::Binary;
    match *field.datatype() {
        Type::BOOL => encoder.encode_field(&(integer(value) != 0)),
        Type::INT2 => encoder.encode_field(&i16::try_from(integer(value)).unwrap_or(i16::MAX)),
        Type::INT4 => encoder.encode_field(&i32::try_from(integer(value)).unwrap_or(i32::MAX)),
        Type::INT8 => encoder.encode_field(&integer(value)),
        Type::FLOAT8 => encoder.encode_field(&real(value)),
        Type::BYTEA => encoder.encode_field(&bytes(value)),
        Type::PG_LSN if binary => {
            let position = Position::parse(&text(value)).unwrap_or_default();
            encode_wide(encoder, field, position.0)
        }
        Type::XID8 if binary => encode_wide(encoder, field, text(value).parse().unwrap_or(0)),
        _ => encoder.encode_field_with_type_and_format(
            &text(value),
            &Type::TEXT,
            field.format(),
            field.format_options(),
        ),
    }
}

fn encode_wide(encoder: &mut DataRowEncoder, field: &FieldInfo, number: u64) -> PgWireResult<()> {
    encoder.encode_field_with_type_and_format(
        &number.cast_signed(),
        &Type::INT8,
        FieldFormat::Binary,
        field.format_options(),
    )
}

fn integer(value: ValueRef<'_>) -> i64 {
    match value {
        ValueRef::Integer(number) => number,
        #[expect(
            clippy::cast_possible_truncation,
            reason = "a cast to a whole number rounds"
        )]
        ValueRef::Real(number) => number as i64,
        _ => text(value).parse().unwrap_or(0),
    }
}

fn real(value: ValueRef<'_>) -> f64 {
    match value {
        #[expect(
            clippy::cast_precision_loss,
            reason = "the column is declared as a float"
        )]
        ValueRef::Integer(number) => number as f64,
        ValueRef::Real(number) => number,
        _ => text(value).parse().unwrap_or(0.0),
    }
}

fn bytes(value: ValueRef<'_>) -> Vec<u8> {
    match value {
        ValueRef::Blob(bytes) | ValueRef::Text(bytes) => bytes.to_vec(),
        _ => text(value).into_bytes(),
    }
}

fn text(value: ValueRef<'_>) -> String {
    match value {
        ValueRef::Null => String::new(),
        ValueRef::Integer(number) => number.to_string(),
        ValueRef::Real(number) => number.to_string(),
        ValueRef::Text(bytes) | ValueRef::Blob(bytes) => {
            String::from_utf8_lossy(bytes).into_owned()
        }
    }
}
