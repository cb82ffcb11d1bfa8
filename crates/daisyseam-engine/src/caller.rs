//! Interface to callers; implemented once per protocol.

use crate::{
    CallerRequest,
    SessionAnswer,
    SessionStart, //
};
use daisyseam_model::RequestError;
use std::future::Future;

/// Why a caller's connection has ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CallerDisconnect {
    /// The caller ended the session.
    Ended,
    /// The connection broke.
    Lost,
    /// The caller violated the protocol and has been sent an error.
    Malformed,
}

/// A caller's connection.
pub trait CallerStream: Send + 'static {
    /// Receives the start message.
    fn start(&mut self) -> impl Future<Output = Result<SessionStart, CallerDisconnect>> + Send;

    /// Confirms to the caller that the session is open.
    fn opened(&mut self) -> impl Future<Output = Result<(), CallerDisconnect>> + Send;

    /// Receives the next request; cancel safe.
    ///
    /// A request that cannot be parsed is returned as the inner error; the caller is answered and
    /// the session continues.
    fn request(
        &mut self,
    ) -> impl Future<Output = Result<Result<CallerRequest, RequestError>, CallerDisconnect>> + Send;

    /// Answers the request that was received last.
    fn answer(
        &mut self,
        answer: &SessionAnswer,
    ) -> impl Future<Output = Result<(), CallerDisconnect>> + Send;

    /// Counts the bytes that the session keeps until it ends; returns false if that is too much, and
    /// the session must end.
    fn retain(&mut self, _bytes: usize) -> bool {
        true
    }

    /// Refuses the session, or ends it with an error while no request is open.
    fn refuse(&mut self, error: &RequestError) -> impl Future<Output = ()> + Send;

    /// Closes the connection cleanly while no request is open.
    fn close(&mut self) -> impl Future<Output = ()> + Send;
}
