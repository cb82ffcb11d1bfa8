//! Classification of statements: what each requires, or why it is rejected.

mod functions;
mod hints;
mod read_check;
mod settings;
mod split;

pub(super) use self::settings::parse_startup_setting;
use self::split::SplitError;
pub use self::{
    hints::StatementHints,
    settings::SessionSetting, //
};
use daisyseam_model::ErrorKind;
use smallvec::SmallVec;
use sqlparser::{
    ast::{
        CreateTable,
        DiscardObject,
        OnCommit,
        Reset,
        Statement,
        TransactionAccessMode,
        TransactionMode, //
    },
    dialect::PostgreSqlDialect,
    keywords::Keyword,
    parser::Parser,
    tokenizer::{
        Token,
        TokenWithSpan, //
    }, //
};
use std::ops::Range;

/// A query text split into classified statements.
#[derive(Clone, Debug, PartialEq)]
pub struct ClassifiedText {
    /// Non-empty statements in order.
    pub statements: SmallVec<[ClassifiedStatement; 1]>,
    /// Hints given in comments of the text.
    pub hints: StatementHints,
}

/// One statement of a text.
#[derive(Clone, Debug, PartialEq)]
pub struct ClassifiedStatement {
    /// Byte range of the statement in the text.
    pub span: Range<usize>,
    /// Requirements of the statement.
    pub kind: StatementKind,
}

/// Requirements of a statement.
#[derive(Clone, Debug, PartialEq)]
pub enum StatementKind {
    /// Changes nothing, so it may run on a replica and may be retried.
    Read {
        /// Tables that the statement names.
        tables: SmallVec<[String; 4]>,
    },
    /// Requires the primary and must not run twice.
    Write,
    /// Starts a transaction.
    Begin {
        /// Whether the transaction is declared read only.
        read_only: bool,
        /// Statement that begins the transaction on a database.
        text: String,
    },
    /// Commits the transaction.
    Commit,
    /// Rolls the transaction back.
    Rollback,
    /// Takes effect only within a transaction block, on the connection of the block.
    Block {
        /// Whether the statement is accepted in an aborted transaction, as `ROLLBACK TO` is.
        allowed_after_error: bool,
    },
    /// Changes a setting of the session.
    Set(SessionSetting),
    /// Resets one setting, or all with `None`.
    Reset(Option<String>),
    /// Discards all session state.
    DiscardAll,
    /// Has no effect here, since sessions keep no state of this kind.
    NoOp {
        /// Command tag of the response.
        tag: &'static str,
    },
    /// Shows a setting of the proxy itself.
    ShowProxySetting(String),
    /// Is rejected.
    Refused {
        /// Kind of the error.
        kind: ErrorKind,
        /// Detail of the error message.
        detail: &'static str,
    },
}

impl StatementKind {
    /// Returns whether the statement starts or ends a transaction.
    pub fn is_transaction_end_or_start(&self) -> bool {
        matches!(self, Self::Begin { .. } | Self::Commit | Self::Rollback)
    }

    /// Returns whether the statement is answered without a database.
    pub fn is_local(&self) -> bool {
        match self {
            Self::Begin { .. }
            | Self::Commit
            | Self::Rollback
            | Self::Set(_)
            | Self::Reset(_)
            | Self::DiscardAll
            | Self::NoOp { .. }
            | Self::ShowProxySetting(_) => true,
            Self::Read { .. } | Self::Write | Self::Block { .. } | Self::Refused { .. } => false,
        }
    }
}

/// Splits a query text into statements and classifies each of them.
///
/// A statement that cannot be parsed counts as a write, unless it could end a transaction or change
/// the session. A text that cannot be split into statements is rejected.
pub fn classify(text: &str) -> ClassifiedText {
    let split = match split::split_statements(text) {
        Ok(split) => split,
        Err(SplitError) => return reject_text(text),
    };
    let statements = split
        .statements
        .into_iter()
        .map(|statement| ClassifiedStatement {
            kind: classify_tokens(statement.tokens),
            span: statement.span,
        });
    ClassifiedText {
        statements: statements.collect(),
        hints: split.hints,
    }
}

fn reject_text(text: &str) -> ClassifiedText {
    let statement = ClassifiedStatement {
        span: 0..text.len(),
        kind: reject_unparsed("the query cannot be split into statements"),
    };
    ClassifiedText {
        statements: SmallVec::from_iter([statement]),
        hints: StatementHints::default(),
    }
}

fn classify_tokens(tokens: Vec<TokenWithSpan>) -> StatementKind {
    let keywords = leading_keywords(&tokens);
    if let Some(refusal) = reject_if_session_state(&tokens) {
        return refusal;
    }
    let dialect = PostgreSqlDialect {};
    let mut parser = Parser::new(&dialect).with_tokens_with_locations(tokens);
    let parsed = parser.parse_statement();
    let complete = parser.peek_token().token == Token::EOF;
    match parsed {
        Ok(statement) if complete => classify_statement(&statement),
        _ => classify_unparsed(&keywords),
    }
}

/// Rejects statements that could end a transaction or change session state; others are writes.
fn classify_unparsed(keywords: &[Keyword]) -> StatementKind {
    let keywords = keywords.split_first();
    let Some((first, others)) = keywords else {
        return StatementKind::Write;
    };
    match first {
        Keyword::BEGIN
        | Keyword::START
        | Keyword::COMMIT
        | Keyword::END
        | Keyword::ROLLBACK
        | Keyword::ABORT
        | Keyword::SAVEPOINT
        | Keyword::RELEASE
        | Keyword::PREPARE
        | Keyword::COPY => reject_unparsed("the statement cannot be parsed"),
        Keyword::SET
        | Keyword::RESET
        | Keyword::DISCARD
        | Keyword::LISTEN
        | Keyword::UNLISTEN
        | Keyword::DECLARE
        | Keyword::DEALLOCATE
        | Keyword::EXECUTE
        | Keyword::LOAD => {
            reject_session_state("session state set by this statement is not supported")
        }
        Keyword::CREATE if others.iter().any(is_temporary) => reject_temporary_object(),
        _ => StatementKind::Write,
    }
}

/// Rejects function calls and `INTO TEMP`, whose effects on a connection outlast the transaction.
fn reject_if_session_state(tokens: &[TokenWithSpan]) -> Option<StatementKind> {
    let pairs = tokens.windows(2).filter_map(|pair| match &pair[0].token {
        Token::Word(word) => Some((word, &pair[1].token)),
        _ => None,
    });
    for (word, next) in pairs {
        if *next == Token::LParen && functions::changes_session_state(&word.value) {
            return Some(reject_session_state(
                "the function changes the state of its connection",
            ));
        }
        if let Token::Word(following) = next
            && word.keyword == Keyword::INTO
            && is_temporary(&following.keyword)
        {
            return Some(reject_temporary_object());
        }
    }
    None
}

fn is_temporary(word: &Keyword) -> bool {
    matches!(word, Keyword::TEMP | Keyword::TEMPORARY)
}

fn leading_keywords(tokens: &[TokenWithSpan]) -> SmallVec<[Keyword; 4]> {
    tokens
        .iter()
        .filter_map(|token| match &token.token {
            Token::Word(word) => Some(word.keyword),
            _ => None,
        })
        .take(4)
        .collect()
}

fn classify_statement(statement: &Statement) -> StatementKind {
    match statement {
        Statement::Query(query) => read_check::classify_query(query),
        Statement::Explain {
            analyze: false,
            statement,
            options: None,
            ..
        } => classify_explained(statement),
        Statement::ShowVariable { variable } => classify_show(variable),
        Statement::StartTransaction {
            modes, statements, ..
        } if statements.is_empty() => StatementKind::Begin {
            read_only: is_read_only(modes),
            text: statement.to_string(),
        },
        Statement::Commit { chain: false, .. } => StatementKind::Commit,
        Statement::Rollback {
            chain: false,
            savepoint: None,
        } => StatementKind::Rollback,
        Statement::Commit { .. } | Statement::Rollback { chain: true, .. } => {
            reject_unsupported("AND CHAIN is not supported")
        }
        Statement::Rollback { .. } => StatementKind::Block {
            allowed_after_error: true,
        },
        Statement::Savepoint { .. }
        | Statement::ReleaseSavepoint { .. }
        | Statement::Fetch { .. }
        | Statement::Lock(_) => StatementKind::Block {
            allowed_after_error: false,
        },
        Statement::Close { .. } => StatementKind::Block {
            allowed_after_error: false,
        },
        Statement::Declare { stmts, .. } => classify_declare(stmts),
        Statement::Set(set) => settings::classify_set(set),
        Statement::Reset(reset) => match &reset.reset {
            Reset::ALL => StatementKind::Reset(None),
            Reset::ConfigurationParameter(name) => settings::classify_reset(name),
            Reset::SessionAuthorization => {
                reject_session_state("session authorization is not supported")
            }
        },
        Statement::Discard { object_type } => match object_type {
            DiscardObject::ALL => StatementKind::DiscardAll,
            DiscardObject::PLANS | DiscardObject::SEQUENCES | DiscardObject::TEMP => {
                StatementKind::NoOp { tag: "DISCARD" }
            }
        },
        Statement::UNLISTEN { .. } => StatementKind::NoOp { tag: "UNLISTEN" },
        Statement::LISTEN { .. } => reject_session_state("LISTEN requires a dedicated connection"),
        Statement::Prepare { .. } | Statement::Execute { .. } | Statement::Deallocate { .. } => {
            reject_session_state("use protocol-level prepared statements")
        }
        Statement::CreateTable(table) => classify_create_table(table),
        Statement::CreateView(view) if view.temporary => reject_temporary_object(),
        Statement::CreateSequence {
            temporary: true, ..
        } => reject_temporary_object(),
        Statement::Copy { .. } => {
            reject_unsupported("COPY is not supported; use INSERT and SELECT")
        }
        Statement::Load { .. } => reject_session_state("LOAD changes the state of its connection"),
        _ => StatementKind::Write,
    }
}

/// Classifies `EXPLAIN` without `ANALYZE`, which runs nothing, as a read if it explains a read.
fn classify_explained(statement: &Statement) -> StatementKind {
    match classify_statement(statement) {
        StatementKind::Read { tables } => StatementKind::Read { tables },
        refused @ StatementKind::Refused { .. } => refused,
        _ => StatementKind::Write,
    }
}

fn classify_show(variable: &[sqlparser::ast::Ident]) -> StatementKind {
    let parts = variable.iter().map(|part| part.value.as_str());
    let name = parts.collect::<Vec<_>>().join(".").to_ascii_lowercase();
    if settings::is_proxy_setting(&name) {
        StatementKind::ShowProxySetting(name)
    } else {
        StatementKind::Read {
            tables: SmallVec::new(),
        }
    }
}

fn classify_declare(declarations: &[sqlparser::ast::Declare]) -> StatementKind {
    if declarations.iter().any(|cursor| cursor.hold == Some(true)) {
        reject_session_state("a cursor WITH HOLD requires a dedicated connection")
    } else {
        StatementKind::Block {
            allowed_after_error: false,
        }
    }
}

fn classify_create_table(table: &CreateTable) -> StatementKind {
    if table.temporary && table.on_commit != Some(OnCommit::Drop) {
        reject_temporary_object()
    } else if table.temporary {
        StatementKind::Block {
            allowed_after_error: false,
        }
    } else {
        StatementKind::Write
    }
}

fn is_read_only(modes: &[TransactionMode]) -> bool {
    let read_only = TransactionMode::AccessMode(TransactionAccessMode::ReadOnly);
    modes.contains(&read_only)
}

fn reject_temporary_object() -> StatementKind {
    reject_session_state("temporary objects are only supported as tables with ON COMMIT DROP")
}

fn reject_session_state(detail: &'static str) -> StatementKind {
    StatementKind::Refused {
        kind: ErrorKind::SessionStateRefused,
        detail,
    }
}

fn reject_unsupported(detail: &'static str) -> StatementKind {
    StatementKind::Refused {
        kind: ErrorKind::FeatureUnsupported,
        detail,
    }
}

fn reject_unparsed(detail: &'static str) -> StatementKind {
    StatementKind::Refused {
        kind: ErrorKind::StatementUnclear,
        detail,
    }
}
