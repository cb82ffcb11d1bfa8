//! Parameters of the startup packet.

use super::StartupError;
use crate::caller::classify::{
    SessionSetting,
    parse_startup_setting, //
};
use daisyseam_model::{
    ErrorKind,
    RequestError, //
};
use daisyseam_runtime::TraceContext;
use pgwire::messages::startup::Startup;
use smallvec::SmallVec;

/// Initial settings of a session.
#[derive(Debug, Default)]
pub(in crate::caller) struct StartupSettings {
    pub(in crate::caller) settings: SmallVec<[SessionSetting; 2]>,
    pub(in crate::caller) trace: Option<TraceContext>,
}

/// Reads the parameters of a startup packet.
pub(super) fn read_settings(startup: &Startup) -> Result<StartupSettings, StartupError> {
    let mut read = StartupSettings::default();
    for (name, value) in &startup.parameters {
        match name.as_str() {
            "user" | "database" => {}
            "options" => read_options(value, &mut read)?,
            "replication" => {
                let detail = "replication connections are not supported";
                let error = RequestError::new(ErrorKind::FeatureUnsupported, detail);
                return Err(StartupError::Refused(error));
            }
            // The protocol allows a server to ignore unknown protocol extensions.
            name if name.starts_with("_pq_.") => {}
            name => read_setting(name, value, &mut read)?,
        }
    }
    Ok(read)
}

/// Reads `-c name=value` and `--name=value`; a backslash escapes the next character.
fn read_options(text: &str, read: &mut StartupSettings) -> Result<(), StartupError> {
    let mut words = split_words(text).into_iter();
    while let Some(word) = words.next() {
        let pair = match word.as_str() {
            "-c" => words.next().unwrap_or_default(),
            _ => match word.strip_prefix("--").or_else(|| word.strip_prefix("-c")) {
                Some(pair) => pair.to_owned(),
                None => return Err(invalid(&word, "is not -c name=value")),
            },
        };
        let Some((name, value)) = pair.split_once('=') else {
            return Err(invalid(&pair, "is not name=value"));
        };
        read_setting(name, value, read)?;
    }
    Ok(())
}

fn split_words(text: &str) -> Vec<String> {
    let mut words = Vec::new();
    let mut word = String::new();
    let mut characters = text.chars();
    while let Some(character) = characters.next() {
        match character {
            '\\' => word.extend(characters.next()),
            space if space.is_whitespace() => {
                if !word.is_empty() {
                    words.push(std::mem::take(&mut word));
                }
            }
            other => word.push(other),
        }
    }
    if !word.is_empty() {
        words.push(word);
    }
    words
}

fn read_setting(name: &str, value: &str, read: &mut StartupSettings) -> Result<(), StartupError> {
    if name == "traceparent" {
        // An invalid trace context must not prevent the connection.
        read.trace = TraceContext::parse(value);
        return Ok(());
    }
    match parse_startup_setting(name, value) {
        Ok(setting) => read.settings.push(setting),
        Err(error) => return Err(invalid(name, error.detail())),
    }
    Ok(())
}

fn invalid(name: &str, detail: &str) -> StartupError {
    let error = RequestError::new(ErrorKind::InvalidSetting, format!("{name}: {detail}"));
    StartupError::Refused(error)
}
