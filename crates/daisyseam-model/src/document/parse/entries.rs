//! Named entries of a section, and values that several sections share.

use crate::document::read::{
    TextSpan,
    ValueReader, //
};
use std::{
    collections::BTreeMap,
    ops::Range,
    time::Duration, //
};
use toml_edit::TableLike;

pub(super) fn size(
    reader: &mut ValueReader<'_>,
    table: &dyn TableLike,
    key: &str,
    bounds: Range<i64>,
) -> Option<usize> {
    table.get(key)?;
    let number = reader.integer(table, key, bounds, None, None)?;
    usize::try_from(number).ok()
}

pub(super) fn optional_millis(
    reader: &mut ValueReader<'_>,
    table: &dyn TableLike,
    key: &str,
) -> Option<Duration> {
    table.get(key)?;
    Some(reader.millis(table, key, 1..86_400_001, Duration::ZERO))
}

pub(super) fn read_flag(
    reader: &mut ValueReader<'_>,
    table: &dyn TableLike,
    key: &str,
) -> Option<bool> {
    let Some(item) = table.get(key) else {
        return Some(false);
    };
    let flag = item.as_bool();
    if flag.is_none() {
        reader.error(item.span(), format!("`{key}` must be true or false"));
    }
    flag
}

pub(super) fn read_named<K, V>(
    reader: &mut ValueReader<'_>,
    root: &dyn TableLike,
    section: &str,
    known: &[&str],
    read: impl Fn(&mut ValueReader<'_>, &dyn TableLike, TextSpan) -> Option<V>,
) -> BTreeMap<K, V>
where
    K: Ord + std::str::FromStr + std::fmt::Display,
    K::Err: std::fmt::Display,
{
    read_keyed(reader, root, section, "name", known, read)
}

pub(super) fn read_keyed<K, V>(
    reader: &mut ValueReader<'_>,
    root: &dyn TableLike,
    section: &str,
    key: &str,
    known: &[&str],
    read: impl Fn(&mut ValueReader<'_>, &dyn TableLike, TextSpan) -> Option<V>,
) -> BTreeMap<K, V>
where
    K: Ord + std::str::FromStr + std::fmt::Display,
    K::Err: std::fmt::Display,
{
    let mut entries = BTreeMap::new();
    for (table, place) in reader.tables(root, section) {
        reader.only_keys(table, &format!("`{section}`"), known);
        let name = reader.name::<K>(table, key, place.clone());
        let entry = read(reader, table, place);
        let (Some(name), Some(entry)) = (name, entry) else {
            continue;
        };
        if entries.contains_key(&name) {
            let span = table.get(key).and_then(|item| item.span());
            reader.error(span, format!("the {section} `{name}` stands twice"));
            continue;
        }
        entries.insert(name, entry);
    }
    entries
}
