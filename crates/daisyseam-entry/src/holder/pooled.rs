//! The guard of a connection that is lent out.

use super::{
    pool::HolderMessage,
    registry::ConnectionRegistry, //
};
use crate::database::DatabaseConnection;
use daisyseam_model::{
    OrganisationId,
    Term, //
};
use ractor::ActorRef;
use std::{
    sync::Arc,
    time::Duration, //
};
use tokio::time::Instant;

/// One of the database's slots; dropping it frees the slot.
#[derive(Debug)]
pub(super) struct SlotTicket {
    actor: ActorRef<HolderMessage>,
}

impl SlotTicket {
    pub(super) fn new(actor: ActorRef<HolderMessage>) -> Self {
        Self { actor }
    }
}

impl Drop for SlotTicket {
    fn drop(&mut self) {
        // An actor that has ended keeps no count.
        let _ = self.actor.cast(HolderMessage::Freed);
    }
}

/// A connection with its slot; it is closed before the slot is free.
#[derive(Debug)]
pub(super) struct HeldConnection {
    pub(super) connection: DatabaseConnection,
    pub(super) number: RegisteredNumber,
    pub(super) ticket: SlotTicket,
}

/// A number in the registry; dropping it forgets the connection there.
#[derive(Debug)]
pub(super) struct RegisteredNumber {
    pub(super) registry: Arc<ConnectionRegistry>,
    pub(super) number: u64,
}

impl Drop for RegisteredNumber {
    fn drop(&mut self) {
        self.registry.remove(self.number);
    }
}

/// What a connection was lent out for.
#[derive(Clone, Debug)]
pub(super) struct LoanTerms {
    pub(super) organisation: Option<OrganisationId>,
    pub(super) term: Option<Term>,
}

/// A connection that is lent out; dropping it closes the connection unless it was released clean.
#[derive(Debug)]
pub struct PooledConnection {
    held: Option<HeldConnection>,
    terms: LoanTerms,
    lent_at: Instant,
    released: bool,
}

impl PooledConnection {
    pub(super) fn new(held: HeldConnection, terms: LoanTerms) -> Self {
        held.number.registry.lend(held.number.number, terms.term);
        Self {
            held: Some(held),
            terms,
            lent_at: Instant::now(),
            released: false,
        }
    }

    /// Borrows the connection.
    pub fn connection(&mut self) -> &mut DatabaseConnection {
        let held = self.held.as_mut();
        &mut held
            .expect("the guard owns its connection until it is dropped")
            .connection
    }

    /// Gives the connection back; it is closed if an answer is owed or a transaction is open.
    pub fn release(mut self) {
        self.released = true;
    }
}

impl Drop for PooledConnection {
    fn drop(&mut self) {
        let Some(held) = self.held.take() else {
            return;
        };
        let served = ServedLoan {
            organisation: self.terms.organisation.take(),
            duration: self.lent_at.elapsed(),
        };
        held.number.registry.lend(held.number.number, None);
        let actor = held.ticket.actor.clone();
        if self.released && held.connection.is_clean() {
            let message = HolderMessage::Returned(Box::new(held), served);
            // The message comes back, and with it the connection, if the actor has ended.
            let _ = actor.cast(message);
            return;
        }
        let _ = actor.cast(HolderMessage::Broken(served));
        abandon(held);
    }
}

/// How long an organisation had a connection.
#[derive(Clone, Debug)]
pub(super) struct ServedLoan {
    pub(super) organisation: Option<OrganisationId>,
    pub(super) duration: Duration,
}

/// Closes a connection; its slot is free once the database was told to stop what it ran there.
fn abandon(held: HeldConnection) {
    let HeldConnection {
        connection,
        number,
        ticket,
    } = held;
    let order = connection.owes_answer().then(|| connection.cancel_order());
    drop(connection);
    drop(number);
    if let (Some(order), Ok(runtime)) = (order, tokio::runtime::Handle::try_current()) {
        runtime.spawn(async move {
            order.send().await;
            drop(ticket);
        });
    }
}
