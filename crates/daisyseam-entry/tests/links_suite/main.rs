//! Tests of the database side of an entry instance against fake databases and control instances.

mod commits;
mod input;
mod peers;
mod secured;
mod slots;
mod support;
mod views;
