//! Prepared statements of a caller, and the parts of a message batch.

use super::classify::{
    ClassifiedText,
    StatementKind, //
};
use bytes::Bytes;
use pgwire::messages::{
    PgWireBackendMessage,
    data::{
        FieldDescription,
        NoData,
        ParameterDescription,
        RowDescription, //
    },
    extendedquery::{
        Bind,
        BindComplete,
        CloseComplete,
        ParseComplete, //
    }, //
};
use std::sync::Arc;

/// Object identifier of the type `text`.
const TEXT_OID: u32 = 25;

/// Text of a prepared statement and the parameter types given by the caller.
#[derive(Debug)]
pub(super) struct PreparedStatement {
    pub(super) text: String,
    pub(super) parameter_types: Vec<u32>,
    pub(super) class: Arc<ClassifiedText>,
}

impl PreparedStatement {
    /// Returns the kind of the statement, or `None` for an empty text.
    pub(super) fn kind(&self) -> Option<&StatementKind> {
        self.class
            .statements
            .first()
            .map(|statement| &statement.kind)
    }

    /// Returns whether the statement is handled without a database.
    pub(super) fn is_local(&self) -> bool {
        self.kind().is_some_and(StatementKind::is_local)
    }
}

/// One message of a batch that ends with `Sync` or `Flush`.
#[derive(Debug)]
pub(super) enum BatchPart {
    /// Prepares a statement.
    Parse {
        /// Name of the statement; empty for the unnamed one.
        name: String,
        /// The statement.
        statement: Arc<PreparedStatement>,
    },
    /// Binds parameter values to a prepared statement.
    Bind(BoundPortal),
    /// Describes a prepared statement.
    DescribeStatement(Arc<PreparedStatement>),
    /// Describes a portal.
    DescribePortal(Option<String>),
    /// Executes a portal.
    Execute {
        /// Name of the portal.
        portal: Option<String>,
        /// Maximum number of rows; 0 for no limit.
        max_rows: i32,
        /// Statement of the portal.
        statement: Arc<PreparedStatement>,
    },
    /// Closes a portal.
    ClosePortal(Option<String>),
    /// Executes a statement that is handled without a database.
    Local(Arc<PreparedStatement>),
    /// An answer that is produced without a database.
    Answer(LocalAnswer),
}

/// An answer that is produced without a database.
#[derive(Clone, Debug)]
pub(super) enum LocalAnswer {
    /// A statement with this name was prepared.
    Parsed(String),
    /// A portal was bound.
    Bound,
    /// A statement or portal was closed.
    Closed,
    /// The statement has no parameters.
    NoParameters,
    /// The statement returns no rows.
    NoRows,
    /// The statement returns a single text column with this name.
    SingleTextColumn(String),
}

impl LocalAnswer {
    /// Returns the answer as a protocol message.
    pub(super) fn message(&self) -> PgWireBackendMessage {
        match self {
            Self::Parsed(_) => PgWireBackendMessage::ParseComplete(ParseComplete::new()),
            Self::Bound => PgWireBackendMessage::BindComplete(BindComplete::new()),
            Self::Closed => PgWireBackendMessage::CloseComplete(CloseComplete::new()),
            Self::NoParameters => {
                let none = ParameterDescription::new(Vec::new());
                PgWireBackendMessage::ParameterDescription(none)
            }
            Self::NoRows => PgWireBackendMessage::NoData(NoData::new()),
            Self::SingleTextColumn(name) => {
                let field = FieldDescription::new(name.clone(), 0, 0, TEXT_OID, -1, -1, 0);
                PgWireBackendMessage::RowDescription(RowDescription::new(vec![field]))
            }
        }
    }
}

/// Parameter values bound to a prepared statement.
#[derive(Debug)]
pub(super) struct BoundPortal {
    pub(super) statement: Arc<PreparedStatement>,
    pub(super) bind: Bind,
}

impl BoundPortal {
    /// Returns a `Bind` message that refers to the unnamed statement of the connection.
    pub(super) fn message(&self) -> Bind {
        let bind = &self.bind;
        let values: Vec<Option<Bytes>> = bind.parameters.clone();
        Bind::new(
            bind.portal_name.clone(),
            None,
            bind.parameter_format_codes.clone(),
            values,
            bind.result_column_format_codes.clone(),
        )
    }
}
