//! The border towards callers: one implementation a protocol.

use crate::{
    CallerRequest,
    SessionAnswer,
    SessionStart, //
};
use daisyseam_model::RequestError;
use std::future::Future;

/// Why nothing more comes from a caller.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CallerEnd {
    /// It ended the session.
    Ended,
    /// The connection is gone.
    Lost,
    /// It sent what the protocol does not allow; it has been told.
    Malformed,
}

/// One caller's connection.
pub trait CallerStream: Send + 'static {
    /// Receives what opens the session.
    fn start(&mut self) -> impl Future<Output = Result<SessionStart, CallerEnd>> + Send;

    /// Tells the caller that the session is open.
    fn opened(&mut self) -> impl Future<Output = Result<(), CallerEnd>> + Send;

    /// Receives the next request; dropping the future loses nothing.
    ///
    /// A request whose words cannot be understood comes as an error of its own; the caller is
    /// answered and the session goes on.
    fn request(
        &mut self,
    ) -> impl Future<Output = Result<Result<CallerRequest, RequestError>, CallerEnd>> + Send;

    /// Answers the request that was received last.
    fn answer(
        &mut self,
        answer: &SessionAnswer,
    ) -> impl Future<Output = Result<(), CallerEnd>> + Send;

    /// Refuses the session, or ends it with an error while no request is open.
    fn refuse(&mut self, error: &RequestError) -> impl Future<Output = ()> + Send;

    /// Closes the connection cleanly while no request is open.
    fn close(&mut self) -> impl Future<Output = ()> + Send;
}
