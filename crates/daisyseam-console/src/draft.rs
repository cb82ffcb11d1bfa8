//! A document that is being edited; the operator's own layout and comments are kept.

use daisyseam_model::document::{
    DataCentreState,
    Document,
    Problem, //
};
use displaydoc::Display;
use similar::TextDiff;
use std::error::Error;
use toml_edit::{
    ArrayOfTables,
    DocumentMut,
    Item,
    Table,
    TomlError,
    Value,
    value, //
};

/// Why a draft could not be changed.
#[derive(Clone, Debug, Display, Eq, PartialEq)]
pub enum DraftError {
    /// the document cannot be read as TOML: {0}
    Toml(String),
    /// there is no {section} `{name}`
    Missing {
        /// Section.
        section: &'static str,
        /// Name that was looked for.
        name: String,
    },
    /// `{0}` is not a number
    Number(String),
    /// the section `{0}` is written in a form that the console does not edit
    Form(&'static str),
}

impl Error for DraftError {}

impl From<TomlError> for DraftError {
    fn from(error: TomlError) -> Self {
        Self::Toml(error.message().to_owned())
    }
}

/// An edited document beside the one it replaces.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct DocumentDraft {
    base_number: u64,
    base: String,
    text: String,
    submission: String,
}

impl DocumentDraft {
    /// Starts from the document in force; its number is raised by one.
    ///
    /// # Errors
    ///
    /// [`DraftError::Toml`] when the text is no TOML.
    pub fn start(base_number: u64, base: &str, submission: String) -> Result<Self, DraftError> {
        let mut draft = Self {
            base_number,
            base: base.to_owned(),
            text: base.to_owned(),
            submission,
        };
        let next = i64::try_from(base_number + 1).unwrap_or(i64::MAX);
        draft.edit(|tree| {
            replace(tree.as_table_mut(), "number", value(next));
            Ok(())
        })?;
        Ok(draft)
    }

    /// Returns the number of the document that this one replaces.
    pub fn base_number(&self) -> u64 {
        self.base_number
    }

    /// Returns the identifier that every send of this draft carries.
    pub fn submission(&self) -> &str {
        &self.submission
    }

    /// Returns the text.
    pub fn text(&self) -> &str {
        &self.text
    }

    /// Validates the text.
    pub fn check(&self) -> (Option<Document>, Vec<Problem>) {
        Document::check(&self.text)
    }

    /// Returns the difference from the document in force, line by line.
    pub fn difference(&self) -> String {
        TextDiff::from_lines(&self.base, &self.text)
            .unified_diff()
            .header("in force", "draft")
            .to_string()
    }

    /// Replaces the whole text.
    pub fn replace_text(&mut self, text: String) {
        self.text = text;
    }

    /// Takes a data centre out of service or brings it back.
    ///
    /// # Errors
    ///
    /// [`DraftError`] when it is not in the document.
    pub fn set_data_centre(
        &mut self,
        name: &str,
        state: DataCentreState,
    ) -> Result<(), DraftError> {
        let word = match state {
            DataCentreState::Active => "active",
            DataCentreState::Out => "out",
        };
        self.edit(|tree| {
            let table = existing(tree, "data_centre", name)?;
            replace(table, "state", value(word));
            Ok(())
        })
    }

    /// Changes a group's size.
    ///
    /// # Errors
    ///
    /// [`DraftError`] when it is not in the document or a number is none.
    pub fn set_group(
        &mut self,
        name: &str,
        databases: &str,
        slots: &str,
    ) -> Result<(), DraftError> {
        let databases = number(databases)?;
        let slots = number(slots)?;
        self.edit(|tree| {
            let table = existing(tree, "group", name)?;
            replace(table, "databases", databases);
            replace(table, "slots", slots);
            Ok(())
        })
    }

    /// Adds an organisation or changes its weight, rate and burst.
    ///
    /// # Errors
    ///
    /// [`DraftError`] when a number is none.
    pub fn set_organisation(
        &mut self,
        name: &str,
        weight: &str,
        rate: &str,
        burst: &str,
    ) -> Result<(), DraftError> {
        let (weight, rate, burst) = (number(weight)?, number(rate)?, number(burst)?);
        self.edit(|tree| {
            let table = found_or_added(tree, "organisation", name)?;
            replace(table, "weight", weight);
            replace(table, "rate", rate);
            replace(table, "burst", burst);
            Ok(())
        })
    }

    /// Removes an organisation with all its keys.
    ///
    /// # Errors
    ///
    /// [`DraftError`] when it is not in the document.
    pub fn remove_organisation(&mut self, name: &str) -> Result<(), DraftError> {
        self.edit(|tree| {
            let tables = tables(tree, "organisation")?;
            let index = position(tables, "organisation", name)?;
            tables.remove(index);
            Ok(())
        })
    }

    /// Gives an organisation one more key.
    ///
    /// # Errors
    ///
    /// [`DraftError`] when the organisation is not in the document.
    pub fn add_key(&mut self, organisation: &str, hash: &str) -> Result<(), DraftError> {
        self.edit(|tree| {
            let table = existing(tree, "organisation", organisation)?;
            let mut key = Table::new();
            key.insert("hash", value(hash));
            match table
                .entry("key")
                .or_insert(Item::ArrayOfTables(ArrayOfTables::new()))
            {
                Item::ArrayOfTables(keys) => keys.push(key),
                Item::Value(Value::Array(keys)) => keys.push(key.into_inline_table()),
                _ => return Err(DraftError::Form("key")),
            }
            Ok(())
        })
    }

    /// Withdraws a key of an organisation.
    ///
    /// # Errors
    ///
    /// [`DraftError`] when the organisation or the key is not in the document.
    pub fn withdraw_key(&mut self, organisation: &str, hash: &str) -> Result<(), DraftError> {
        self.edit(|tree| {
            let table = existing(tree, "organisation", organisation)?;
            let before = key_count(table);
            match table.get_mut("key") {
                Some(Item::ArrayOfTables(keys)) => {
                    keys.retain(|key| key.get("hash").and_then(Item::as_str) != Some(hash));
                }
                Some(Item::Value(Value::Array(keys))) => keys.retain(|key| {
                    let table = key.as_inline_table();
                    table.and_then(|table| table.get("hash")?.as_str()) != Some(hash)
                }),
                _ => {}
            }
            if key_count(table) == before {
                return Err(DraftError::Missing {
                    section: "key",
                    name: hash.to_owned(),
                });
            }
            Ok(())
        })
    }

    fn edit(
        &mut self,
        change: impl FnOnce(&mut DocumentMut) -> Result<(), DraftError>,
    ) -> Result<(), DraftError> {
        let mut tree: DocumentMut = self.text.parse()?;
        change(&mut tree)?;
        self.text = tree.to_string();
        Ok(())
    }
}

/// Replaces a value and keeps the comments around it and above its key.
fn replace(table: &mut Table, key: &str, mut item: Item) {
    let Some(held) = table.get_mut(key) else {
        table.insert(key, item);
        return;
    };
    if let (Some(old), Some(new)) = (held.as_value(), item.as_value_mut()) {
        *new.decor_mut() = old.decor().clone();
    }
    *held = item;
}

fn tables<'t>(
    tree: &'t mut DocumentMut,
    section: &'static str,
) -> Result<&'t mut ArrayOfTables, DraftError> {
    tree.entry(section)
        .or_insert(Item::ArrayOfTables(ArrayOfTables::new()))
        .as_array_of_tables_mut()
        .ok_or(DraftError::Form(section))
}

fn position(
    tables: &ArrayOfTables,
    section: &'static str,
    name: &str,
) -> Result<usize, DraftError> {
    let named = |table: &Table| table.get("name").and_then(Item::as_str) == Some(name);
    tables
        .iter()
        .position(named)
        .ok_or_else(|| DraftError::Missing {
            section,
            name: name.to_owned(),
        })
}

fn existing<'t>(
    tree: &'t mut DocumentMut,
    section: &'static str,
    name: &str,
) -> Result<&'t mut Table, DraftError> {
    let tables = tables(tree, section)?;
    let index = position(tables, section, name)?;
    tables.get_mut(index).ok_or(DraftError::Form(section))
}

fn found_or_added<'t>(
    tree: &'t mut DocumentMut,
    section: &'static str,
    name: &str,
) -> Result<&'t mut Table, DraftError> {
    let tables = tables(tree, section)?;
    let index = match position(tables, section, name) {
        Ok(index) => index,
        Err(_) => {
            let mut table = Table::new();
            table.insert("name", value(name));
            tables.push(table);
            tables.len() - 1
        }
    };
    tables.get_mut(index).ok_or(DraftError::Form(section))
}

fn key_count(table: &Table) -> usize {
    match table.get("key") {
        Some(Item::ArrayOfTables(keys)) => keys.len(),
        Some(Item::Value(Value::Array(keys))) => keys.len(),
        _ => 0,
    }
}

fn number(text: &str) -> Result<Item, DraftError> {
    let text = text.trim();
    if let Ok(whole) = text.parse::<i64>() {
        return Ok(value(whole));
    }
    match text.parse::<f64>() {
        Ok(number) if number.is_finite() => Ok(value(number)),
        _ => Err(DraftError::Number(text.chars().take(32).collect())),
    }
}
