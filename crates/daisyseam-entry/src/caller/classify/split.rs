//! Splits a query text into statements.

use super::hints::{
    StatementHints,
    parse_comment, //
};
use sqlparser::{
    dialect::PostgreSqlDialect,
    tokenizer::{
        Location,
        Token,
        TokenWithSpan,
        Tokenizer,
        Whitespace, //
    }, //
};
use std::ops::Range;

/// The text could not be tokenized.
#[derive(Debug)]
pub(super) struct SplitError;

/// A query text split into statements.
#[derive(Debug)]
pub(super) struct SplitText {
    pub(super) statements: Vec<TokenizedStatement>,
    pub(super) hints: StatementHints,
}

/// The tokens of one statement and its byte range in the text.
#[derive(Debug)]
pub(super) struct TokenizedStatement {
    pub(super) tokens: Vec<TokenWithSpan>,
    pub(super) span: Range<usize>,
}

/// Splits a text at its semicolons and reads the hints in its comments.
pub(super) fn split_statements(text: &str) -> Result<SplitText, SplitError> {
    let dialect = PostgreSqlDialect {};
    let tokens = Tokenizer::new(&dialect, text)
        .tokenize_with_location()
        .map_err(|_| SplitError)?;
    let mut hints = StatementHints::default();
    let mut statements = Vec::new();
    let mut statement_tokens = Vec::new();
    let mut offsets = OffsetFinder::new(text);
    let mut start = 0;
    for token in tokens {
        match &token.token {
            Token::SemiColon => {
                let end = offsets.find(token.span.start);
                push_statement(&mut statements, &mut statement_tokens, start..end);
                start = (end + 1).min(text.len());
            }
            Token::Whitespace(Whitespace::MultiLineComment(comment))
            | Token::Whitespace(Whitespace::SingleLineComment { comment, .. }) => {
                parse_comment(comment, &mut hints);
            }
            Token::Whitespace(_) | Token::EOF => {}
            _ => statement_tokens.push(token),
        }
    }
    push_statement(&mut statements, &mut statement_tokens, start..text.len());
    Ok(SplitText { statements, hints })
}

fn push_statement(
    statements: &mut Vec<TokenizedStatement>,
    tokens: &mut Vec<TokenWithSpan>,
    span: Range<usize>,
) {
    if tokens.is_empty() {
        return;
    }
    let tokens = std::mem::take(tokens);
    statements.push(TokenizedStatement { tokens, span });
}

/// Converts token locations, in increasing order, into byte offsets.
struct OffsetFinder<'a> {
    characters: std::str::CharIndices<'a>,
    length: usize,
    line: u64,
    column: u64,
}

impl<'a> OffsetFinder<'a> {
    fn new(text: &'a str) -> Self {
        Self {
            characters: text.char_indices(),
            length: text.len(),
            line: 1,
            column: 1,
        }
    }

    fn find(&mut self, location: Location) -> usize {
        while (self.line, self.column) < (location.line, location.column) {
            match self.characters.next() {
                Some((_, '\n')) => {
                    self.line += 1;
                    self.column = 1;
                }
                Some(_) => self.column += 1,
                None => return self.length,
            }
        }
        self.characters.offset().min(self.length)
    }
}
