//! Limits, data centres, groups and services.

use super::{
    RATE_BOUNDS,
    entries::{
        optional_millis,
        read_flag,
        read_named,
        size, //
    }, //
};
use crate::document::{
    CommitPolicy,
    DataCentreEntry,
    DataCentreState,
    GroupEntry,
    ReadConsistency,
    ReadCosts,
    RequestLimits,
    ServiceEntry,
    read::ValueReader, //
};
use std::collections::BTreeMap;
use toml_edit::TableLike;

pub(super) fn read_limits(reader: &mut ValueReader<'_>, root: &dyn TableLike) -> RequestLimits {
    let default = RequestLimits::default();
    let Some(item) = root.get("limits") else {
        return default;
    };
    let Some(table) = item.as_table_like() else {
        reader.error(item.span(), "`limits` must be a table");
        return default;
    };
    reader.only_keys(
        table,
        "`limits`",
        &[
            "message_bytes",
            "connections_per_instance",
            "statement_timeout_ms",
            "queue_timeout_ms",
            "idle_in_transaction_timeout_ms",
            "queue_length",
            "region_round_trip_ms",
            "far_round_trip_ms",
            "read_leave_data_centre_ms",
            "read_leave_region_ms",
            "read_use_primary_ms",
        ],
    );
    RequestLimits {
        message_bytes: size(reader, table, "message_bytes", 1_024..(1 << 30) + 1)
            .unwrap_or(default.message_bytes),
        connections_per_instance: size(reader, table, "connections_per_instance", 1..1_000_001)
            .unwrap_or(default.connections_per_instance),
        statement_timeout: reader.millis(
            table,
            "statement_timeout_ms",
            1..86_400_001,
            default.statement_timeout,
        ),
        queue_timeout: reader.millis(
            table,
            "queue_timeout_ms",
            1..3_600_001,
            default.queue_timeout,
        ),
        idle_in_transaction_timeout: reader.millis(
            table,
            "idle_in_transaction_timeout_ms",
            1..86_400_001,
            default.idle_in_transaction_timeout,
        ),
        queue_length: size(reader, table, "queue_length", 1..1_000_001)
            .unwrap_or(default.queue_length),
        reads: read_costs(reader, table),
    }
}

fn read_costs(reader: &mut ValueReader<'_>, table: &dyn TableLike) -> ReadCosts {
    let default = ReadCosts::default();
    let mut millis = |key, default| reader.millis(table, key, 0..60_001, default);
    ReadCosts {
        region_round_trip: millis("region_round_trip_ms", default.region_round_trip),
        far_round_trip: millis("far_round_trip_ms", default.far_round_trip),
        leave_data_centre: millis("read_leave_data_centre_ms", default.leave_data_centre),
        leave_region: millis("read_leave_region_ms", default.leave_region),
        use_primary: millis("read_use_primary_ms", default.use_primary),
    }
}

pub(super) fn read_data_centres<K>(
    reader: &mut ValueReader<'_>,
    root: &dyn TableLike,
) -> BTreeMap<K, DataCentreEntry>
where
    K: Ord + std::str::FromStr + std::fmt::Display,
    K::Err: std::fmt::Display,
{
    let known = ["name", "region", "state"];
    read_named(
        reader,
        root,
        "data_centre",
        &known,
        |reader, table, place| {
            let region = reader.name(table, "region", place);
            let state = match table.get("state") {
                None => Some(DataCentreState::Active),
                Some(item) => match item.as_str() {
                    Some("active") => Some(DataCentreState::Active),
                    Some("out") => Some(DataCentreState::Out),
                    _ => {
                        reader.error(item.span(), "`state` must be \"active\" or \"out\"");
                        None
                    }
                },
            };
            Some(DataCentreEntry {
                region: region?,
                state: state?,
            })
        },
    )
}

pub(super) fn read_groups<K>(
    reader: &mut ValueReader<'_>,
    root: &dyn TableLike,
) -> BTreeMap<K, GroupEntry>
where
    K: Ord + std::str::FromStr + std::fmt::Display,
    K::Err: std::fmt::Display,
{
    let known = [
        "name",
        "databases",
        "slots",
        "capacity",
        "acknowledging_replicas",
    ];
    read_named(reader, root, "group", &known, |reader, table, place| {
        let commit = read_commit_policy(reader, table);
        let (least, absent) = match commit {
            CommitPolicy::Majority => (1, None),
            CommitPolicy::Replicas(_) => (0, Some(0)),
        };
        let databases = reader.integer(table, "databases", least..32, absent, place.clone());
        let slots = reader.integer(table, "slots", 1..10_001, None, place.clone());
        let capacity = reader.optional_number(table, "capacity", RATE_BOUNDS);
        if commit == CommitPolicy::Majority && databases.is_some_and(|databases| databases < 3) {
            let message = "fewer than 3 databases: no acknowledged write survives the loss of one";
            reader.warning(table.get("databases").and_then(|item| item.span()), message);
        }
        Some(GroupEntry {
            databases: usize::try_from(databases?).ok()?,
            slots: usize::try_from(slots?).ok()?,
            commit,
            capacity,
        })
    })
}

pub(super) fn read_services<K>(
    reader: &mut ValueReader<'_>,
    root: &dyn TableLike,
) -> BTreeMap<K, ServiceEntry>
where
    K: Ord + std::str::FromStr + std::fmt::Display,
    K::Err: std::fmt::Display,
{
    let known = [
        "name",
        "group",
        "consistency",
        "max_staleness_ms",
        "statement_timeout_ms",
        "target_latency_ms",
        "priority",
        "public",
    ];
    read_named(reader, root, "service", &known, |reader, table, place| {
        let consistency = read_consistency(reader, table);
        let max_staleness = optional_millis(reader, table, "max_staleness_ms");
        let statement_timeout = optional_millis(reader, table, "statement_timeout_ms");
        let target_latency = optional_millis(reader, table, "target_latency_ms");
        let priority = reader.integer(table, "priority", 0..1_001, Some(0), place.clone());
        let public = read_flag(reader, table, "public");
        if consistency == Some(ReadConsistency::Bounded) && max_staleness.is_none() {
            reader.error(place.clone(), "a bounded service needs `max_staleness_ms`");
        }
        Some(ServiceEntry {
            group: reader.name(table, "group", place)?,
            consistency: consistency?,
            max_staleness,
            statement_timeout,
            target_latency,
            priority: u32::try_from(priority?).ok()?,
            public: public?,
        })
    })
}

fn read_commit_policy(reader: &mut ValueReader<'_>, table: &dyn TableLike) -> CommitPolicy {
    match size(reader, table, "acknowledging_replicas", 0..32) {
        Some(replicas) => CommitPolicy::Replicas(replicas),
        None => CommitPolicy::Majority,
    }
}

fn read_consistency(
    reader: &mut ValueReader<'_>,
    table: &dyn TableLike,
) -> Option<ReadConsistency> {
    let Some(item) = table.get("consistency") else {
        return Some(ReadConsistency::default());
    };
    match item.as_str() {
        Some("primary") => Some(ReadConsistency::Primary),
        Some("session") => Some(ReadConsistency::Session),
        Some("bounded") => Some(ReadConsistency::Bounded),
        _ => {
            let words = "`consistency` must be \"primary\", \"session\" or \"bounded\"";
            reader.error(item.span(), words);
            None
        }
    }
}
