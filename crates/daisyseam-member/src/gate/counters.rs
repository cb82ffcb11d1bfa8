//! Names of the counters of admission.

/// A token was there.
pub(super) const TOKEN_AT_ONCE: &str = "token_at_once";

/// A token came while the request waited for it.
pub(super) const TOKEN_WAITED: &str = "token_waited";

/// The request was refused at once: the whole rate could not have served it in time.
pub(super) const TOKEN_REFUSED_AT_ONCE: &str = "token_refused_at_once";

/// The request was refused after a wait during which this instance had a share.
pub(super) const TOKEN_REFUSED_WITH_SHARE: &str = "token_refused_with_share";

/// The request was refused after a wait at whose end this instance had no share.
pub(super) const TOKEN_REFUSED_WITHOUT_SHARE: &str = "token_refused_without_share";

/// The request was refused because the lease on the view had run out.
pub(super) const TOKEN_REFUSED_WITHOUT_LEASE: &str = "token_refused_without_lease";
