//! Circuit breaking on databases that answer with errors or late, never on the last one.
