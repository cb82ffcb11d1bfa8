//! Graceful stops: what must end before an instance or a database may go.
