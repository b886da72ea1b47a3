//! Tests of the admission queue of a member.

mod connections;
mod estimates;
mod loads;
mod member;
mod order;
mod properties;
mod statements;
