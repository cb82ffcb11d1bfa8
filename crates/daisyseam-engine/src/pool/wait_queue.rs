//! Order in which requests that wait for a database are served.

#[cfg(test)]
mod tests;

use daisyseam_model::OrganisationId;
use std::collections::VecDeque;

/// Number of requests of one organisation that are served before it is the next one's turn.
const TURN_LENGTH: u32 = 4;

/// Number of times that an organisation without a usable connection is passed over for others that
/// have one.
const MAX_PASSED_OVER: u32 = 4;

/// Waiting requests, served in turn by organisation.
///
/// Opening a connection takes the database as long as a statement, so an organisation that has an
/// idle connection is preferred, a limited number of times, to one that needs a new connection.
#[derive(Debug)]
pub(super) struct WaitQueue<T> {
    flows: VecDeque<WaitFlow<T>>,
    len: usize,
}

#[derive(Debug)]
struct WaitFlow<T> {
    organisation: Option<OrganisationId>,
    items: VecDeque<T>,
    /// Number of items served in this turn.
    served: u32,
    /// Number of times that another organisation was preferred.
    passed_over: u32,
}

impl<T> Default for WaitQueue<T> {
    fn default() -> Self {
        Self {
            flows: VecDeque::new(),
            len: 0,
        }
    }
}

impl<T> WaitQueue<T> {
    /// Returns the number of waiting requests.
    pub(super) fn len(&self) -> usize {
        self.len
    }

    /// Adds a request.
    pub(super) fn push(&mut self, organisation: Option<&OrganisationId>, item: T) {
        self.len += 1;
        let mut flows = self.flows.iter_mut();
        if let Some(flow) = flows.find(|flow| flow.organisation.as_ref() == organisation) {
            flow.items.push_back(item);
            return;
        }
        self.flows.push_back(WaitFlow {
            organisation: organisation.cloned(),
            items: VecDeque::from([item]),
            served: 0,
            passed_over: 0,
        });
    }

    /// Removes the requests that are not wanted any more.
    pub(super) fn retain(&mut self, is_wanted: impl Fn(&T) -> bool) {
        for flow in &mut self.flows {
            flow.items.retain(&is_wanted);
        }
        self.flows.retain(|flow| !flow.items.is_empty());
        self.len = self.flows.iter().map(|flow| flow.items.len()).sum();
    }

    /// Removes and returns the next request; `has_idle` tells whether there is an idle connection
    /// for an organisation, and `may_open` whether a new one may be opened.
    pub(super) fn pop(
        &mut self,
        has_idle: impl Fn(Option<&OrganisationId>) -> bool,
        may_open: bool,
    ) -> Option<(Option<OrganisationId>, T)> {
        let head = self.flows.front()?;
        let is_due = may_open && head.passed_over >= MAX_PASSED_OVER;
        let with_idle = self
            .flows
            .iter()
            .position(|flow| has_idle(flow.organisation.as_ref()));
        let index = match with_idle {
            Some(index) if !is_due => index,
            _ if may_open => 0,
            _ => return None,
        };
        if index > 0 {
            self.flows[0].passed_over += 1;
        }
        self.take(index)
    }

    fn take(&mut self, index: usize) -> Option<(Option<OrganisationId>, T)> {
        let mut flow = self.flows.remove(index)?;
        let item = flow.items.pop_front()?;
        self.len -= 1;
        flow.served += 1;
        flow.passed_over = 0;
        let organisation = flow.organisation.clone();
        if flow.items.is_empty() {
            return Some((organisation, item));
        }
        if flow.served >= TURN_LENGTH {
            flow.served = 0;

            self.flows.push_back(flow);
        } else {
            self.flows.insert(index, flow);
        }
        Some((organisation, item))
    }
}
