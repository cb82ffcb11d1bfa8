//! A link to a database that is held by this instance or by a peer.

use super::routes::RouteGuard;
use crate::{
    DatabaseLink,
    LinkError,
    holder::PooledConnection,
    peer::PeerLink, //
};
use daisyseam_model::{
    GroupId,
    Term, //
};
use parking_lot::Mutex;
use pgwire::messages::{
    PgWireBackendMessage,
    PgWireFrontendMessage, //
};
use std::{
    collections::BTreeMap,
    sync::Arc, //
};

/// A link to a database; dropping it closes the database connection.
pub struct FleetLink {
    connection: LinkConnection,
    // Counts the transaction until the link is dropped.
    _transaction: Option<TransactionGuard>,
    _route: RouteGuard,
}

enum LinkConnection {
    Local(Box<PooledConnection>),
    Peer(Box<PeerLink>),
}

impl FleetLink {
    pub(super) fn local(
        pooled: PooledConnection,
        transaction: Option<TransactionGuard>,
        route: RouteGuard,
    ) -> Self {
        Self {
            connection: LinkConnection::Local(Box::new(pooled)),
            _transaction: transaction,
            _route: route,
        }
    }

    pub(super) fn peer(
        link: PeerLink,
        transaction: Option<TransactionGuard>,
        route: RouteGuard,
    ) -> Self {
        Self {
            connection: LinkConnection::Peer(Box::new(link)),
            _transaction: transaction,
            _route: route,
        }
    }
}

impl DatabaseLink for FleetLink {
    async fn send(&mut self, message: PgWireFrontendMessage) -> Result<(), LinkError> {
        match &mut self.connection {
            LinkConnection::Local(pooled) => pooled.connection().split().0.send(&message).await,
            LinkConnection::Peer(link) => link.send(message).await,
        }
    }

    async fn flush(&mut self) -> Result<(), LinkError> {
        match &mut self.connection {
            LinkConnection::Local(pooled) => pooled.connection().flush().await,
            LinkConnection::Peer(link) => link.flush().await,
        }
    }

    async fn receive(&mut self) -> Result<PgWireBackendMessage, LinkError> {
        match &mut self.connection {
            LinkConnection::Local(pooled) => pooled.connection().split().1.receive().await,
            LinkConnection::Peer(link) => link.receive().await,
        }
    }

    async fn cancel(&mut self) {
        match &mut self.connection {
            LinkConnection::Local(pooled) => pooled.connection().cancel_handle().send().await,
            LinkConnection::Peer(link) => link.cancel().await,
        }
    }

    fn release(self) {
        match self.connection {
            LinkConnection::Local(pooled) => pooled.release(),
            LinkConnection::Peer(link) => link.release(),
        }
    }
}

/// Counts transactions that may write and commits awaiting confirmation, by group and term.
#[derive(Clone, Debug, Default)]
pub struct TransactionCounts {
    counts: Arc<Mutex<BTreeMap<(GroupId, Term), u64>>>,
}

impl TransactionCounts {
    /// Returns the number in progress for a group in a term.
    pub fn in_progress(&self, group: &GroupId, term: Term) -> u64 {
        let counts = self.counts.lock();
        counts.get(&(group.clone(), term)).copied().unwrap_or(0)
    }

    /// Counts a transaction until the guard is dropped.
    pub(super) fn start(&self, group: &GroupId, term: Term) -> TransactionGuard {
        let key = (group.clone(), term);
        *self.counts.lock().entry(key.clone()).or_default() += 1;
        TransactionGuard {
            counts: self.clone(),
            key,
        }
    }
}

/// Removes its transaction from the counts when dropped.
#[derive(Debug)]
pub(super) struct TransactionGuard {
    counts: TransactionCounts,
    key: (GroupId, Term),
}

impl Drop for TransactionGuard {
    fn drop(&mut self) {
        let mut counts = self.counts.counts.lock();
        if let Some(count) = counts.get_mut(&self.key) {
            *count -= 1;
            if *count == 0 {
                counts.remove(&self.key);
            }
        }
    }
}
