//! The control daemon: the replicated log on instances with a disk.
