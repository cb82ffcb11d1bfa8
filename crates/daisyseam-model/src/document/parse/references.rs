//! Checks between the sections of a document.

use crate::{
    ServiceId,
    document::{
        Document,
        read::ValueReader, //
    }, //
};
use std::collections::{
    BTreeMap,
    BTreeSet, //
};
use toml_edit::TableLike;

/// Sections whose entries name an entry of another section: section, key, section named.
const REFERENCES: [(&str, &str, &str); 3] = [
    ("data_centre", "region", "region"),
    ("service", "group", "group"),
    ("open_route", "service", "service"),
];

pub(super) fn check_references(
    reader: &mut ValueReader<'_>,
    document: &Document,
    root: &dyn TableLike,
) {
    for (section, key, target) in REFERENCES {
        let known = stated_names(reader, root, target);
        for (table, _) in reader.tables(root, section) {
            check_reference(reader, table, key, &known);
        }
    }
    let services = stated_names(reader, root, "service");
    let capacity: Option<f64> = document
        .groups
        .values()
        .map(|group| Some(group.capacity? * group.databases as f64))
        .sum();
    for (table, _) in reader.tables(root, "organisation") {
        check_organisation(reader, table, &services, capacity);
    }
    check_keys_unique(reader, root);
    check_in_service(reader, root);
}

/// Returns the names in a section, whether or not the rest of each entry is valid.
fn stated_names(
    reader: &mut ValueReader<'_>,
    root: &dyn TableLike,
    section: &str,
) -> BTreeSet<String> {
    reader
        .tables(root, section)
        .iter()
        .filter_map(|(table, _)| table.get("name")?.as_str().map(str::to_owned))
        .collect()
}

fn check_reference(
    reader: &mut ValueReader<'_>,
    table: &dyn TableLike,
    key: &str,
    known: &BTreeSet<String>,
) {
    let Some(item) = table.get(key) else { return };
    let Some(name) = item.as_str() else { return };
    // An invalid name has been reported already.
    if ServiceId::new(name).is_ok() && !known.contains(name) {
        let message = format!("the {key} `{name}` is not in the document");
        reader.error(item.span(), message);
    }
}

/// Checks the services of an organisation, and its rate against the capacity of all databases.
fn check_organisation(
    reader: &mut ValueReader<'_>,
    table: &dyn TableLike,
    services: &BTreeSet<String>,
    capacity: Option<f64>,
) {
    for (service, span) in reader.names::<String>(table, "services") {
        if !services.contains(&service) {
            reader.error(
                span,
                format!("the service `{service}` is not in the document"),
            );
        }
    }
    let Some(rate) = table.get("rate") else {
        return;
    };
    let stated = rate
        .as_float()
        .or_else(|| rate.as_integer().map(|rate| rate as f64));
    if let (Some(stated), Some(capacity)) = (stated, capacity)
        && stated > capacity
    {
        let message = format!("the rate is above {capacity}, the capacity of all databases");
        reader.warning(rate.span(), message);
    }
}

fn check_keys_unique(reader: &mut ValueReader<'_>, root: &dyn TableLike) {
    let mut owners: BTreeMap<String, String> = BTreeMap::new();
    for (table, _) in reader.tables(root, "organisation") {
        let owner = table.get("name").and_then(|item| item.as_str());
        for (key, _) in reader.tables(table, "key") {
            let Some(item) = key.get("hash") else {
                continue;
            };
            let Some(hash) = item.as_str() else { continue };
            let previous = owners.insert(
                hash.to_ascii_lowercase(),
                owner.unwrap_or_default().to_owned(),
            );
            if let Some(previous) = previous {
                let message = format!("the same key stands at organisation `{previous}` too");
                reader.error(item.span(), message);
            }
        }
    }
    if reader.tables(root, "organisation").is_empty() {
        reader.warning(None, "there is no organisation, so only open routes work");
    }
}

fn check_in_service(reader: &mut ValueReader<'_>, root: &dyn TableLike) {
    let centres = reader.tables(root, "data_centre");
    let out = |table: &dyn TableLike| {
        let state = table.get("state").and_then(|item| item.as_str());
        state == Some("out")
    };
    if centres.iter().all(|(table, _)| out(*table)) {
        let place = centres.first().and_then(|(_, place)| place.clone());
        reader.error(place, "no data centre is in service; at least one must be");
    }
}
