//! Divides a text into its statements.

use super::hints::{
    StatementHints,
    read_comment, //
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

/// The text is not a sequence of tokens.
#[derive(Debug)]
pub(super) struct SplitError;

/// A text divided into statements.
#[derive(Debug)]
pub(super) struct SplitText {
    pub(super) pieces: Vec<StatementPiece>,
    pub(super) hints: StatementHints,
}

/// The tokens of one statement and the bytes that they take up.
#[derive(Debug)]
pub(super) struct StatementPiece {
    pub(super) tokens: Vec<TokenWithSpan>,
    pub(super) span: Range<usize>,
}

/// Divides a text at its semicolons.
pub(super) fn statements(text: &str) -> Result<SplitText, SplitError> {
    let dialect = PostgreSqlDialect {};
    let tokens = Tokenizer::new(&dialect, text)
        .tokenize_with_location()
        .map_err(|_| SplitError)?;
    let mut hints = StatementHints::default();
    let mut pieces = Vec::new();
    let mut piece = Vec::new();
    let mut places = OffsetFinder::new(text);
    let mut start = 0;
    for token in tokens {
        match &token.token {
            Token::SemiColon => {
                let end = places.find(token.span.start);
                push_piece(&mut pieces, &mut piece, start..end);
                start = (end + 1).min(text.len());
            }
            Token::Whitespace(Whitespace::MultiLineComment(comment))
            | Token::Whitespace(Whitespace::SingleLineComment { comment, .. }) => {
                read_comment(comment, &mut hints);
            }
            Token::Whitespace(_) | Token::EOF => {}
            _ => piece.push(token),
        }
    }
    push_piece(&mut pieces, &mut piece, start..text.len());
    Ok(SplitText { pieces, hints })
}

fn push_piece(
    pieces: &mut Vec<StatementPiece>,
    tokens: &mut Vec<TokenWithSpan>,
    span: Range<usize>,
) {
    if tokens.is_empty() {
        return;
    }
    let tokens = std::mem::take(tokens);
    pieces.push(StatementPiece { tokens, span });
}

/// Turns rising places in lines and columns into byte offsets.
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

    fn find(&mut self, place: Location) -> usize {
        while (self.line, self.column) < (place.line, place.column) {
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
