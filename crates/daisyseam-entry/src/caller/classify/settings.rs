//! Classification of `SET` and `RESET`, and the settings that a session supports.

use super::{
    StatementKind,
    hints::parse_age,
    reject_session_state, //
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

/// Settings that are replayed on each connection before it runs a request of the session.
const REPLAYED_SETTINGS: [&str; 8] = [
    "bytea_output",
    "datestyle",
    "extra_float_digits",
    "intervalstyle",
    "lock_timeout",
    "search_path",
    "statement_timeout",
    "timezone",
];

/// Error detail for a setting that cannot be replayed.
const NOT_REPLAYED: &str =
    "the setting is not supported for a session; use SET LOCAL in a transaction";

/// Error detail for an invalid `daisyseam.max_age`.
const INVALID_MAX_AGE: &str = "the age must be a duration of at most one day, such as 500ms or 2s";

/// A change of a session's settings.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum SessionSetting {
    /// A database setting, replayed on each connection.
    Replayed {
        /// Name in lower case.
        name: String,
        /// Value as SQL.
        value: String,
    },
    /// Maximum staleness that reads accept; `None` requires current data.
    MaxAge(Option<Duration>),
    /// Session token; reads must observe at least its position.
    Token(String),
    /// Application name, which is not sent to databases.
    ApplicationName(String),
    /// The only supported value, which is already in effect.
    NoChange,
}

/// Why a setting was rejected.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(in crate::caller) enum SettingError {
    /// The value is invalid.
    InvalidValue(&'static str),
    /// The setting or this value of it is not supported for a session.
    Unsupported(&'static str),
}

impl SettingError {
    /// Returns the detail of the error message.
    pub(in crate::caller) fn detail(self) -> &'static str {
        match self {
            Self::InvalidValue(detail) | Self::Unsupported(detail) => detail,
        }
    }
}

/// Returns whether a setting belongs to the proxy itself.
pub(super) fn is_proxy_setting(name: &str) -> bool {
    matches!(name, "daisyseam.session" | "daisyseam.max_age")
}

/// Parses a setting from the startup packet.
///
/// # Errors
///
/// [`SettingError`] if the setting is not supported or its value is invalid.
pub(in crate::caller) fn parse_startup_setting(
    name: &str,
    value: &str,
) -> Result<SessionSetting, SettingError> {
    parse_setting(&name.to_ascii_lowercase(), &[value.to_owned()])
}

/// Classifies a `SET` statement.
pub(super) fn classify_set(set: &Set) -> StatementKind {
    match set {
        Set::SingleAssignment {
            scope: Some(ContextModifier::Local),
            ..
        }
        | Set::SetTimeZone { local: true, .. }
        | Set::SetTransaction { session: false, .. } => StatementKind::Block {
            allowed_after_error: false,
        },
        Set::SingleAssignment {
            scope: None | Some(ContextModifier::Session),
            variable,
            values,
            ..
        } => classify_assignment(&normalized_name(variable), values),
        Set::SetTimeZone { value, .. } => {
            classify_assignment("timezone", std::slice::from_ref(value))
        }
        Set::SetNames { charset_name, .. } => {
            let charset = std::slice::from_ref(&charset_name.value);
            classify_setting(parse_setting("client_encoding", charset))
        }
        _ => reject_session_state(NOT_REPLAYED),
    }
}

/// Classifies a `RESET` of one setting.
pub(super) fn classify_reset(name: &ObjectName) -> StatementKind {
    let name = normalized_name(name);
    let supported = is_proxy_setting(&name)
        || REPLAYED_SETTINGS.contains(&name.as_str())
        || name == "application_name";
    if supported {
        StatementKind::Reset(Some(name))
    } else {
        reject_session_state(NOT_REPLAYED)
    }
}

fn classify_assignment(name: &str, values: &[Expr]) -> StatementKind {
    if let [Expr::Identifier(word)] = values
        && word.quote_style.is_none()
        && word.value.eq_ignore_ascii_case("default")
    {
        return StatementKind::Reset(Some(name.to_owned()));
    }
    let literals: Option<Vec<_>> = values.iter().map(literal_text).collect();
    match literals {
        Some(literals) => classify_setting(parse_setting(name, &literals)),
        None => reject_session_state("the value must be a literal"),
    }
}

fn classify_setting(setting: Result<SessionSetting, SettingError>) -> StatementKind {
    match setting {
        Ok(setting) => StatementKind::Set(setting),
        Err(SettingError::Unsupported(detail)) => reject_session_state(detail),
        Err(SettingError::InvalidValue(detail)) => StatementKind::Refused {
            kind: ErrorKind::InvalidSetting,
            detail,
        },
    }
}

fn parse_setting(name: &str, values: &[String]) -> Result<SessionSetting, SettingError> {
    let single = match values {
        [single] => single.as_str(),
        _ => "",
    };
    match name {
        "daisyseam.max_age" if matches!(single, "" | "off" | "none") => {
            Ok(SessionSetting::MaxAge(None))
        }
        "daisyseam.max_age" => match parse_age(single) {
            Some(age) => Ok(SessionSetting::MaxAge(Some(age))),
            None => Err(SettingError::InvalidValue(INVALID_MAX_AGE)),
        },
        "daisyseam.session" => Ok(SessionSetting::Token(single.to_owned())),
        "application_name" => Ok(SessionSetting::ApplicationName(single.to_owned())),
        "client_encoding" if is_one_of(single, &["utf8", "utf-8", "unicode"]) => {
            Ok(SessionSetting::NoChange)
        }
        "client_encoding" => Err(SettingError::Unsupported(
            "only the encoding UTF8 is supported",
        )),
        "standard_conforming_strings" if is_one_of(single, &["on", "true", "1"]) => {
            Ok(SessionSetting::NoChange)
        }
        _ if REPLAYED_SETTINGS.contains(&name) => Ok(SessionSetting::Replayed {
            name: name.to_owned(),
            value: values
                .iter()
                .map(|value| quote_literal(value))
                .collect::<Vec<_>>()
                .join(", "),
        }),
        _ => Err(SettingError::Unsupported(NOT_REPLAYED)),
    }
}

fn is_one_of(value: &str, accepted: &[&str]) -> bool {
    accepted.iter().any(|one| value.eq_ignore_ascii_case(one))
}

fn quote_literal(value: &str) -> String {
    format!("'{}'", value.replace('\'', "''"))
}

fn literal_text(value: &Expr) -> Option<String> {
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
        } => literal_text(expr).map(|number| format!("-{number}")),
        _ => None,
    }
}

fn normalized_name(name: &ObjectName) -> String {
    let parts = name.0.iter().filter_map(|part| part.as_ident());
    let parts: Vec<_> = parts.map(|part| part.value.as_str()).collect();
    parts.join(".").to_ascii_lowercase()
}
