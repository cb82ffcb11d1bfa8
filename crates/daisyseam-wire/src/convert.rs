//! Conversions between messages and the vocabulary of the model.

use crate::{
    DocumentPatch,
    WireGroup,
    WireInstance,
    WirePosition,
    WireUpstream,
    WireView, //
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
    UpstreamView,
    ViewNumber,
    document::Document, //
};
use displaydoc::Display;
use prost::Message;
use std::{
    error::Error,
    net::SocketAddr,
    str::FromStr,
    sync::Arc, //
};

/// State numbers of a [`WireGroup`].
const STATE_FENCED: u32 = 0;
const STATE_DRAINING: u32 = 1;
const STATE_ACTIVE: u32 = 2;

/// Why a message could not be converted.
#[derive(Clone, Debug, Display, Eq, PartialEq)]
pub enum ConvertError {
    /// `{0}` cannot be read as {1}
    Value(String, &'static str),
    /// the update starts from view {since}, but view {held} is held
    OtherBase {
        /// Number that the update starts from.
        since: u64,
        /// Number that is held.
        held: u64,
    },
    /// the document patch does not fit the document that is held
    Patch,
    /// the document in the update is not valid: {0}
    Document(String),
    /// the digest of the resulting view differs
    Digest,
    /// the message cannot be decoded
    Encoding,
    /// the compressed update is corrupt
    Compression,
    /// the update exceeds the maximum size of {0} bytes
    Oversized(usize),
}

impl Error for ConvertError {}

impl From<LogPosition> for WirePosition {
    fn from(at: LogPosition) -> Self {
        Self {
            term: at.term.0,
            position: at.position.0,
        }
    }
}

impl From<WirePosition> for LogPosition {
    fn from(at: WirePosition) -> Self {
        Self {
            term: Term(at.term),
            position: Position(at.position),
        }
    }
}

impl DocumentPatch {
    /// Describes a whole text.
    pub fn whole(text: &str) -> Self {
        Self {
            base: 0,
            keep_head: 0,
            keep_tail: 0,
            middle: text.to_owned(),
        }
    }

    /// Describes a text as a change of the document with number `base`.
    pub fn between(base: DocumentNumber, old: &str, new: &str) -> Self {
        let shortest = old.len().min(new.len());
        let mut head = common(old.bytes(), new.bytes());
        while !(old.is_char_boundary(head) && new.is_char_boundary(head)) {
            head -= 1;
        }
        let mut tail = common(old.bytes().rev(), new.bytes().rev()).min(shortest - head);
        while !(old.is_char_boundary(old.len() - tail) && new.is_char_boundary(new.len() - tail)) {
            tail -= 1;
        }
        Self {
            base: base.0,
            keep_head: head as u64,
            keep_tail: tail as u64,
            middle: new[head..new.len() - tail].to_owned(),
        }
    }

    /// Applies the change to the text it was made from; a whole text needs none.
    ///
    /// # Errors
    ///
    /// [`ConvertError::Patch`] when it does not fit.
    pub fn apply(&self, old: &str) -> Result<String, ConvertError> {
        let head = usize::try_from(self.keep_head).map_err(|_| ConvertError::Patch)?;
        let tail = usize::try_from(self.keep_tail).map_err(|_| ConvertError::Patch)?;
        let rest = old.len().checked_sub(tail).ok_or(ConvertError::Patch)?;
        if head > rest {
            return Err(ConvertError::Patch);
        }
        let head = old.get(..head).ok_or(ConvertError::Patch)?;
        let tail = old.get(rest..).ok_or(ConvertError::Patch)?;
        Ok([head, &self.middle, tail].concat())
    }
}

impl WireView {
    /// Encodes the update for a [`HeartbeatReply`](crate::HeartbeatReply).
    pub fn encoded(&self) -> Bytes {
        Bytes::from(self.encode_to_vec())
    }

    /// Decodes the update of a [`HeartbeatReply`](crate::HeartbeatReply).
    ///
    /// # Errors
    ///
    /// [`ConvertError::Encoding`] if the bytes are no update.
    pub fn from_encoded(bytes: &Bytes) -> Result<Self, ConvertError> {
        Self::decode(bytes.clone()).map_err(|_| ConvertError::Encoding)
    }

    /// Describes a whole view; the text is the document in force.
    pub fn whole(view: &FleetView, text: Option<&str>) -> Self {
        Self {
            number: view.number.0,
            since: 0,
            document_number: view.document_number.0,
            document: text.map(DocumentPatch::whole),
            groups: view
                .groups
                .iter()
                .map(|(name, group)| WireGroup::present(name.as_str(), group))
                .collect(),
            upstreams: view
                .upstreams
                .iter()
                .map(|(name, upstream)| WireUpstream::present(name.as_str(), upstream))
                .collect(),
            instances: view
                .instances
                .iter()
                .map(|(name, instance)| WireInstance::present(name.as_str(), instance))
                .collect(),
            digest: 0,
            evacuated: view.evacuated.iter().map(ToString::to_string).collect(),
        }
    }

    /// Applies the update to a view and its document text.
    ///
    /// # Errors
    ///
    /// [`ConvertError`] when the update does not fit; nothing is changed then.
    pub fn apply(
        &self,
        held: &FleetView,
        held_text: &str,
    ) -> Result<(FleetView, String), ConvertError> {
        if self.since != 0 && self.since != held.number.0 {
            return Err(ConvertError::OtherBase {
                since: self.since,
                held: held.number.0,
            });
        }
        let mut view = match self.since {
            0 => FleetView::default(),
            _ => held.clone(),
        };
        view.number = ViewNumber(self.number);
        view.document_number = DocumentNumber(self.document_number);
        let mut text = held_text.to_owned();
        if let Some(patch) = &self.document {
            let base = if patch.base == 0 { "" } else { held_text };
            text = patch.apply(base)?;
            let document = Document::parse(&text).map_err(|problems| {
                let first = problems.first().map(ToString::to_string);
                ConvertError::Document(first.unwrap_or_default())
            })?;
            view.document = Some(Arc::new(document));
        }
        self.apply_parts(&mut view)?;
        Ok((view, text))
    }

    fn apply_parts(&self, view: &mut FleetView) -> Result<(), ConvertError> {
        let evacuated = self.evacuated.iter();
        view.evacuated = evacuated
            .map(|name| read(name, "a data centre"))
            .collect::<Result<_, _>>()?;
        for group in &self.groups {
            let name = read(&group.name, "a group")?;
            if group.removed {
                view.groups.remove(&name);
            } else {
                view.groups.insert(name, group.to_view()?);
            }
        }
        for upstream in &self.upstreams {
            let name = read(&upstream.name, "a database")?;
            if upstream.removed {
                view.upstreams.remove(&name);
            } else {
                view.upstreams.insert(name, upstream.to_view()?);
            }
        }
        for instance in &self.instances {
            let name = read(&instance.name, "an instance")?;
            if instance.removed {
                view.instances.remove(&name);
            } else {
                view.instances.insert(name, instance.to_view()?);
            }
        }
        Ok(())
    }
}

impl WireGroup {
    /// Describes a group that is there.
    pub fn present(name: &str, group: &GroupView) -> Self {
        let (state, primary) = match &group.primary {
            PrimaryState::Fenced => (STATE_FENCED, String::new()),
            PrimaryState::Draining(upstream) => (STATE_DRAINING, upstream.to_string()),
            PrimaryState::Active(upstream) => (STATE_ACTIVE, upstream.to_string()),
        };
        Self {
            name: name.to_owned(),
            removed: false,
            term: group.term.0,
            state,
            primary,
            lineage_term: group.lineage_start.term.0,
            lineage_position: group.lineage_start.position.0,
        }
    }

    fn to_view(&self) -> Result<GroupView, ConvertError> {
        let primary = match self.state {
            STATE_DRAINING => PrimaryState::Draining(read(&self.primary, "a database")?),
            STATE_ACTIVE => PrimaryState::Active(read(&self.primary, "a database")?),
            // An unknown state must not let writes through.
            _ => PrimaryState::Fenced,
        };
        Ok(GroupView {
            term: Term(self.term),
            primary,
            lineage_start: LogPosition {
                term: Term(self.lineage_term),
                position: Position(self.lineage_position),
            },
        })
    }
}

impl WireUpstream {
    /// Describes a database that is there.
    pub fn present(name: &str, upstream: &UpstreamView) -> Self {
        Self {
            name: name.to_owned(),
            removed: false,
            group: upstream.group.to_string(),
            data_centre: upstream.data_centre.to_string(),
            address: upstream.address.to_string(),
            admin_address: upstream.admin_address.to_string(),
            holder: upstream
                .holder
                .as_ref()
                .map(ToString::to_string)
                .unwrap_or_default(),
            leaving: upstream.leaving,
            born_ms: upstream.born_ms,
            voter: Some(upstream.voter),
        }
    }

    fn to_view(&self) -> Result<UpstreamView, ConvertError> {
        let holder = match self.holder.as_str() {
            "" => None,
            holder => Some(read(holder, "an instance")?),
        };
        Ok(UpstreamView {
            group: read(&self.group, "a group")?,
            data_centre: read(&self.data_centre, "a data centre")?,
            address: read(&self.address, "an address")?,
            admin_address: read(&self.admin_address, "an address")?,
            holder,
            leaving: self.leaving,
            born_ms: self.born_ms,
            voter: self.voter.unwrap_or(true),
        })
    }
}

impl WireInstance {
    /// Describes an instance that is there.
    pub fn present(name: &str, instance: &InstanceView) -> Self {
        Self {
            name: name.to_owned(),
            removed: false,
            incarnation: instance.incarnation.0,
            data_centre: instance.data_centre.to_string(),
            peer_address: instance.peer_address.to_string(),
            leaving: instance.leaving,
        }
    }

    fn to_view(&self) -> Result<InstanceView, ConvertError> {
        Ok(InstanceView {
            incarnation: Incarnation(self.incarnation),
            data_centre: read(&self.data_centre, "a data centre")?,
            peer_address: read::<SocketAddr>(&self.peer_address, "an address")?,
            leaving: self.leaving,
        })
    }
}

fn common(left: impl Iterator<Item = u8>, right: impl Iterator<Item = u8>) -> usize {
    left.zip(right)
        .take_while(|(left, right)| left == right)
        .count()
}

fn read<T: FromStr>(text: &str, kind: &'static str) -> Result<T, ConvertError> {
    let shown = || text.chars().take(64).collect();
    text.parse().map_err(|_| ConvertError::Value(shown(), kind))
}
