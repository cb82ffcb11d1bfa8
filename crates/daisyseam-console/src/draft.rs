//! A document that is being edited; the layout and comments of its text are preserved.

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
    /// the document is not valid TOML: {0}
    Toml(String),
    /// there is no {section} `{name}`
    Missing {
        /// Section.
        section: &'static str,
        /// Name that was not found.
        name: String,
    },
    /// `{0}` is not a number
    Number(String),
    /// the section `{0}` has a TOML form that the console cannot edit
    UnsupportedForm(&'static str),
}

impl Error for DraftError {}

impl From<TomlError> for DraftError {
    fn from(error: TomlError) -> Self {
        Self::Toml(error.message().to_owned())
    }
}

/// An edited document and the one that it replaces.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct DocumentDraft {
    base_number: u64,
    base: String,
    text: String,
    submission: String,
}

impl DocumentDraft {
    /// Creates a draft from the document in force, with the next number.
    ///
    /// # Errors
    ///
    /// [`DraftError::Toml`] when the text is not valid TOML.
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

    /// Returns the number of the document that the draft replaces.
    pub fn base_number(&self) -> u64 {
        self.base_number
    }

    /// Returns the identifier of every submission of this draft.
    pub fn submission(&self) -> &str {
        &self.submission
    }

    /// Returns the text of the draft.
    pub fn text(&self) -> &str {
        &self.text
    }

    /// Validates the draft.
    pub fn check(&self) -> (Option<Document>, Vec<Problem>) {
        Document::check(&self.text)
    }

    /// Returns the difference from the document in force as a unified diff.
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

    /// Takes a data centre out of service or puts it back into service.
    ///
    /// # Errors
    ///
    /// [`DraftError`] when it is not in the document.
    pub fn set_data_centre(
        &mut self,
        name: &str,
        state: DataCentreState,
    ) -> Result<(), DraftError> {
        let state = match state {
            DataCentreState::Active => "active",
            DataCentreState::Out => "out",
        };
        self.edit(|tree| {
            let table = find_table(tree, "data_centre", name)?;
            replace(table, "state", value(state));
            Ok(())
        })
    }

    /// Changes the number of databases of a group and their slots.
    ///
    /// # Errors
    ///
    /// [`DraftError`] when it is not in the document or a value is not a number.
    pub fn set_group(
        &mut self,
        name: &str,
        databases: &str,
        slots: &str,
    ) -> Result<(), DraftError> {
        let databases = parse_number(databases)?;
        let slots = parse_number(slots)?;
        self.edit(|tree| {
            let table = find_table(tree, "group", name)?;
            replace(table, "databases", databases);
            replace(table, "slots", slots);
            Ok(())
        })
    }

    /// Sets the weight, rate and burst of an organisation, which is added if it is missing.
    ///
    /// # Errors
    ///
    /// [`DraftError`] when a value is not a number.
    pub fn set_organisation(
        &mut self,
        name: &str,
        weight: &str,
        rate: &str,
        burst: &str,
    ) -> Result<(), DraftError> {
        let (weight, rate, burst) = (
            parse_number(weight)?,
            parse_number(rate)?,
            parse_number(burst)?,
        );
        self.edit(|tree| {
            let table = find_or_add(tree, "organisation", name)?;
            replace(table, "weight", weight);
            replace(table, "rate", rate);
            replace(table, "burst", burst);
            Ok(())
        })
    }

    /// Removes an organisation and its keys.
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

    /// Adds a key to an organisation.
    ///
    /// # Errors
    ///
    /// [`DraftError`] when the organisation is not in the document.
    pub fn add_key(&mut self, organisation: &str, hash: &str) -> Result<(), DraftError> {
        self.edit(|tree| {
            let table = find_table(tree, "organisation", organisation)?;
            let mut key = Table::new();
            key.insert("hash", value(hash));
            match table
                .entry("key")
                .or_insert(Item::ArrayOfTables(ArrayOfTables::new()))
            {
                Item::ArrayOfTables(keys) => keys.push(key),
                Item::Value(Value::Array(keys)) => keys.push(key.into_inline_table()),
                _ => return Err(DraftError::UnsupportedForm("key")),
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
            let table = find_table(tree, "organisation", organisation)?;
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

/// Replaces a value and preserves the comments around it and above its key.
fn replace(table: &mut Table, key: &str, mut item: Item) {
    let Some(current) = table.get_mut(key) else {
        table.insert(key, item);
        return;
    };
    if let (Some(old), Some(new)) = (current.as_value(), item.as_value_mut()) {
        *new.decor_mut() = old.decor().clone();
    }
    *current = item;
}

fn tables<'t>(
    tree: &'t mut DocumentMut,
    section: &'static str,
) -> Result<&'t mut ArrayOfTables, DraftError> {
    tree.entry(section)
        .or_insert(Item::ArrayOfTables(ArrayOfTables::new()))
        .as_array_of_tables_mut()
        .ok_or(DraftError::UnsupportedForm(section))
}

fn position(
    tables: &ArrayOfTables,
    section: &'static str,
    name: &str,
) -> Result<usize, DraftError> {
    let has_name = |table: &Table| table.get("name").and_then(Item::as_str) == Some(name);
    tables
        .iter()
        .position(has_name)
        .ok_or_else(|| DraftError::Missing {
            section,
            name: name.to_owned(),
        })
}

fn find_table<'t>(
    tree: &'t mut DocumentMut,
    section: &'static str,
    name: &str,
) -> Result<&'t mut Table, DraftError> {
    let tables = tables(tree, section)?;
    let index = position(tables, section, name)?;
    tables
        .get_mut(index)
        .ok_or(DraftError::UnsupportedForm(section))
}

fn find_or_add<'t>(
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
    tables
        .get_mut(index)
        .ok_or(DraftError::UnsupportedForm(section))
}

fn key_count(table: &Table) -> usize {
    match table.get("key") {
        Some(Item::ArrayOfTables(keys)) => keys.len(),
        Some(Item::Value(Value::Array(keys))) => keys.len(),
        _ => 0,
    }
}

fn parse_number(text: &str) -> Result<Item, DraftError> {
    let text = text.trim();
    if let Ok(integer) = text.parse::<i64>() {
        return Ok(value(integer));
    }
    match text.parse::<f64>() {
        Ok(number) if number.is_finite() => Ok(value(number)),
        _ => Err(DraftError::Number(text.chars().take(32).collect())),
    }
}
