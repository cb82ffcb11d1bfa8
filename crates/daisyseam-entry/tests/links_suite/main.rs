//! The database side of an entry instance against small fakes.

mod commits;
mod input;
mod peers;
mod secured;
mod slots;
mod support;
mod views;
