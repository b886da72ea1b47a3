//! Tests of the member stand-in through the protocol.

mod control;
mod group;
mod load;
mod sql;
mod support;
mod transactions;
