//! Compression of messages: names are sent only in the first message on a connection.

use daisyseam_wire::control_message::Body;

/// Names of both endpoints in one direction of a connection.
///
/// A process that changes its name opens new connections, so names hold for a whole connection.
#[derive(Debug, Default)]
pub(crate) struct ConnectionNames {
    members: Option<(String, String)>,
    entry: String,
}

impl ConnectionNames {
    /// Removes the names from a message if they are the same as in the previous message.
    pub(crate) fn omit_known(&mut self, body: &mut Body) {
        let Some((from, to)) = endpoint_names(body) else {
            return;
        };
        let same = |(known_from, known_to): &(String, String)| known_from == from && known_to == to;
        if self.members.as_ref().is_some_and(same) {
            from.clear();
            to.clear();
            if let Body::Appended(message) = body {
                message.data_centre.clear();
            }
        } else {
            self.members = Some((from.clone(), to.clone()));
        }
    }

    /// Restores the names that were omitted because an earlier message carried them.
    pub(crate) fn restore(&mut self, body: &mut Body) {
        match body {
            Body::Handshake(handshake) => self.entry.clone_from(&handshake.instance),
            Body::Heartbeat(heartbeat) if heartbeat.instance.is_empty() => {
                heartbeat.instance.clone_from(&self.entry);
            }
            _ => {}
        }
        let Some((from, to)) = endpoint_names(body) else {
            return;
        };
        match &self.members {
            Some((known_from, known_to)) if from.is_empty() && to.is_empty() => {
                from.clone_from(known_from);
                to.clone_from(known_to);
            }
            _ => self.members = Some((from.clone(), to.clone())),
        }
    }
}

/// Returns the sender and the recipient of a message between members.
fn endpoint_names(body: &mut Body) -> Option<(&mut String, &mut String)> {
    match body {
        Body::Vote(message) => Some((&mut message.from, &mut message.to)),
        Body::Voted(message) => Some((&mut message.from, &mut message.to)),
        Body::Append(message) => Some((&mut message.from, &mut message.to)),
        Body::Appended(message) => Some((&mut message.from, &mut message.to)),
        Body::Snapshot(message) => Some((&mut message.from, &mut message.to)),
        Body::SnapshotTaken(message) => Some((&mut message.from, &mut message.to)),
        Body::Transfer(message) => Some((&mut message.from, &mut message.to)),
        _ => None,
    }
}
