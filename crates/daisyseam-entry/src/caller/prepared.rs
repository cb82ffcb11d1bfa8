//! Statements that a caller has prepared, and the messages of one batch.

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

/// Type number of `text`.
const TEXT_TYPE: u32 = 25;

/// A text that was prepared, with the types that the caller gave.
#[derive(Debug)]
pub(super) struct PreparedText {
    pub(super) text: String,
    pub(super) types: Vec<u32>,
    pub(super) class: Arc<ClassifiedText>,
}

impl PreparedText {
    /// Returns what the statement needs; nothing for an empty text.
    pub(super) fn kind(&self) -> Option<&StatementKind> {
        self.class
            .statements
            .first()
            .map(|statement| &statement.kind)
    }

    /// Returns whether it is answered without a database.
    pub(super) fn is_local(&self) -> bool {
        self.kind().is_some_and(StatementKind::is_local)
    }
}

/// One message of a batch that ends with `Sync` or `Flush`.
#[derive(Debug)]
pub(super) enum BatchPart {
    /// Prepares a text under a name.
    Parse {
        /// Name; empty for the unnamed statement.
        name: String,
        /// The text.
        statement: Arc<PreparedText>,
    },
    /// Binds values to a prepared text.
    Bind(BoundPortal),
    /// Describes a prepared text.
    DescribeStatement(Arc<PreparedText>),
    /// Describes a portal.
    DescribePortal(Option<String>),
    /// Runs a portal.
    Execute {
        /// Name of the portal.
        portal: Option<String>,
        /// Most rows; 0 for all.
        max_rows: i32,
        /// What it runs.
        statement: Arc<PreparedText>,
    },
    /// Closes a portal.
    ClosePortal(Option<String>),
    /// Runs a statement that needs no database.
    Local(Arc<PreparedText>),
    /// An answer that needs no database.
    Answer(LocalAnswer),
}

/// An answer that needs no database.
#[derive(Clone, Debug)]
pub(super) enum LocalAnswer {
    /// A text was prepared under a name.
    Parsed(String),
    /// Values were bound.
    Bound,
    /// A statement or portal was closed.
    Closed,
    /// The statement takes no parameters.
    NoParameters,
    /// The statement returns no rows.
    NoRows,
    /// The statement returns one row with one text.
    OneText(String),
}

impl LocalAnswer {
    /// Returns the message.
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
            Self::OneText(name) => {
                let field = FieldDescription::new(name.clone(), 0, 0, TEXT_TYPE, -1, -1, 0);
                PgWireBackendMessage::RowDescription(RowDescription::new(vec![field]))
            }
        }
    }
}

/// Values bound to a prepared text.
#[derive(Debug)]
pub(super) struct BoundPortal {
    pub(super) statement: Arc<PreparedText>,
    pub(super) bind: Bind,
}

impl BoundPortal {
    /// Returns the message for the unnamed statement.
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
