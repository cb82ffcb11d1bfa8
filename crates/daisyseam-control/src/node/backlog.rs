//! Requests that wait until the messages of other members have been handled.
//!
//! After a change of leader all entries send a request at once. Handled in the order of arrival,
//! they would delay the answers of the other members until the new leader's lease has run out too.

use crate::session::ReplySender;
use daisyseam_coord::Moment;
use daisyseam_wire::control_message::Body;
use std::collections::VecDeque;

/// Maximum number of waiting requests; beyond, the oldest is dropped. Its sender repeats it.
const REQUESTS_MAX: usize = 8_192;

/// A request from an entry or an operator.
pub(super) struct WaitingRequest {
    pub(super) body: Body,
    pub(super) replies: ReplySender,
    pub(super) received_at: Moment,
}

/// Requests in the order of their arrival.
#[derive(Default)]
pub(super) struct RequestBacklog {
    requests: VecDeque<WaitingRequest>,
}

impl RequestBacklog {
    pub(super) fn push(&mut self, request: WaitingRequest) {
        if self.requests.len() >= REQUESTS_MAX {
            self.requests.pop_front();
        }
        self.requests.push_back(request);
    }

    /// Returns the next request whose sender still waits for the reply.
    pub(super) fn pop(&mut self) -> Option<WaitingRequest> {
        loop {
            let request = self.requests.pop_front()?;
            if !request.replies.is_closed() {
                return Some(request);
            }
        }
    }

    pub(super) fn len(&self) -> usize {
        self.requests.len()
    }

    pub(super) fn is_empty(&self) -> bool {
        self.requests.is_empty()
    }

    pub(super) fn clear(&mut self) {
        self.requests.clear();
    }
}
