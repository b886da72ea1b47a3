//! Primary monitoring and failover, which one host carries out for each service.

pub mod candidates;
pub mod primary_monitor;
pub mod promoter;
pub mod quiesce;
pub mod record_repair;
pub mod repair_schedule;
