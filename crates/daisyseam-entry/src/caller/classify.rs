//! What a statement needs: a replica, the primary, the session, or a refusal.

mod functions;
mod hints;
mod read_check;
mod settings;
mod split;

pub(super) use self::settings::carried_setting;
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

/// A text that a caller sent, taken apart.
#[derive(Clone, Debug, PartialEq)]
pub struct ClassifiedText {
    /// Its statements, in their order; empty ones are left out.
    pub statements: SmallVec<[ClassifiedStatement; 1]>,
    /// What its comments say.
    pub hints: StatementHints,
}

/// One statement of a text.
#[derive(Clone, Debug, PartialEq)]
pub struct ClassifiedStatement {
    /// Bytes of the text that it takes up.
    pub span: Range<usize>,
    /// What it needs.
    pub kind: StatementKind,
}

/// What a statement needs.
#[derive(Clone, Debug, PartialEq)]
pub enum StatementKind {
    /// It changes nothing and may run on a replica, and again.
    Read {
        /// Tables it names.
        tables: SmallVec<[String; 4]>,
    },
    /// It needs the primary, and must not run twice.
    Write,
    /// It starts a transaction.
    Begin {
        /// Whether the transaction is declared read only.
        read_only: bool,
        /// Text that begins it at a database.
        text: String,
    },
    /// It commits the transaction.
    Commit,
    /// It rolls the transaction back.
    Rollback,
    /// It has an effect only within a transaction, whose connection keeps that state.
    Block {
        /// Whether it is accepted after an error, as `ROLLBACK TO` is.
        recovers: bool,
    },
    /// It changes a setting that the session carries.
    Set(SessionSetting),
    /// It takes a setting back, or all.
    Reset(Option<String>),
    /// It drops everything that the session carries.
    DiscardAll,
    /// It has nothing to do here.
    Nothing {
        /// Tag of its answer.
        tag: &'static str,
    },
    /// It shows a setting of the system itself.
    ShowOwn(String),
    /// It is refused.
    Refused {
        /// Why.
        kind: ErrorKind,
        /// Words for the caller.
        words: &'static str,
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
            | Self::Nothing { .. }
            | Self::ShowOwn(_) => true,
            Self::Read { .. } | Self::Write | Self::Block { .. } | Self::Refused { .. } => false,
        }
    }
}

/// Takes a text apart and says what each statement of it needs.
///
/// What cannot be understood is a write; what cannot even be divided into statements is refused.
pub fn classify(text: &str) -> ClassifiedText {
    let split = match split::statements(text) {
        Ok(split) => split,
        Err(SplitError) => return refused_text(text),
    };
    let statements = split.pieces.into_iter().map(|piece| ClassifiedStatement {
        kind: classify_tokens(piece.tokens),
        span: piece.span,
    });
    ClassifiedText {
        statements: statements.collect(),
        hints: split.hints,
    }
}

fn refused_text(text: &str) -> ClassifiedText {
    let statement = ClassifiedStatement {
        span: 0..text.len(),
        kind: unclear("the text cannot be divided into statements"),
    };
    ClassifiedText {
        statements: SmallVec::from_iter([statement]),
        hints: StatementHints::default(),
    }
}

fn classify_tokens(tokens: Vec<TokenWithSpan>) -> StatementKind {
    let words = leading_keywords(&tokens);
    if let Some(refusal) = refuse_session_state(&tokens) {
        return refusal;
    }
    let dialect = PostgreSqlDialect {};
    let mut parser = Parser::new(&dialect).with_tokens_with_locations(tokens);
    let parsed = parser.parse_statement();
    let whole = parser.peek_token().token == Token::EOF;
    match parsed {
        Ok(statement) if whole => classify_statement(&statement),
        _ => classify_unparsed(&words),
    }
}

/// Refuses what could end a transaction or change a session; all else is a write.
fn classify_unparsed(words: &[Keyword]) -> StatementKind {
    let words = words.split_first();
    let Some((first, others)) = words else {
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
        | Keyword::COPY => unclear("the statement cannot be understood"),
        Keyword::SET
        | Keyword::RESET
        | Keyword::DISCARD
        | Keyword::LISTEN
        | Keyword::UNLISTEN
        | Keyword::DECLARE
        | Keyword::DEALLOCATE
        | Keyword::EXECUTE
        | Keyword::LOAD => session_state("the session cannot keep what this statement sets"),
        Keyword::CREATE if others.iter().any(is_temporary) => temporary(),
        _ => StatementKind::Write,
    }
}

/// Refuses calls of functions whose effect would outlast the transaction on its connection.
fn refuse_session_state(tokens: &[TokenWithSpan]) -> Option<StatementKind> {
    let pairs = tokens.windows(2).filter_map(|pair| match &pair[0].token {
        Token::Word(word) => Some((word, &pair[1].token)),
        _ => None,
    });
    for (word, next) in pairs {
        if *next == Token::LParen && functions::is_session_bound(&word.value) {
            return Some(session_state(
                "this function changes the state of one connection",
            ));
        }
        if let Token::Word(following) = next
            && word.keyword == Keyword::INTO
            && is_temporary(&following.keyword)
        {
            return Some(temporary());
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
            unsupported("AND CHAIN is not supported")
        }
        Statement::Rollback { .. } => StatementKind::Block { recovers: true },
        Statement::Savepoint { .. }
        | Statement::ReleaseSavepoint { .. }
        | Statement::Fetch { .. }
        | Statement::Lock(_) => StatementKind::Block { recovers: false },
        Statement::Close { .. } => StatementKind::Block { recovers: false },
        Statement::Declare { stmts, .. } => classify_declare(stmts),
        Statement::Set(set) => settings::classify_set(set),
        Statement::Reset(reset) => match &reset.reset {
            Reset::ALL => StatementKind::Reset(None),
            Reset::ConfigurationParameter(name) => settings::classify_reset(name),
            Reset::SessionAuthorization => session_state("the session keeps no authorization"),
        },
        Statement::Discard { object_type } => match object_type {
            DiscardObject::ALL => StatementKind::DiscardAll,
            DiscardObject::PLANS | DiscardObject::SEQUENCES | DiscardObject::TEMP => {
                StatementKind::Nothing { tag: "DISCARD" }
            }
        },
        Statement::UNLISTEN { .. } => StatementKind::Nothing { tag: "UNLISTEN" },
        Statement::LISTEN { .. } => session_state("LISTEN needs a connection of its own"),
        Statement::Prepare { .. } | Statement::Execute { .. } | Statement::Deallocate { .. } => {
            session_state("use the prepared statements of the protocol")
        }
        Statement::CreateTable(table) => classify_create_table(table),
        Statement::CreateView(view) if view.temporary => temporary(),
        Statement::CreateSequence {
            temporary: true, ..
        } => temporary(),
        Statement::Copy { .. } => unsupported("COPY is not supported; use INSERT and SELECT"),
        Statement::Load { .. } => session_state("LOAD changes one connection"),
        _ => StatementKind::Write,
    }
}

/// Planning runs nothing, so the plan of a write may come from a replica.
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
    if settings::is_own(&name) {
        StatementKind::ShowOwn(name)
    } else {
        StatementKind::Read {
            tables: SmallVec::new(),
        }
    }
}

fn classify_declare(declarations: &[sqlparser::ast::Declare]) -> StatementKind {
    if declarations.iter().any(|cursor| cursor.hold == Some(true)) {
        session_state("a cursor WITH HOLD needs a connection of its own")
    } else {
        StatementKind::Block { recovers: false }
    }
}

fn classify_create_table(table: &CreateTable) -> StatementKind {
    if table.temporary && table.on_commit != Some(OnCommit::Drop) {
        temporary()
    } else if table.temporary {
        StatementKind::Block { recovers: false }
    } else {
        StatementKind::Write
    }
}

fn is_read_only(modes: &[TransactionMode]) -> bool {
    let read_only = TransactionMode::AccessMode(TransactionAccessMode::ReadOnly);
    modes.contains(&read_only)
}

fn temporary() -> StatementKind {
    session_state("a temporary object must be dropped at the commit (ON COMMIT DROP)")
}

fn session_state(words: &'static str) -> StatementKind {
    StatementKind::Refused {
        kind: ErrorKind::SessionStateRefused,
        words,
    }
}

fn unsupported(words: &'static str) -> StatementKind {
    StatementKind::Refused {
        kind: ErrorKind::FeatureUnsupported,
        words,
    }
}

fn unclear(words: &'static str) -> StatementKind {
    StatementKind::Refused {
        kind: ErrorKind::StatementUnclear,
        words,
    }
}
