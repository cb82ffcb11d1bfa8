//! Settings from flags and environment variables; flags take precedence, and all problems are
//! reported together.

use displaydoc::Display;
use std::{
    collections::BTreeMap,
    error::Error,
    fmt::Display,
    str::FromStr,
    time::Duration, //
};

/// {name}: {message}
#[derive(Clone, Debug, Display, Eq, PartialEq)]
pub struct SettingProblem {
    /// Flag and environment variable, as in `--listen (DAISYSEAM_LISTEN)`.
    pub name: String,
    /// Description of the problem.
    pub message: String,
}

impl Error for SettingProblem {}

/// Reads settings by name and collects their problems.
///
/// The flag `--data-folder` corresponds to the environment variable `DAISYSEAM_DATA_FOLDER`.
pub struct SettingReader {
    variables: BTreeMap<String, String>,
    problems: Vec<SettingProblem>,
}

impl SettingReader {
    /// Creates a reader for the environment variables of the process.
    pub fn from_environment() -> Self {
        Self::new(
            std::env::vars_os()
                .filter_map(|(name, value)| {
                    Some((name.into_string().ok()?, value.into_string().ok()?))
                })
                .collect(),
        )
    }

    /// Creates a reader for the given variables.
    pub fn new(variables: BTreeMap<String, String>) -> Self {
        Self {
            variables,
            problems: Vec::new(),
        }
    }

    /// Reads a required setting.
    pub fn required<T>(&mut self, flag: &str, given: Option<String>) -> Option<T>
    where
        T: FromStr,
        T::Err: Display,
    {
        let text = self.text(flag, given);
        if text.is_none() {
            self.problem(flag, "is missing".to_owned());
        }
        self.parse(flag, &text?)
    }

    /// Reads a setting with a default.
    pub fn with_default<T>(&mut self, flag: &str, given: Option<String>, default: T) -> T
    where
        T: FromStr,
        T::Err: Display,
    {
        self.optional(flag, given).unwrap_or(default)
    }

    /// Reads an optional setting.
    pub fn optional<T>(&mut self, flag: &str, given: Option<String>) -> Option<T>
    where
        T: FromStr,
        T::Err: Display,
    {
        let text = self.text(flag, given)?;
        self.parse(flag, &text)
    }

    /// Reads a list separated by commas.
    pub fn list<T>(&mut self, flag: &str, given: Option<String>) -> Vec<T>
    where
        T: FromStr,
        T::Err: Display,
    {
        let Some(text) = self.text(flag, given) else {
            return Vec::new();
        };
        text.split(',')
            .map(str::trim)
            .filter(|part| !part.is_empty())
            .filter_map(|part| self.parse(flag, part))
            .collect()
    }

    /// Reads a duration in milliseconds with a default.
    pub fn millis(&mut self, flag: &str, given: Option<String>, default: Duration) -> Duration {
        self.optional(flag, given)
            .map_or(default, Duration::from_millis)
    }

    /// Adds a problem that the caller found.
    pub fn problem(&mut self, flag: &str, message: String) {
        self.problems.push(SettingProblem {
            name: format!("--{flag} ({})", variable_name(flag)),
            message,
        });
    }

    /// Returns the settings if no problem was found.
    ///
    /// # Errors
    ///
    /// All problems, in the order in which the settings were read.
    pub fn finish<T>(self, settings: Option<T>) -> Result<T, Vec<SettingProblem>> {
        match settings {
            Some(settings) if self.problems.is_empty() => Ok(settings),
            _ => Err(self.problems),
        }
    }

    fn text(&self, flag: &str, given: Option<String>) -> Option<String> {
        given.or_else(|| self.variables.get(&variable_name(flag)).cloned())
    }

    fn parse<T>(&mut self, flag: &str, text: &str) -> Option<T>
    where
        T: FromStr,
        T::Err: Display,
    {
        match text.parse() {
            Ok(value) => Some(value),
            Err(error) => {
                self.problem(flag, error.to_string());
                None
            }
        }
    }
}

fn variable_name(flag: &str) -> String {
    format!("DAISYSEAM_{}", flag.replace('-', "_").to_ascii_uppercase())
}
