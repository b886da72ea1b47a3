//! Pure decision logic: time and randomness are passed in, and there is no I/O.

pub mod access;
pub mod admission;
pub mod admission_request;
pub mod answer_times;
pub mod backoff;
pub mod bounds;
pub mod cold_start;
pub mod connection_plan;
pub mod duty_hosts;
pub mod failover_trigger;
pub mod homes;
pub mod outage;
pub mod pace;
pub mod ping_schedule;
pub mod promotion;
pub mod quota;
pub mod read_floor;
pub mod replica_choice;
pub mod requesting_hosts;
pub mod restart;
pub mod start_plan;
pub mod store_admission;
pub mod store_watchers;
pub mod successor;
pub mod token_demand;
pub mod view_tiers;
