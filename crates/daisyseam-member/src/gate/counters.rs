//! Names of the admission counters.

/// A token was available immediately.
pub(super) const TOKEN_AT_ONCE: &str = "token_at_once";

/// The request got a token after waiting.
pub(super) const TOKEN_WAITED: &str = "token_waited";

/// The request was rejected immediately: even the whole rate could not have served it in time.
pub(super) const TOKEN_REFUSED_AT_ONCE: &str = "token_refused_at_once";

/// The request was rejected after waiting, and this instance had a share at the end of the wait.
pub(super) const TOKEN_REFUSED_WITH_SHARE: &str = "token_refused_with_share";

/// The request was rejected after waiting, and this instance had no share at the end of the wait.
pub(super) const TOKEN_REFUSED_WITHOUT_SHARE: &str = "token_refused_without_share";

/// Times at which control became silent.
pub(super) const CONTROL_SILENT: &str = "control_silent";

/// The request was rejected without a wait for a lease, because control was silent.
pub(super) const TOKEN_REFUSED_CONTROL_SILENT: &str = "token_refused_control_silent";

/// The request was rejected because the lease on the view had expired.
pub(super) const TOKEN_REFUSED_WITHOUT_LEASE: &str = "token_refused_without_lease";
