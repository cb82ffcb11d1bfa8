//! What the start-up packet sets.

use super::StartupEnd;
use crate::caller::classify::{
    SessionSetting,
    carried_setting, //
};
use daisyseam_model::{
    ErrorKind,
    RequestError, //
};
use daisyseam_runtime::TraceContext;
use pgwire::messages::startup::Startup;
use smallvec::SmallVec;

/// Settings that a connection starts with.
#[derive(Debug, Default)]
pub(in crate::caller) struct StartupSettings {
    pub(in crate::caller) settings: SmallVec<[SessionSetting; 2]>,
    pub(in crate::caller) trace: Option<TraceContext>,
}

/// Reads the parameters of a start-up packet.
pub(super) fn read_settings(startup: &Startup) -> Result<StartupSettings, StartupEnd> {
    let mut read = StartupSettings::default();
    for (name, value) in &startup.parameters {
        match name.as_str() {
            "user" | "database" => {}
            "options" => read_options(value, &mut read)?,
            "replication" => {
                let words = "replication connections are not served";
                let error = RequestError::new(ErrorKind::FeatureUnsupported, words);
                return Err(StartupEnd::Refused(error));
            }
            // Extensions of the protocol may be ignored.
            name if name.starts_with("_pq_.") => {}
            name => read_setting(name, value, &mut read)?,
        }
    }
    Ok(read)
}

/// Reads `-c name=value` and `--name=value`; a backslash takes the next character as it is.
fn read_options(text: &str, read: &mut StartupSettings) -> Result<(), StartupEnd> {
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

fn read_setting(name: &str, value: &str, read: &mut StartupSettings) -> Result<(), StartupEnd> {
    if name == "traceparent" {
        // A trace that cannot be read must not refuse a caller.
        read.trace = TraceContext::parse(value);
        return Ok(());
    }
    match carried_setting(name, value) {
        Ok(setting) => read.settings.push(setting),
        Err(refusal) => return Err(invalid(name, refusal.words())),
    }
    Ok(())
}

fn invalid(name: &str, words: &str) -> StartupEnd {
    let error = RequestError::new(ErrorKind::InvalidSetting, format!("{name}: {words}"));
    StartupEnd::Refused(error)
}
