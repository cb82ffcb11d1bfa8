//! Settings that a session carries from connection to connection.

use super::{
    StatementKind,
    hints::parse_age,
    session_state, //
};
use daisyseam_model::ErrorKind;
use sqlparser::ast::{
    ContextModifier,
    Expr,
    ObjectName,
    Set,
    UnaryOperator,
    Value, //
};
use std::time::Duration;

/// Settings that are repeated before each request on whatever connection runs it.
const CARRIED: [&str; 8] = [
    "bytea_output",
    "datestyle",
    "extra_float_digits",
    "intervalstyle",
    "lock_timeout",
    "search_path",
    "statement_timeout",
    "timezone",
];

/// Words for a setting that is not carried.
const NOT_CARRIED: &str = "this setting is not carried; use SET LOCAL in a transaction";

/// Words for an age that cannot be read.
const AGE_FORM: &str = "the age must be a duration of at most one day, like 500ms or 2s";

/// A change of what a session carries.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum SessionSetting {
    /// A setting of the database.
    Carried {
        /// Its name in lower case.
        name: String,
        /// Its value as SQL.
        value: String,
    },
    /// Greatest age of the data that reads accept; none for the newest.
    MaxAge(Option<Duration>),
    /// Token whose position the session starts from.
    Token(String),
    /// Name of the application, which only this instance knows.
    ApplicationName(String),
    /// A value that holds anyway.
    Fixed,
}

/// Why a setting is not taken.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(in crate::caller) enum SettingRefusal {
    /// Its value is not valid.
    Value(&'static str),
    /// It is not carried.
    State(&'static str),
}

impl SettingRefusal {
    /// Returns the words for the caller.
    pub(in crate::caller) fn words(self) -> &'static str {
        match self {
            Self::Value(words) | Self::State(words) => words,
        }
    }
}

/// Returns whether a setting is one of the system itself.
pub(super) fn is_own(name: &str) -> bool {
    matches!(name, "daisyseam.session" | "daisyseam.max_age")
}

/// Reads a setting that comes in the start-up packet.
///
/// # Errors
///
/// When the setting is not carried or its value is not valid.
pub(in crate::caller) fn carried_setting(
    name: &str,
    value: &str,
) -> Result<SessionSetting, SettingRefusal> {
    setting(&name.to_ascii_lowercase(), &[value.to_owned()])
}

/// Says what a `SET` needs.
pub(super) fn classify_set(set: &Set) -> StatementKind {
    match set {
        Set::SingleAssignment {
            scope: Some(ContextModifier::Local),
            ..
        }
        | Set::SetTimeZone { local: true, .. }
        | Set::SetTransaction { session: false, .. } => StatementKind::Block { recovers: false },
        Set::SingleAssignment {
            scope: None | Some(ContextModifier::Session),
            variable,
            values,
            ..
        } => assignment(&plain_name(variable), values),
        Set::SetTimeZone { value, .. } => assignment("timezone", std::slice::from_ref(value)),
        Set::SetNames { charset_name, .. } => {
            let charset = std::slice::from_ref(&charset_name.value);
            outcome(setting("client_encoding", charset))
        }
        _ => session_state(NOT_CARRIED),
    }
}

/// Says what a `RESET` of one setting needs.
pub(super) fn classify_reset(name: &ObjectName) -> StatementKind {
    let name = plain_name(name);
    let known = is_own(&name) || CARRIED.contains(&name.as_str()) || name == "application_name";
    if known {
        StatementKind::Reset(Some(name))
    } else {
        session_state(NOT_CARRIED)
    }
}

fn assignment(name: &str, values: &[Expr]) -> StatementKind {
    if let [Expr::Identifier(word)] = values
        && word.quote_style.is_none()
        && word.value.eq_ignore_ascii_case("default")
    {
        return StatementKind::Reset(Some(name.to_owned()));
    }
    let literals: Option<Vec<_>> = values.iter().map(literal).collect();
    match literals {
        Some(literals) => outcome(setting(name, &literals)),
        None => session_state("the value must be a literal"),
    }
}

fn outcome(setting: Result<SessionSetting, SettingRefusal>) -> StatementKind {
    match setting {
        Ok(setting) => StatementKind::Set(setting),
        Err(SettingRefusal::State(words)) => session_state(words),
        Err(SettingRefusal::Value(words)) => StatementKind::Refused {
            kind: ErrorKind::InvalidSetting,
            words,
        },
    }
}

fn setting(name: &str, values: &[String]) -> Result<SessionSetting, SettingRefusal> {
    let only = match values {
        [only] => only.as_str(),
        _ => "",
    };
    match name {
        "daisyseam.max_age" if matches!(only, "" | "off" | "none") => {
            Ok(SessionSetting::MaxAge(None))
        }
        "daisyseam.max_age" => match parse_age(only) {
            Some(age) => Ok(SessionSetting::MaxAge(Some(age))),
            None => Err(SettingRefusal::Value(AGE_FORM)),
        },
        "daisyseam.session" => Ok(SessionSetting::Token(only.to_owned())),
        "application_name" => Ok(SessionSetting::ApplicationName(only.to_owned())),
        "client_encoding" if is_one_of(only, &["utf8", "utf-8", "unicode"]) => {
            Ok(SessionSetting::Fixed)
        }
        "client_encoding" => Err(SettingRefusal::State("only the encoding UTF8 is supported")),
        "standard_conforming_strings" if is_one_of(only, &["on", "true", "1"]) => {
            Ok(SessionSetting::Fixed)
        }
        _ if CARRIED.contains(&name) => Ok(SessionSetting::Carried {
            name: name.to_owned(),
            value: values
                .iter()
                .map(|value| quoted(value))
                .collect::<Vec<_>>()
                .join(", "),
        }),
        _ => Err(SettingRefusal::State(NOT_CARRIED)),
    }
}

fn is_one_of(value: &str, accepted: &[&str]) -> bool {
    accepted.iter().any(|one| value.eq_ignore_ascii_case(one))
}

fn quoted(value: &str) -> String {
    format!("'{}'", value.replace('\'', "''"))
}

fn literal(value: &Expr) -> Option<String> {
    match value {
        Expr::Identifier(word) => Some(word.value.clone()),
        Expr::Value(value) => match &value.value {
            Value::Number(number, _) => Some(number.to_string()),
            Value::SingleQuotedString(text) => Some(text.clone()),
            Value::Boolean(value) => Some(if *value { "on" } else { "off" }.to_owned()),
            _ => None,
        },
        Expr::UnaryOp {
            op: UnaryOperator::Minus,
            expr,
        } => literal(expr).map(|number| format!("-{number}")),
        _ => None,
    }
}

fn plain_name(name: &ObjectName) -> String {
    let parts = name.0.iter().filter_map(|part| part.as_ident());
    let parts: Vec<_> = parts.map(|part| part.value.as_str()).collect();
    parts.join(".").to_ascii_lowercase()
}
