//! Encoding of commands and snapshots.

use super::{
    AcceptedDocument,
    CaughtUpCommand,
    ChooseCommand,
    ChosenPrimary,
    CloseUsageCommand,
    CopiesCommand,
    CopyGuarantee,
    EvacuateCommand,
    FleetCommand,
    FleetState,
    GroupCommand,
    HolderCommand,
    JoinCommand,
    LeaveCommand,
    SubmitCommand,
    SubmitNewestCommand,
    UpstreamCommand,
    UsageHistory,
    VoterCommand,
    usage_record::{
        UsageRecord,
        WindowRecord, //
    },
    voters::VoterRecord, //
};
use bytes::Bytes;
use daisyseam_model::{
    DocumentNumber,
    FleetView,
    GroupView,
    Incarnation,
    InstanceView,
    LogPosition,
    Position,
    PrimaryState,
    Term,
    UpstreamId,
    UpstreamView,
    ViewNumber,
    document::Document, //
};
use prost::Message;
use std::{
    str::FromStr,
    sync::Arc, //
};

impl FleetCommand {
    /// Encodes the command.
    pub fn encode(&self) -> Bytes {
        let body = match self {
            Self::Submit(command) => Body::Submit(SubmitRecord {
                id: command.id.clone(),
                replaces: command.replaces,
                text: command.text.clone(),
                operator: command.operator.clone(),
                accepted_unix_ms: command.accepted_unix_ms,
            }),
            Self::SubmitNewest(command) => Body::SubmitNewest(SubmitNewestRecord {
                number: command.number.0,
                text: command.text.clone(),
                source: command.source.clone(),
                operator: command.operator.clone(),
                accepted_unix_ms: command.accepted_unix_ms,
            }),
            Self::Join(command) => Body::Join(InstanceRecord {
                name: command.instance.to_string(),
                data_centre: command.data_centre.to_string(),
                peer_address: command.peer_address.to_string(),
                ..InstanceRecord::default()
            }),
            Self::Leave(command) => Body::Leave(LeaveRecord {
                instance: command.instance.to_string(),
                incarnation: command.incarnation.0,
                gone: command.gone,
            }),
            Self::Upstream(command) => Body::Upstream(UpstreamRecord {
                name: command.upstream.to_string(),
                group: command.group.to_string(),
                data_centre: command.data_centre.to_string(),
                address: command.address.to_string(),
                admin_address: command.admin_address.to_string(),
                holder: String::new(),
                leaving: command.leaving,
                born_ms: command.born_ms,
            }),
            Self::DropUpstream(upstream) => Body::DropUpstream(upstream.to_string()),
            Self::Group(command) => Body::Group(GroupChangeRecord {
                expected: command.expected.0,
                group: Some(GroupRecord::of(
                    command.group.as_str(),
                    command.term,
                    &command.primary,
                    command.lineage_start,
                )),
            }),
            Self::Holder(command) => Body::Holder(HolderRecord {
                upstream: command.upstream.to_string(),
                expected: name_or_empty(command.expected.as_ref()),
                holder: name_or_empty(command.holder.as_ref()),
            }),
            Self::Evacuate(command) => Body::Evacuate(EvacuateRecord {
                data_centre: command.data_centre.to_string(),
                out: command.out,
            }),
            Self::CaughtUp(command) => Body::CaughtUp(CaughtUpRecord::of(
                command.upstream.as_str(),
                command.born_ms,
            )),
            Self::SuspendVoter(command) => Body::SuspendVoter(CaughtUpRecord::of(
                command.upstream.as_str(),
                command.born_ms,
            )),
            Self::DemoteVoter(command) => Body::DemoteVoter(CaughtUpRecord::of(
                command.upstream.as_str(),
                command.born_ms,
            )),
            Self::Copies(command) => Body::Copies(CopiesRecord::of(
                command.group.as_str(),
                command.copies,
                command.since,
            )),
            Self::CloseUsage(command) => {
                Body::CloseUsage(WindowRecord::of(command.window, &command.counts))
            }
            Self::AcknowledgeUsage(window) => Body::AcknowledgeUsage(*window),
            Self::Choose(command) => {
                let (term, chosen) = (command.term, command.chosen.as_ref());
                Body::Choose(ChoiceRecord::of(command.group.as_str(), term, chosen))
            }
        };
        Bytes::from(CommandRecord { body: Some(body) }.encode_to_vec())
    }

    /// Decodes a command; returns `None` if the bytes are invalid.
    pub fn decode(bytes: &[u8]) -> Option<Self> {
        Some(match CommandRecord::decode(bytes).ok()?.body? {
            Body::Submit(record) => Self::Submit(SubmitCommand {
                id: record.id,
                replaces: record.replaces,
                text: record.text,
                operator: record.operator,
                accepted_unix_ms: record.accepted_unix_ms,
            }),
            Body::SubmitNewest(record) => Self::SubmitNewest(SubmitNewestCommand {
                number: DocumentNumber(record.number),
                text: record.text,
                source: record.source,
                operator: record.operator,
                accepted_unix_ms: record.accepted_unix_ms,
            }),
            Body::Join(record) => Self::Join(JoinCommand {
                instance: read(&record.name)?,
                data_centre: read(&record.data_centre)?,
                peer_address: read(&record.peer_address)?,
            }),
            Body::Leave(record) => Self::Leave(LeaveCommand {
                instance: read(&record.instance)?,
                incarnation: Incarnation(record.incarnation),
                gone: record.gone,
            }),
            Body::Upstream(record) => Self::Upstream(UpstreamCommand {
                upstream: read(&record.name)?,
                group: read(&record.group)?,
                data_centre: read(&record.data_centre)?,
                address: read(&record.address)?,
                admin_address: read(&record.admin_address)?,
                leaving: record.leaving,
                born_ms: record.born_ms,
            }),
            Body::DropUpstream(name) => Self::DropUpstream(read(&name)?),
            Body::Group(record) => {
                let expected = Term(record.expected);
                let record = record.group?;
                let view = record.to_view()?;
                Self::Group(GroupCommand {
                    group: read(&record.name)?,
                    expected,
                    term: view.term,
                    primary: view.primary,
                    lineage_start: view.lineage_start,
                })
            }
            Body::Holder(record) => Self::Holder(HolderCommand {
                upstream: read(&record.upstream)?,
                expected: read_optional(&record.expected)?,
                holder: read_optional(&record.holder)?,
            }),
            Body::Evacuate(record) => Self::Evacuate(EvacuateCommand {
                data_centre: read(&record.data_centre)?,
                out: record.out,
            }),
            Body::CaughtUp(record) => Self::CaughtUp(CaughtUpCommand {
                upstream: read(&record.upstream)?,
                born_ms: record.born_ms,
            }),
            Body::Copies(record) => {
                let guarantee = record.to_guarantee()?;
                Self::Copies(CopiesCommand {
                    group: read(&record.group)?,
                    copies: guarantee.copies,
                    since: guarantee.since,
                })
            }
            Body::SuspendVoter(record) => Self::SuspendVoter(VoterCommand {
                upstream: read(&record.upstream)?,
                born_ms: record.born_ms,
            }),
            Body::DemoteVoter(record) => Self::DemoteVoter(VoterCommand {
                upstream: read(&record.upstream)?,
                born_ms: record.born_ms,
            }),
            Body::CloseUsage(record) => Self::CloseUsage(CloseUsageCommand {
                window: record.window,
                counts: record.to_counts()?,
            }),
            Body::AcknowledgeUsage(window) => Self::AcknowledgeUsage(window),
            Body::Choose(record) => Self::Choose(ChooseCommand {
                group: read(&record.group)?,
                term: Term(record.term),
                chosen: record.to_chosen()?,
            }),
        })
    }
}

impl FleetState {
    /// Encodes the whole state.
    pub fn encode(&self) -> Bytes {
        let view = &self.view;
        let documents = self.documents.accepted.iter();
        let record = StateRecord {
            view: view.number.0,
            last_incarnation: self.last_incarnation.0,
            documents: documents.map(DocumentRecord::of).collect(),
            groups: view
                .groups
                .iter()
                .map(|(name, group)| {
                    let GroupView {
                        term,
                        primary,
                        lineage_start,
                    } = group;
                    GroupRecord::of(name.as_str(), *term, primary, *lineage_start)
                })
                .collect(),
            upstreams: view
                .upstreams
                .iter()
                .map(|(name, upstream)| UpstreamRecord::of(name.as_str(), upstream))
                .collect(),
            instances: view
                .instances
                .iter()
                .map(|(name, instance)| InstanceRecord::of(name.as_str(), instance))
                .collect(),
            evacuated: view.evacuated.iter().map(ToString::to_string).collect(),
            caught_up: self
                .voters
                .iter()
                .map(|(upstream, voter)| CaughtUpRecord {
                    is_suspended: voter.is_suspended,
                    ..CaughtUpRecord::of(upstream.as_str(), voter.born_ms)
                })
                .collect(),
            copies: self
                .copies
                .iter()
                .map(|(group, guarantee)| {
                    CopiesRecord::of(group.as_str(), guarantee.copies, guarantee.since)
                })
                .collect(),
            usage: (self.usage != UsageHistory::default()).then(|| UsageRecord::of(&self.usage)),
            choices: self
                .choices
                .iter()
                .map(|(group, chosen)| {
                    ChoiceRecord::of(group.as_str(), Term::default(), Some(chosen))
                })
                .collect(),
            former_primaries: self
                .former_primaries
                .iter()
                .map(|(group, upstream)| FormerPrimaryRecord {
                    group: group.to_string(),
                    upstream: upstream.to_string(),
                })
                .collect(),
        };
        Bytes::from(record.encode_to_vec())
    }

    /// Decodes a whole state; returns `None` if the bytes are invalid.
    ///
    /// It does not include the change history, so the next update to instances contains a full view.
    pub fn decode(bytes: &[u8]) -> Option<Self> {
        let record = StateRecord::decode(bytes).ok()?;
        let mut state = Self {
            last_incarnation: Incarnation(record.last_incarnation),
            ..Self::default()
        };
        let mut view = FleetView {
            number: ViewNumber(record.view),
            ..FleetView::default()
        };
        for document in record.documents {
            state.documents.accepted.push_back(document.into_accepted());
        }
        view.document_number = state.documents.number();
        let current = state.documents.current();
        view.document = current
            .and_then(|current| Document::parse(&current.text).ok())
            .map(Arc::new);
        for group in &record.groups {
            view.groups.insert(read(&group.name)?, group.to_view()?);
        }
        for upstream in &record.upstreams {
            view.upstreams
                .insert(read(&upstream.name)?, upstream.to_view()?);
        }
        for instance in &record.instances {
            view.instances
                .insert(read(&instance.name)?, instance.to_view()?);
        }
        for data_centre in &record.evacuated {
            view.evacuated.insert(read(data_centre)?);
        }
        for record in &record.caught_up {
            let name: UpstreamId = read(&record.upstream)?;
            let voter = VoterRecord {
                born_ms: record.born_ms,
                is_suspended: record.is_suspended,
            };
            state.voters.insert(name.clone(), voter);
            if let Some(upstream) = view.upstreams.get_mut(&name) {
                upstream.voter = state.counts_copies(&name, upstream.born_ms);
            }
        }
        for record in &record.copies {
            let guarantee = record.to_guarantee()?;
            state.copies.insert(read(&record.group)?, guarantee);
        }
        for record in &record.choices {
            let chosen = record.to_chosen()??;
            state.choices.insert(read(&record.group)?, chosen);
        }
        for record in &record.former_primaries {
            let upstream = read(&record.upstream)?;
            state
                .former_primaries
                .insert(read(&record.group)?, upstream);
        }
        if let Some(usage) = &record.usage {
            state.usage = usage.to_history()?;
        }
        state.view = Arc::new(view);
        Some(state)
    }
}

#[derive(Clone, PartialEq, prost::Message)]
struct CommandRecord {
    #[prost(
        oneof = "Body",
        tags = "1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 12, 13, 14, 15, 16, 17"
    )]
    body: Option<Body>,
}

/// Tag 11 is reserved: earlier versions removed databases from elections with it.
#[derive(Clone, PartialEq, prost::Oneof)]
enum Body {
    #[prost(message, tag = "1")]
    Submit(SubmitRecord),
    #[prost(message, tag = "2")]
    Join(InstanceRecord),
    #[prost(message, tag = "3")]
    Leave(LeaveRecord),
    #[prost(message, tag = "4")]
    Upstream(UpstreamRecord),
    #[prost(string, tag = "5")]
    DropUpstream(String),
    #[prost(message, tag = "6")]
    Group(GroupChangeRecord),
    #[prost(message, tag = "7")]
    Holder(HolderRecord),
    #[prost(message, tag = "8")]
    SubmitNewest(SubmitNewestRecord),
    #[prost(message, tag = "9")]
    Evacuate(EvacuateRecord),
    #[prost(message, tag = "10")]
    CaughtUp(CaughtUpRecord),
    #[prost(message, tag = "12")]
    CloseUsage(WindowRecord),
    #[prost(uint64, tag = "13")]
    AcknowledgeUsage(u64),
    #[prost(message, tag = "14")]
    Choose(ChoiceRecord),
    #[prost(message, tag = "15")]
    Copies(CopiesRecord),
    #[prost(message, tag = "16")]
    SuspendVoter(CaughtUpRecord),
    #[prost(message, tag = "17")]
    DemoteVoter(CaughtUpRecord),
}

#[derive(Clone, PartialEq, prost::Message)]
struct SubmitRecord {
    #[prost(string, tag = "1")]
    id: String,
    #[prost(uint64, tag = "2")]
    replaces: u64,
    #[prost(string, tag = "3")]
    text: String,
    #[prost(string, tag = "4")]
    operator: String,
    #[prost(uint64, tag = "5")]
    accepted_unix_ms: u64,
}

#[derive(Clone, PartialEq, prost::Message)]
struct SubmitNewestRecord {
    #[prost(uint64, tag = "1")]
    number: u64,
    #[prost(string, tag = "2")]
    text: String,
    #[prost(string, tag = "3")]
    source: String,
    #[prost(string, tag = "4")]
    operator: String,
    #[prost(uint64, tag = "5")]
    accepted_unix_ms: u64,
}

#[derive(Clone, PartialEq, prost::Message)]
struct EvacuateRecord {
    #[prost(string, tag = "1")]
    data_centre: String,
    #[prost(bool, tag = "2")]
    out: bool,
}

#[derive(Clone, PartialEq, prost::Message)]
struct CaughtUpRecord {
    #[prost(string, tag = "1")]
    upstream: String,
    #[prost(uint64, tag = "2")]
    born_ms: u64,
    /// Only in a snapshot.
    #[prost(bool, tag = "3")]
    is_suspended: bool,
}

impl CaughtUpRecord {
    fn of(upstream: &str, born_ms: u64) -> Self {
        Self {
            upstream: upstream.to_owned(),
            born_ms,
            is_suspended: false,
        }
    }
}

#[derive(Clone, PartialEq, prost::Message)]
struct LeaveRecord {
    #[prost(string, tag = "1")]
    instance: String,
    #[prost(uint64, tag = "2")]
    incarnation: u64,
    #[prost(bool, tag = "3")]
    gone: bool,
}

#[derive(Clone, PartialEq, prost::Message)]
struct GroupChangeRecord {
    #[prost(uint64, tag = "1")]
    expected: u64,
    #[prost(message, optional, tag = "2")]
    group: Option<GroupRecord>,
}

#[derive(Clone, PartialEq, prost::Message)]
struct HolderRecord {
    #[prost(string, tag = "1")]
    upstream: String,
    #[prost(string, tag = "2")]
    expected: String,
    #[prost(string, tag = "3")]
    holder: String,
}

/// Tag 9 is reserved: earlier versions listed databases there that elections still counted.
#[derive(Clone, PartialEq, prost::Message)]
struct StateRecord {
    #[prost(uint64, tag = "1")]
    view: u64,
    #[prost(uint64, tag = "2")]
    last_incarnation: u64,
    #[prost(message, repeated, tag = "3")]
    documents: Vec<DocumentRecord>,
    #[prost(message, repeated, tag = "4")]
    groups: Vec<GroupRecord>,
    #[prost(message, repeated, tag = "5")]
    upstreams: Vec<UpstreamRecord>,
    #[prost(message, repeated, tag = "6")]
    instances: Vec<InstanceRecord>,
    #[prost(string, repeated, tag = "7")]
    evacuated: Vec<String>,
    #[prost(message, repeated, tag = "8")]
    caught_up: Vec<CaughtUpRecord>,
    #[prost(message, optional, tag = "10")]
    usage: Option<UsageRecord>,
    #[prost(message, repeated, tag = "11")]
    choices: Vec<ChoiceRecord>,
    #[prost(message, repeated, tag = "12")]
    copies: Vec<CopiesRecord>,
    #[prost(message, repeated, tag = "13")]
    former_primaries: Vec<FormerPrimaryRecord>,
}

#[derive(Clone, PartialEq, prost::Message)]
struct FormerPrimaryRecord {
    #[prost(string, tag = "1")]
    group: String,
    #[prost(string, tag = "2")]
    upstream: String,
}

#[derive(Clone, PartialEq, prost::Message)]
struct CopiesRecord {
    #[prost(string, tag = "1")]
    group: String,
    #[prost(uint64, tag = "2")]
    copies: u64,
    #[prost(uint64, tag = "3")]
    since: u64,
}

impl CopiesRecord {
    fn of(group: &str, copies: usize, since: ViewNumber) -> Self {
        Self {
            group: group.to_owned(),
            copies: copies as u64,
            since: since.0,
        }
    }

    fn to_guarantee(&self) -> Option<CopyGuarantee> {
        Some(CopyGuarantee {
            copies: self.copies.try_into().ok()?,
            since: ViewNumber(self.since),
        })
    }
}

#[derive(Clone, PartialEq, prost::Message)]
struct ChoiceRecord {
    #[prost(string, tag = "1")]
    group: String,
    /// Term of the command; 0 in a snapshot.
    #[prost(uint64, tag = "2")]
    term: u64,
    /// The chosen database; empty if the choice is withdrawn.
    #[prost(string, tag = "3")]
    upstream: String,
    #[prost(uint64, tag = "4")]
    end_term: u64,
    #[prost(uint64, tag = "5")]
    end_position: u64,
}

impl ChoiceRecord {
    fn of(group: &str, term: Term, chosen: Option<&ChosenPrimary>) -> Self {
        let end = chosen.map(|chosen| chosen.end).unwrap_or_default();
        Self {
            group: group.to_owned(),
            term: term.0,
            upstream: name_or_empty(chosen.map(|chosen| &chosen.upstream)),
            end_term: end.term.0,
            end_position: end.position.0,
        }
    }

    fn to_chosen(&self) -> Option<Option<ChosenPrimary>> {
        let end = LogPosition {
            term: Term(self.end_term),
            position: Position(self.end_position),
        };
        let upstream = read_optional(&self.upstream)?;
        Some(upstream.map(|upstream| ChosenPrimary { upstream, end }))
    }
}

#[derive(Clone, PartialEq, prost::Message)]
struct DocumentRecord {
    #[prost(uint64, tag = "1")]
    number: u64,
    #[prost(string, tag = "2")]
    id: String,
    #[prost(string, tag = "3")]
    operator: String,
    #[prost(uint64, tag = "4")]
    accepted_unix_ms: u64,
    #[prost(string, tag = "5")]
    text: String,
    #[prost(string, tag = "6")]
    source: String,
}

impl DocumentRecord {
    fn of(document: &AcceptedDocument) -> Self {
        Self {
            number: document.number.0,
            id: document.id.clone(),
            operator: document.operator.clone(),
            accepted_unix_ms: document.accepted_unix_ms,
            text: document.text.to_string(),
            source: document.source.to_string(),
        }
    }

    fn into_accepted(self) -> AcceptedDocument {
        AcceptedDocument {
            number: DocumentNumber(self.number),
            id: self.id,
            operator: self.operator,
            accepted_unix_ms: self.accepted_unix_ms,
            text: Arc::from(self.text),
            source: Arc::from(self.source),
        }
    }
}

#[derive(Clone, PartialEq, prost::Message)]
struct GroupRecord {
    #[prost(string, tag = "1")]
    name: String,
    #[prost(uint64, tag = "2")]
    term: u64,
    /// The active primary; empty if there is none.
    #[prost(string, tag = "3")]
    active: String,
    /// The draining primary; empty if there is none.
    #[prost(string, tag = "4")]
    draining: String,
    #[prost(uint64, tag = "5")]
    lineage_term: u64,
    #[prost(uint64, tag = "6")]
    lineage_position: u64,
}

impl GroupRecord {
    fn of(name: &str, term: Term, primary: &PrimaryState, start: LogPosition) -> Self {
        let (active, draining) = match primary {
            PrimaryState::Fenced => (String::new(), String::new()),
            PrimaryState::Draining(upstream) => (String::new(), upstream.to_string()),
            PrimaryState::Active(upstream) => (upstream.to_string(), String::new()),
        };
        Self {
            name: name.to_owned(),
            term: term.0,
            active,
            draining,
            lineage_term: start.term.0,
            lineage_position: start.position.0,
        }
    }

    fn to_view(&self) -> Option<GroupView> {
        let primary = match (self.active.as_str(), self.draining.as_str()) {
            ("", "") => PrimaryState::Fenced,
            ("", draining) => PrimaryState::Draining(read(draining)?),
            (active, _) => PrimaryState::Active(read(active)?),
        };
        Some(GroupView {
            term: Term(self.term),
            primary,
            lineage_start: LogPosition {
                term: Term(self.lineage_term),
                position: Position(self.lineage_position),
            },
        })
    }
}

#[derive(Clone, PartialEq, prost::Message)]
struct UpstreamRecord {
    #[prost(string, tag = "1")]
    name: String,
    #[prost(string, tag = "2")]
    group: String,
    #[prost(string, tag = "3")]
    data_centre: String,
    #[prost(string, tag = "4")]
    address: String,
    #[prost(string, tag = "5")]
    admin_address: String,
    #[prost(string, tag = "6")]
    holder: String,
    #[prost(bool, tag = "7")]
    leaving: bool,
    #[prost(uint64, tag = "8")]
    born_ms: u64,
}

impl UpstreamRecord {
    fn of(name: &str, upstream: &UpstreamView) -> Self {
        Self {
            name: name.to_owned(),
            group: upstream.group.to_string(),
            data_centre: upstream.data_centre.to_string(),
            address: upstream.address.to_string(),
            admin_address: upstream.admin_address.to_string(),
            holder: name_or_empty(upstream.holder.as_ref()),
            leaving: upstream.leaving,
            born_ms: upstream.born_ms,
        }
    }

    fn to_view(&self) -> Option<UpstreamView> {
        Some(UpstreamView {
            group: read(&self.group)?,
            data_centre: read(&self.data_centre)?,
            address: read(&self.address)?,
            admin_address: read(&self.admin_address)?,
            holder: read_optional(&self.holder)?,
            leaving: self.leaving,
            born_ms: self.born_ms,
            voter: false,
        })
    }
}

#[derive(Clone, PartialEq, prost::Message)]
struct InstanceRecord {
    #[prost(string, tag = "1")]
    name: String,
    #[prost(uint64, tag = "2")]
    incarnation: u64,
    #[prost(string, tag = "3")]
    data_centre: String,
    #[prost(string, tag = "4")]
    peer_address: String,
    #[prost(bool, tag = "5")]
    leaving: bool,
}

impl InstanceRecord {
    fn of(name: &str, instance: &InstanceView) -> Self {
        Self {
            name: name.to_owned(),
            incarnation: instance.incarnation.0,
            data_centre: instance.data_centre.to_string(),
            peer_address: instance.peer_address.to_string(),
            leaving: instance.leaving,
        }
    }

    fn to_view(&self) -> Option<InstanceView> {
        Some(InstanceView {
            incarnation: Incarnation(self.incarnation),
            data_centre: read(&self.data_centre)?,
            peer_address: read(&self.peer_address)?,
            leaving: self.leaving,
        })
    }
}

fn name_or_empty<T: ToString>(name: Option<&T>) -> String {
    name.map(ToString::to_string).unwrap_or_default()
}

fn read<T: FromStr>(text: &str) -> Option<T> {
    text.parse().ok()
}

/// Parses an optional name, for which an empty text means `None`.
fn read_optional<T: FromStr>(text: &str) -> Option<Option<T>> {
    match text {
        "" => Some(None),
        text => read(text).map(Some),
    }
}
