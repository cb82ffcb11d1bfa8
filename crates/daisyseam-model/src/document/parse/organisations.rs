//! Organisations with their keys, and open routes.

use super::{
    RATE_BOUNDS,
    entries::{
        read_keyed,
        read_named, //
    }, //
};
use crate::{
    OrganisationId,
    document::{
        KeyEntry,
        OpenRoute,
        OrganisationEntry,
        read::{
            TextSpan,
            ValueReader, //
        }, //
    }, //
};
use smallvec::SmallVec;
use std::{
    collections::BTreeMap,
    ops::Range, //
};
use time::{
    OffsetDateTime,
    format_description::well_known::Rfc3339, //
};
use toml_edit::TableLike;

/// Name of the caller that uses an open route; no organisation may have it.
const OPEN_CALLER: &str = "open";
/// Prefix of a key hash, followed by 64 hexadecimal digits.
const HASH_PREFIX: &str = "sha256:";
/// Accepted weights.
const WEIGHT_BOUNDS: Range<i64> = 1..1_000_001;

pub(super) fn read_organisations(
    reader: &mut ValueReader<'_>,
    root: &dyn TableLike,
) -> BTreeMap<OrganisationId, OrganisationEntry> {
    let known = ["name", "weight", "rate", "burst", "services", "key"];
    read_named(
        reader,
        root,
        "organisation",
        &known,
        |reader, table, place| {
            if table.get("name").and_then(|item| item.as_str()) == Some(OPEN_CALLER) {
                let span = table.get("name").and_then(|item| item.span());
                reader.error(
                    span,
                    "`open` is the caller of open routes and no organisation",
                );
            }
            let weight = reader.integer(table, "weight", WEIGHT_BOUNDS, Some(1), place.clone());
            let rate = reader.number(table, "rate", RATE_BOUNDS, place.clone());
            let burst = reader.number(table, "burst", 1.0..1e9, place.clone());
            let services = reader.names(table, "services");
            let keys = read_keys(reader, table);
            if keys.is_empty() {
                reader.warning(place, "the organisation has no key, so nobody can use it");
            }
            Some(OrganisationEntry {
                weight: u32::try_from(weight?).ok()?,
                rate: rate?,
                burst: burst?,
                services: services.into_iter().map(|(name, _)| name).collect(),
                keys,
            })
        },
    )
}

fn read_keys(reader: &mut ValueReader<'_>, table: &dyn TableLike) -> SmallVec<[KeyEntry; 2]> {
    let mut keys = SmallVec::new();
    for (key, place) in reader.tables(table, "key") {
        reader.only_keys(key, "a key", &["hash", "not_before", "not_after"]);
        let hash = reader
            .text_value(key, "hash", place.clone())
            .and_then(|(text, span)| read_hash(reader, &text, span));
        let not_before = read_time(reader, key, "not_before");
        let not_after = read_time(reader, key, "not_after");
        if let (Some(start), Some(end)) = (not_before, not_after)
            && end <= start
        {
            reader.error(place, "the key ends before it starts");
        }
        if let Some(hash) = hash {
            keys.push(KeyEntry {
                hash,
                not_before,
                not_after,
            });
        }
    }
    keys
}

fn read_hash(reader: &mut ValueReader<'_>, text: &str, span: TextSpan) -> Option<[u8; 32]> {
    let mut hash = [0; 32];
    let digits = text.strip_prefix(HASH_PREFIX);
    let decoded = digits.and_then(|digits| hex::decode_to_slice(digits, &mut hash).ok());
    if decoded.is_none() {
        reader.error(span, "`hash` must be `sha256:` and 64 hexadecimal digits");
    }
    decoded.map(|()| hash)
}

fn read_time(
    reader: &mut ValueReader<'_>,
    table: &dyn TableLike,
    key: &str,
) -> Option<OffsetDateTime> {
    let item = table.get(key)?;
    let text = item
        .as_datetime()
        .map(ToString::to_string)
        .or_else(|| item.as_str().map(str::to_owned));
    let time = text.and_then(|text| OffsetDateTime::parse(&text, &Rfc3339).ok());
    if time.is_none() {
        let message = format!("`{key}` must be a time with an offset, as 2026-01-31T08:00:00Z");
        reader.error(item.span(), message);
    }
    time
}

pub(super) fn read_open_routes<K>(
    reader: &mut ValueReader<'_>,
    root: &dyn TableLike,
) -> BTreeMap<K, OpenRoute>
where
    K: Ord + std::str::FromStr + std::fmt::Display,
    K::Err: std::fmt::Display,
{
    let known = ["service", "tables", "rate", "burst"];
    read_keyed(
        reader,
        root,
        "open_route",
        "service",
        &known,
        |reader, table, place| {
            let tables = reader.names::<String>(table, "tables");
            let rate = reader.number(table, "rate", RATE_BOUNDS, place.clone());
            let burst = reader.number(table, "burst", 1.0..1e9, place.clone());
            if tables.is_empty() {
                reader.error(place, "`tables` is missing or empty");
            }
            Some(OpenRoute {
                tables: tables.into_iter().map(|(name, _)| name).collect(),
                rate: rate?,
                burst: burst?,
            })
        },
    )
}
