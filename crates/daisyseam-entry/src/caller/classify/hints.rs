//! Hints in SQL comments.

use daisyseam_runtime::TraceContext;
use std::time::Duration;

/// Hints given in the comments of a query text.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct StatementHints {
    /// Maximum staleness that the caller accepts.
    pub max_age: Option<Duration>,
    /// Trace that the request belongs to.
    pub trace: Option<TraceContext>,
    /// Whether the caller allows the text to run more than once.
    pub idempotent: bool,
}

/// Parses `name=value` pairs such as `daisyseam.max_age=500ms` or `traceparent='00-...'`.
pub(super) fn parse_comment(comment: &str, hints: &mut StatementHints) {
    for pair in comment.split([',', ' ', '\t', '\n']) {
        let Some((name, value)) = pair.split_once('=') else {
            continue;
        };
        let value = value.trim_matches('\'');
        match name.trim() {
            "daisyseam.max_age" => hints.max_age = parse_age(value).or(hints.max_age),
            "daisyseam.idempotent" => hints.idempotent = matches!(value, "on" | "true" | "1"),
            "traceparent" => hints.trace = TraceContext::parse(value).or(hints.trace),
            _ => {}
        }
    }
}

/// Parses a duration such as `500ms`, `2s` or `1min`; without a unit it is in milliseconds.
pub(super) fn parse_age(text: &str) -> Option<Duration> {
    /// Longest accepted duration; a larger bound would be of no use.
    const AGE_MAX: Duration = Duration::from_secs(24 * 60 * 60);

    let text = text.trim();
    let digits = text.bytes().take_while(u8::is_ascii_digit).count();
    let (number, unit) = text.split_at(digits);
    let number: u64 = number.parse().ok()?;
    let millis = match unit.trim() {
        "" | "ms" => Some(number),
        "s" => number.checked_mul(1_000),
        "min" => number.checked_mul(60_000),
        _ => None,
    };
    millis
        .map(Duration::from_millis)
        .filter(|age| *age <= AGE_MAX)
}
