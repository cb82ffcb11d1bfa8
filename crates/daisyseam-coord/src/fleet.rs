//! The replicated state: documents, instances, databases, groups, and the view made of them.
