//! The guard of a checked-out connection.

use super::{
    pool::HolderMessage,
    registry::ConnectionRegistry, //
};
use crate::database::DatabaseConnection;
use daisyseam_coord::fair_queue::ServiceNumber;
use daisyseam_model::Term;
use ractor::ActorRef;
use std::sync::Arc;

/// One of the database's slots; dropping it frees the slot.
#[derive(Debug)]
pub(super) struct SlotPermit {
    actor: ActorRef<HolderMessage>,
}

impl SlotPermit {
    pub(super) fn new(actor: ActorRef<HolderMessage>) -> Self {
        Self { actor }
    }
}

impl Drop for SlotPermit {
    fn drop(&mut self) {
        // An actor that has stopped needs no count.
        let _ = self.actor.cast(HolderMessage::SlotFreed);
    }
}

/// A connection and its slot. The connection is closed before the slot is freed.
#[derive(Debug)]
pub(super) struct HeldConnection {
    pub(super) connection: DatabaseConnection,
    pub(super) registration: Registration,
    pub(super) permit: SlotPermit,
}

/// An entry in the registry; dropping it removes the connection from there.
#[derive(Debug)]
pub(super) struct Registration {
    pub(super) registry: Arc<ConnectionRegistry>,
    pub(super) number: u64,
}

impl Drop for Registration {
    fn drop(&mut self) {
        self.registry.remove(self.number);
    }
}

/// A checked-out connection; dropping it closes the connection unless it was released in a
/// reusable state.
#[derive(Debug)]
pub struct PooledConnection {
    held: Option<HeldConnection>,
    service: ServiceNumber,
    released: bool,
}

impl PooledConnection {
    /// Marks a connection as checked out, for the primary of a term or for reads.
    pub(super) fn new(held: HeldConnection, service: ServiceNumber, term: Option<Term>) -> Self {
        held.registration
            .registry
            .check_out(held.registration.number, term);
        Self {
            held: Some(held),
            service,
            released: false,
        }
    }

    /// Returns the connection.
    pub fn connection(&mut self) -> &mut DatabaseConnection {
        let held = self.held.as_mut();
        &mut held
            .expect("the guard owns its connection until it is dropped")
            .connection
    }

    /// Returns the connection to the pool; it is closed if an answer is outstanding or a
    /// transaction is open.
    pub fn release(mut self) {
        self.released = true;
    }
}

impl Drop for PooledConnection {
    fn drop(&mut self) {
        let Some(held) = self.held.take() else {
            return;
        };
        held.registration
            .registry
            .check_out(held.registration.number, None);
        let actor = held.permit.actor.clone();
        if self.released && held.connection.is_clean() {
            let message = HolderMessage::Returned(Box::new(held), self.service);
            // If the actor has stopped, the message is dropped and the connection closed with it.
            let _ = actor.cast(message);
            return;
        }
        let _ = actor.cast(HolderMessage::Discarded(self.service));
        close_and_cancel(held);
    }
}

/// Closes a connection; its slot is freed after the database was asked to cancel what it runs.
fn close_and_cancel(held: HeldConnection) {
    let HeldConnection {
        connection,
        registration,
        permit,
    } = held;
    let cancel = connection
        .has_outstanding_answer()
        .then(|| connection.cancel_handle());
    drop(connection);
    drop(registration);
    if let (Some(cancel), Ok(runtime)) = (cancel, tokio::runtime::Handle::try_current()) {
        runtime.spawn(async move {
            cancel.send().await;
            drop(permit);
        });
    }
}
