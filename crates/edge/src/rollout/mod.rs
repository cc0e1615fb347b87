//! Moves a service's traffic to another version of its backend servers, on an operator's order.
//!
//! A rollout starts as a canary: a small part of the requests goes to a few servers of the target
//! version ([`plan`]). Each VM counts how the servers of both versions answer ([`evidence`]); the
//! heads of the failure domains add the counts up ([`totals`]) and compare the two versions
//! ([`verdict`]). If the target version is worse, no VM sends it any more requests and it is rolled
//! back. Otherwise the traffic shifts to it shortly before the deadline, and the rollout is
//! completed once no request is left at the previous version.
//!
//! Each stage is a record in the store ([`record`]), written under a condition by one of the heads
//! ([`controller`], [`writer`]), so that every rollout has one verdict. [`versions`] derives from
//! the orders and records which servers may get which requests. [`state`], [`reports`] and
//! [`exchange`] join these parts in one daemon, and [`status`] is the operators' view.

pub mod controller;
pub mod evidence;
pub(crate) mod exchange;
pub mod moment;
pub mod plan;
pub mod popular_objects;
pub mod record;
pub mod reports;
pub mod response_times;
pub mod state;
pub mod status;
pub mod totals;
pub mod verdict;
pub mod versions;
pub(crate) mod writer;
