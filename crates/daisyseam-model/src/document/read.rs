//! Reads typed values from a parsed TOML tree and collects every problem with its position.

use super::{
    Problem,
    Severity, //
};
use std::{
    ops::Range,
    str::FromStr,
    time::Duration, //
};
use toml_edit::{
    Item,
    TableLike,
    Value, //
};

/// Byte range of a table or value in the text.
pub(super) type TextSpan = Option<Range<usize>>;

/// Reads values from the tree and collects problems.
pub(super) struct ValueReader<'a> {
    text: &'a str,
    /// Offsets of the starts of all lines; empty until a problem is located.
    line_starts: Vec<usize>,
    problems: Vec<(usize, Problem)>,
}

impl<'a> ValueReader<'a> {
    pub(super) fn new(text: &'a str) -> Self {
        Self {
            text,
            line_starts: Vec::new(),
            problems: Vec::new(),
        }
    }

    /// Records an error at a place.
    pub(super) fn error(&mut self, span: TextSpan, message: impl Into<String>) {
        self.record(Severity::Error, span, message.into());
    }

    /// Records a warning at a place.
    pub(super) fn warning(&mut self, span: TextSpan, message: impl Into<String>) {
        self.record(Severity::Warning, span, message.into());
    }

    /// Returns whether any problem so far is an error.
    pub(super) fn has_errors(&self) -> bool {
        self.problems
            .iter()
            .any(|(_, problem)| problem.severity == Severity::Error)
    }

    /// Returns the problems in the order of the text.
    pub(super) fn finish(mut self) -> Vec<Problem> {
        self.problems.sort_by_key(|(offset, _)| *offset);
        // References are read a second time, so a problem may have been found twice.
        self.problems.dedup();
        self.problems
            .into_iter()
            .map(|(_, problem)| problem)
            .collect()
    }

    /// Reports every key that is not in the list.
    pub(super) fn only_keys(&mut self, table: &dyn TableLike, place: &str, known: &[&str]) {
        for (key, item) in table.iter() {
            if known.contains(&key) {
                continue;
            }
            let span = table
                .get_key_value(key)
                .and_then(|(key, _)| key.span())
                .or_else(|| item.span());
            let shown: String = key.chars().take(64).collect();
            self.error(
                span,
                format!(
                    "`{shown}` is not known in {place}; known are {}",
                    known.join(", ")
                ),
            );
        }
    }

    /// Takes a name-like text value.
    pub(super) fn name<T>(&mut self, table: &dyn TableLike, key: &str, place: TextSpan) -> Option<T>
    where
        T: FromStr,
        T::Err: std::fmt::Display,
    {
        let (text, span) = self.text_value(table, key, place)?;
        self.parse_name(&text, span)
    }

    /// Takes an array of name-like texts; a missing key is an empty list.
    pub(super) fn names<T>(&mut self, table: &dyn TableLike, key: &str) -> Vec<(T, TextSpan)>
    where
        T: FromStr,
        T::Err: std::fmt::Display,
    {
        let Some(item) = table.get(key) else {
            return Vec::new();
        };
        let Some(array) = item.as_array() else {
            self.error(item.span(), format!("`{key}` must be an array of texts"));
            return Vec::new();
        };
        let mut names = Vec::new();
        for value in array {
            match value.as_str() {
                Some(text) => {
                    if let Some(name) = self.parse_name(text, value.span()) {
                        names.push((name, value.span()));
                    }
                }
                None => self.error(value.span(), format!("`{key}` must hold texts only")),
            }
        }
        names
    }

    /// Takes a text value that must be there.
    pub(super) fn text_value(
        &mut self,
        table: &dyn TableLike,
        key: &str,
        place: TextSpan,
    ) -> Option<(String, TextSpan)> {
        let Some(item) = table.get(key) else {
            self.error(place, format!("`{key}` is missing"));
            return None;
        };
        match item.as_str() {
            Some(text) => Some((text.to_owned(), item.span())),
            None => {
                self.error(item.span(), format!("`{key}` must be a text"));
                None
            }
        }
    }

    /// Takes a whole number within bounds, or the default when the key is missing.
    pub(super) fn integer(
        &mut self,
        table: &dyn TableLike,
        key: &str,
        bounds: Range<i64>,
        default: Option<i64>,
        place: TextSpan,
    ) -> Option<i64> {
        let Some(item) = table.get(key) else {
            if default.is_none() {
                self.error(place, format!("`{key}` is missing"));
            }
            return default;
        };
        match item.as_integer() {
            Some(number) if bounds.contains(&number) => Some(number),
            Some(number) => {
                let last = bounds.end - 1;
                let message = format!("`{key}` is {number}, outside {} to {last}", bounds.start);
                self.error(item.span(), message);
                None
            }
            None => {
                self.error(item.span(), format!("`{key}` must be a whole number"));
                None
            }
        }
    }

    /// Takes a duration in milliseconds, or the default when the key is missing.
    pub(super) fn millis(
        &mut self,
        table: &dyn TableLike,
        key: &str,
        bounds: Range<i64>,
        default: Duration,
    ) -> Duration {
        let default_ms = i64::try_from(default.as_millis()).unwrap_or(i64::MAX);
        let millis = self.integer(table, key, bounds, Some(default_ms), None);
        millis
            .and_then(|millis| u64::try_from(millis).ok())
            .map_or(default, Duration::from_millis)
    }

    /// Takes a positive number, whole or not, within bounds.
    pub(super) fn number(
        &mut self,
        table: &dyn TableLike,
        key: &str,
        bounds: Range<f64>,
        place: TextSpan,
    ) -> Option<f64> {
        let Some(item) = table.get(key) else {
            self.error(place, format!("`{key}` is missing"));
            return None;
        };
        self.number_item(item, key, bounds)
    }

    /// Takes a number that may be missing.
    pub(super) fn optional_number(
        &mut self,
        table: &dyn TableLike,
        key: &str,
        bounds: Range<f64>,
    ) -> Option<f64> {
        let item = table.get(key)?;
        self.number_item(item, key, bounds)
    }

    /// Takes an array of tables; a missing key is an empty list.
    pub(super) fn tables<'t>(
        &mut self,
        table: &'t dyn TableLike,
        key: &str,
    ) -> Vec<(&'t dyn TableLike, TextSpan)> {
        let Some(item) = table.get(key) else {
            return Vec::new();
        };
        if let Some(array) = item.as_array_of_tables() {
            return array
                .iter()
                .map(|table| (table as &dyn TableLike, table.span()))
                .collect();
        }
        let inline = item.as_array().and_then(|array| {
            array
                .iter()
                .map(|value| match value {
                    Value::InlineTable(table) => Some((table as &dyn TableLike, value.span())),
                    _ => None,
                })
                .collect::<Option<Vec<_>>>()
        });
        inline.unwrap_or_else(|| {
            self.error(item.span(), format!("`{key}` must be an array of tables"));
            Vec::new()
        })
    }

    fn number_item(&mut self, item: &Item, key: &str, bounds: Range<f64>) -> Option<f64> {
        #[expect(clippy::cast_precision_loss, reason = "rates are far below 2^53")]
        let number = item
            .as_float()
            .or_else(|| item.as_integer().map(|number| number as f64));
        match number {
            Some(number) if bounds.contains(&number) => Some(number),
            Some(number) => {
                let message = format!(
                    "`{key}` is {number}, outside {} to {}",
                    bounds.start, bounds.end
                );
                self.error(item.span(), message);
                None
            }
            None => {
                self.error(item.span(), format!("`{key}` must be a number"));
                None
            }
        }
    }

    fn parse_name<T>(&mut self, text: &str, span: TextSpan) -> Option<T>
    where
        T: FromStr,
        T::Err: std::fmt::Display,
    {
        match text.parse() {
            Ok(name) => Some(name),
            Err(error) => {
                self.error(span, error.to_string());
                None
            }
        }
    }

    fn record(&mut self, severity: Severity, span: TextSpan, message: String) {
        let offset = span.map_or(0, |span| span.start);
        let (line, column) = self.locate(offset);
        let problem = Problem {
            severity,
            line,
            column,
            message,
        };
        self.problems.push((offset, problem));
    }

    /// Returns line and column of a byte offset, both counted from 1.
    fn locate(&mut self, offset: usize) -> (usize, usize) {
        let mut end = offset.min(self.text.len());
        while !self.text.is_char_boundary(end) {
            end -= 1;
        }
        if self.line_starts.is_empty() {
            let newlines = self.text.match_indices('\n');
            self.line_starts.push(0);
            self.line_starts
                .extend(newlines.map(|(index, _)| index + 1));
        }
        let line = self.line_starts.partition_point(|start| *start <= end);
        let start = self.line_starts[line - 1];
        (line, self.text[start..end].chars().count() + 1)
    }
}
