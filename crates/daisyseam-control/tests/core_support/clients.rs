//! Simulated entries that tell their clients of a commit once enough listed replicas have it.

use super::{
    Entry,
    GROUP,
    Simulation,
    direct::{
        DatabaseCopy,
        DirectGroup, //
    }, //
};
use daisyseam_model::{
    GroupView,
    LogPosition,
    Position,
    PrimaryState,
    Term,
    document::CommitPolicy, //
};
use std::collections::{
    BTreeMap,
    BTreeSet, //
};

/// Time between two questions of an entry to a database, in milliseconds.
const ASK_INTERVAL: u64 = 13;
/// Time after which a client counts the outcome of its commit as unknown, in milliseconds.
const CLIENT_TIMEOUT: u64 = 2_000;

/// A commit of which its client has not heard.
#[derive(Debug)]
struct PendingCommit {
    begun: u64,
    entry: usize,
    primary: String,
    at: LogPosition,
    write: u64,
    /// Replicas that the document asked for when it began.
    replicas: usize,
    acknowledged: bool,
}

/// What a database last said of itself to an entry.
#[derive(Clone, Copy, Debug)]
struct CopyReport {
    born: u64,
    end: LogPosition,
}

/// What clients were told of their commits.
#[derive(Debug)]
pub(crate) struct ClientLedger {
    /// Whether clients are told as soon as the database acknowledges.
    trusts_databases: bool,
    pub(crate) told: BTreeSet<u64>,
    /// Commits that databases acknowledged and that a later primary lacked.
    pub(crate) missing: usize,
    pending: Vec<PendingCommit>,
    /// For each entry, the last report of each database.
    reports: BTreeMap<usize, BTreeMap<String, CopyReport>>,
}

impl ClientLedger {
    pub(crate) fn new(trusts_databases: bool) -> Self {
        Self {
            trusts_databases,
            told: BTreeSet::new(),
            missing: 0,
            pending: Vec::new(),
            reports: BTreeMap::new(),
        }
    }

    pub(super) fn begin(
        &mut self,
        now: u64,
        (entry, replicas): (usize, usize),
        primary: &DatabaseCopy,
        write: u64,
    ) {
        self.pending.push(PendingCommit {
            begun: now,
            entry,
            primary: primary.name.clone(),
            at: LogPosition {
                term: Term(primary.term),
                position: Position(primary.log.len() as u64),
            },
            write,
            replicas,
            acknowledged: false,
        });
    }

    /// Returns whether an entry may tell the client of a commit that the database acknowledged.
    fn may_tell(&self, now: u64, commit: &PendingCommit, entry: &Entry) -> bool {
        let leads = |group: &GroupView| match &group.primary {
            PrimaryState::Active(primary) | PrimaryState::Draining(primary) => {
                primary.as_str() == commit.primary && group.lineage_start.term == commit.at.term
            }
            PrimaryState::Fenced => false,
        };
        let Some(reports) = self.reports.get(&commit.entry) else {
            return false;
        };
        let listed = entry.view.upstreams.iter().filter(|(name, upstream)| {
            let report = reports.get(name.as_str());
            let has = report.is_some_and(|report| {
                report.born == upstream.born_ms
                    && report.end.term == commit.at.term
                    && report.end.position >= commit.at.position
            });
            name.as_str() != commit.primary && upstream.voter && !upstream.leaving && has
        });
        let enough = listed.count() >= commit.replicas.max(entry.replicas());
        let mut listed = entry.view.upstreams.iter();
        let primary = listed.find(|(name, _)| name.as_str() == commit.primary);
        let enough = enough && primary.is_some_and(|(_, primary)| primary.voter);
        enough && now < entry.lease_until && entry.view.groups.get(GROUP).is_some_and(leads)
    }
}

impl Entry {
    /// Returns how many replicas must have a commit by the document of its view.
    pub(super) fn replicas(&self) -> usize {
        let document = self.view.document.as_ref();
        let entry = document.and_then(|document| document.groups.get(GROUP));
        match entry.map(|entry| entry.commit) {
            Some(CommitPolicy::Replicas(replicas)) => replicas,
            Some(CommitPolicy::Majority) | None => usize::MAX,
        }
    }
}

impl Simulation {
    /// Asks the databases for their positions, and tells clients of commits.
    pub(super) fn tell_clients(&mut self) {
        let now = self.now;
        let Some(group) = &mut self.direct else {
            return;
        };
        let Some(mut clients) = group.clients.take() else {
            return;
        };
        for (number, entry) in self.entries.iter().enumerate() {
            for (index, copy) in group.copies.iter().enumerate() {
                let due = (now + number as u64 + 5 * index as u64).is_multiple_of(ASK_INTERVAL);
                if due && copy.up && !copy.hidden_from_entries && copy.side == entry.side {
                    let report = CopyReport {
                        born: copy.born(),
                        end: copy.end(),
                    };
                    let reports = clients.reports.entry(number).or_default();
                    reports.insert(copy.name.clone(), report);
                }
            }
        }
        let mut told = Vec::new();
        for mut commit in std::mem::take(&mut clients.pending) {
            let entry = &self.entries[commit.entry];
            commit.acknowledged |= hears_acknowledgement(group, &commit, entry);
            let tells = commit.acknowledged
                && (clients.trusts_databases || clients.may_tell(now, &commit, entry));
            match tells {
                true => told.push(commit),
                false if now < commit.begun + CLIENT_TIMEOUT => clients.pending.push(commit),
                false => {}
            }
        }
        for commit in told {
            group.check_told(&commit.primary, commit.at, commit.write);
            clients.told.insert(commit.write);
        }
        group.clients = Some(clients);
    }
}

fn hears_acknowledgement(group: &DirectGroup, commit: &PendingCommit, entry: &Entry) -> bool {
    let mut copies = group.copies.iter();
    let primary = copies.find(|copy| copy.name == commit.primary);
    primary.is_some_and(|primary| {
        let hears = primary.up && !primary.hidden_from_entries && primary.side == entry.side;
        let leads = primary.leads && primary.term == commit.at.term.0;
        hears && leads && group.acknowledged.contains(&commit.write)
    })
}
